package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
)

// quarantineRetryDelay is when a caller may come back whose prompt has a
// quarantined part. A part that was quarantined by mistake is free again before.
const quarantineRetryDelay = 5 * time.Second

const (
	// trialProbeDelay is the time from the end of a trial's answer to the question
	// whether its runner goes on.
	trialProbeDelay   = 200 * time.Millisecond
	trialProbeTimeout = time.Second
)

// refuseQuarantined refuses a request whose prompt has a part that crashes
// runners. Parts with which this VM has had an answer are not refused: it
// contests their quarantine.
func (r *request) refuseQuarantined(now time.Time) *Refusal {
	state := r.g.state.Load()
	if len(state.Quarantined) == 0 {
		return nil
	}
	for _, id := range r.call.Prompt.SharedIDs() {
		part := quarantine.PartOf(id)
		q, quarantined := state.Quarantined[part]
		if quarantined && !r.g.evidence.HasAnswer(now, part) && !r.mayTry(&q) {
			return &Refusal{Reason: PromptQuarantined, RetryAfter: quarantineRetryDelay, Detail: "prompt part " + id + " crashes runners"}
		}
	}
	return nil
}

// mayTry reports whether the request may be sent in spite of a quarantined part.
// It claims this VM's trial of the part, which is for one send.
func (r *request) mayTry(q *quarantine.Quarantined) bool {
	if r.sends > 0 {
		return false
	}
	if _, claimed := r.trials[q.Part]; claimed {
		return true
	}
	if q.Trial.VM == "" || q.Trial.VM != r.g.opts.Self || !r.g.evidence.ClaimTrial(q.Part, q.Trial.Number) {
		return false
	}
	if r.trials == nil {
		r.trials = map[quarantine.Part]uint32{}
	}
	r.trials[q.Part] = q.Trial.Number
	r.g.log.Info().Str("id", r.call.ID).Uint64("part", uint64(q.Part)).Uint32("number", q.Trial.Number).
		Msg("gateway: trial of a quarantined prompt part")
	return true
}

// releaseTrials gives back the trials of a request that no runner has begun to execute.
func (r *request) releaseTrials() {
	if r.executions > 0 {
		return
	}
	for part, number := range r.trials {
		r.g.evidence.ReleaseTrial(part, number)
	}
}

// probeAfterTrial asks, by a new connection, whether the runner of a trial goes on whose
// answer has ended with its connection. If all prompts of a service share the part, no
// other request would show that.
func (r *request) probeAfterTrial(runner *placement.RunnerState) {
	if len(r.trials) == 0 {
		return
	}
	time.AfterFunc(trialProbeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialProbeTimeout)
		defer cancel()
		openedAt, err := r.g.opts.Upstreams.Connect(ctx, runner.Addr)
		r.g.log.Info().Err(err).Str("id", r.call.ID).Str("runner", runner.ID).Msg("gateway: the runner of a trial was asked whether it goes on")
		if err == nil {
			r.g.evidence.RecordAlive(time.Now(), quarantine.Exchange{Runner: runner.Name(), ConnectedAt: openedAt, SentAt: openedAt})
		}
	})
}

// settleLosses decides by the list which of the runners that were lost have crashed.
func (g *Gateway) settleLosses(s *directory.State) {
	unsettled := g.evidence.UnsettledRunners()
	if len(unsettled) == 0 {
		return
	}
	g.runners.fillListed(unsettled, g.listTruth(s))
	crashes, broken := g.evidence.RecordListed(unsettled)
	if crashes+broken == 0 {
		return
	}
	g.metrics.runnerCrashes.Add(crashes)
	g.metrics.brokenConnections.Add(broken)
	g.log.Info().Int("crashes", crashes).Int("broken_connections", broken).Msg("gateway: the list tells what runners were lost by")
}

// fillListed fills in what the list shows of the runners. asOf returns, for a data
// centre, a time at which its runners were as the list shows them.
func (r *runnerSet) fillListed(runners quarantine.Runners, asOf func(zone string) time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.byService {
		for i := range list {
			l := &list[i]
			name := l.state.Name()
			if _, asked := runners[name]; !asked {
				continue
			}
			shown := quarantine.Listed{Process: l.process}
			if l.StartedUnixMS != 0 {
				shown.AsOf = asOf(l.Zone)
			}
			runners[name] = shown
		}
	}
}

// CrashReport returns what this VM has observed of crashed runners, given the
// parts that are quarantined.
func (g *Gateway) CrashReport(now time.Time, quarantined quarantine.Known) *quarantine.Report {
	return g.evidence.Report(now, quarantined)
}
