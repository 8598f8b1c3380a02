package gateway

import (
	"time"

	"damaskbridge.example/damaskbridge/placement"
)

func (r *request) log(refusal *Refusal) {
	now := time.Now()
	event := r.g.log.Info()
	event.Str("id", r.call.ID)
	if r.table != nil {
		event.Uint64("version", r.table.Version)
	}
	if r.route != nil {
		event.Str("route", r.route.Name)
	}
	if !r.deadline.IsZero() {
		event.Int64("deadline_ms", r.deadline.Sub(r.call.Received).Milliseconds())
	}
	if r.service != nil {
		event.Str("service", r.service.Name)
	}
	if r.workspace != nil {
		event.Str("workspace", r.workspace.Name)
	}
	if !r.stagesDoneAt.IsZero() {
		event.Int64("staged_ms", r.stagesDoneAt.Sub(r.call.Received).Milliseconds())
	}
	if !r.firstByteAt.IsZero() {
		event.Int64("first_ms", r.firstByteAt.Sub(r.call.Received).Milliseconds())
	}
	if r.sends > 0 {
		event.Str("runner", r.runner).Int("sends", r.sends).Int("executions", r.executions)
	}
	if r.attempts != nil {
		event.Strs("attempts", r.attempts.strings())
	}
	if r.resumes > 0 {
		event.Int("resumed", r.resumes)
	}
	switch {
	case refusal != nil:
		event.Str("outcome", "refused").Str("reason", string(refusal.Reason)).Bool("executed", refusal.Executed).
			Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()).Str("detail", refusal.Detail)
	case r.broken:
		event.Str("outcome", "broken").Str("detail", r.lastCause)
	default:
		event.Str("outcome", "answered").Int("status", r.status)
	}
	event.Int64("ms", now.Sub(r.call.Received).Milliseconds()).Msg("gateway: request ended")
}

// recordStop logs and counts what a stop did to the request.
func (r *request) recordStop(refusal *Refusal) {
	if r.stopped == "" {
		return
	}
	r.g.metrics.recordStopped(r.stopped)
	event := r.g.log.Info().Str("id", r.call.ID).Str("outcome", string(r.stopped)).Bool("executed", r.executions > 0)
	if refusal != nil {
		event.Str("reason", string(refusal.Reason))
	}
	if p := r.g.stopPlan.Load(); p != nil {
		event.Int64("end_ms", time.Until(p.End).Milliseconds())
		if !r.deadline.IsZero() {
			event.Int64("past_end_ms", r.deadline.Sub(p.End).Milliseconds())
		}
	}
	event.Msg("gateway: request refused or ended by a stop")
}

func (r *request) logAttempt(runner *placement.RunnerState, v *attemptResult, began time.Time) {
	r.g.log.Info().Str("id", r.call.ID).Str("runner", runner.ID).Str("addr", runner.Addr).Str("cause", v.cause).
		Bool("executed", v.executed).Bool("arrived", v.arrived).Strs("parts", r.call.Prompt.SharedIDs()).Int64("ms", time.Since(began).Milliseconds()).
		Msg("gateway: attempt failed")
}
