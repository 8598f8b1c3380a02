package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
)

// stageRun holds the results of one run of a request's stages.
type stageRun struct {
	final []int
	// results holds the results of each stage. done marks the stages that have
	// ended.
	results [][]batch.Result
	done    []bool

	// mu guards freed, because inputs are freed concurrently with the attempt.
	mu    sync.Mutex
	freed []bool
}

func newStageRun(route *catalog.Route) *stageRun {
	n := len(route.Stages)
	return &stageRun{final: route.FinalStages(), results: make([][]batch.Result, n), done: make([]bool, n), freed: make([]bool, n)}
}

// inputs returns the handles of the final results, which are the inputs of the
// request itself.
func (s *stageRun) inputs() []string { return s.handles(s.final) }

func (s *stageRun) handles(stages []int) []string {
	var list []string
	for _, i := range stages {
		for _, r := range s.results[i] {
			list = append(list, r.Handle)
		}
	}
	return list
}

// markFreed marks the results of a stage as freed and reports whether they
// exist and were not freed before.
func (s *stageRun) markFreed(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed[i] || !s.done[i] {
		return false
	}
	s.freed[i] = true
	return true
}

// stageResult is the result of one stage.
type stageResult struct {
	stage   int
	results []batch.Result
	err     error
}

// runStages runs the stages of the route, each as soon as its predecessors have
// ended. If results were lost in between and time allows, it runs all of them a
// second time.
func (r *request) runStages(ctx context.Context) *Refusal {
	if len(r.route.Stages) == 0 {
		return nil
	}
	if refusal := r.refuseIfLate(time.Now()); refusal != nil {
		return refusal
	}
	refusal, again := r.runStagesOnce(ctx)
	if again && r.refuseIfLate(time.Now()) == nil {
		refusal, _ = r.runStagesOnce(ctx)
	}
	return refusal
}

// runStagesOnce runs all stages. It sets again if another run may succeed
// because a result was gone before the next stage could use it.
func (r *request) runStagesOnce(ctx context.Context) (refusal *Refusal, again bool) {
	r.stages = newStageRun(r.route)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan stageResult, len(r.route.Stages))
	started := make([]bool, len(r.route.Stages))
	running := 0
	for {
		if refusal == nil {
			running += r.startStages(ctx, started, ended)
		}
		if running == 0 {
			break
		}
		end := <-ended
		running--
		r.stages.results[end.stage] = end.results
		r.stages.done[end.stage] = true
		if reason := failureReason(end); reason != "" && refusal == nil {
			refusal = r.stageRefusal(ctx, end, reason)
			again = reason == batch.InputGone && ctx.Err() == nil
			cancel()
		}
		r.freeUnneeded()
	}
	cancel()
	r.stagesDoneAt = time.Now()
	r.g.metrics.stages.UpdateDuration(r.call.Received)
	if refusal != nil {
		r.freeAll()
	}
	return refusal, again
}

// rerunStages runs all stages again after results were lost.
func (r *request) rerunStages(ctx context.Context) *Refusal {
	r.freeAll()
	return r.runStages(ctx)
}

// startStages starts the stages that are ready and returns their number.
func (r *request) startStages(ctx context.Context, started []bool, ended chan<- stageResult) int {
	n := 0
	now := time.Now()
	for i, stage := range r.route.Stages {
		if started[i] || slices.ContainsFunc(stage.After, func(a int) bool { return !r.stages.done[a] }) {
			continue
		}
		if r.startsTooEarly(i, started) {
			continue
		}
		started[i] = true
		n++
		call := r.stageCall(i)
		if len(call.Items) == 0 {
			ended <- stageResult{stage: i}
			continue
		}
		go func() {
			results, err := r.g.pieces.runPieces(ctx, call)
			end := stageResult{stage: i, results: results, err: err}
			r.logStage(call, &end, now)
			ended <- end
		}()
	}
	return n
}

// minChainShare is the minimum remaining time of a stage, as a share of the
// longest chain of stages that are not started yet, at which the stage is
// started in parallel.
const minChainShare = 0.8

// startsTooEarly reports whether a stage would finish long before the others.
// Its results would then occupy memory at the runner that holds them, and might
// be dropped before use.
func (r *request) startsTooEarly(i int, started []bool) bool {
	var others time.Duration
	for j := range r.route.Stages {
		if j != i && !started[j] {
			others = max(others, r.stageTime(j)+r.timeAfter(j))
		}
	}
	return float64(r.stageTime(i)+r.timeAfter(i)) < minChainShare*float64(others)
}

// stageTime returns the minimum duration of a stage.
func (r *request) stageTime(i int) time.Duration {
	s := r.table.Service(r.route.Stages[i].Service)
	if s == nil || s.StageRunner == nil || i >= len(r.call.Pieces) || r.call.Pieces[i] == 0 {
		return 0
	}
	return s.StageRunner.Estimate(r.call.Pieces[i])
}

// stageCall returns the call for all pieces of a stage.
func (r *request) stageCall(i int) *piecesCall {
	stage := &r.route.Stages[i]
	now := time.Now()
	call := &piecesCall{
		Service: stage.Service, Request: r.call.ID, Stage: i, ResultBytes: stage.ResultBytes,
		DueMS:          r.due.Add(-r.timeAfter(i)).Sub(now).Milliseconds(),
		LeftMS:         (r.firstEventDeadline().Sub(now) - r.timeAfter(i)).Milliseconds(),
		YieldMS:        r.stageYield().Milliseconds(),
		AllowedRegions: r.allowedRegions().List(),
	}
	if len(stage.After) == 0 {
		call.Key = r.call.PieceKey
	} else {
		r.addInputs(call, stage.After)
		call.LeftMS = min(call.LeftMS, r.inputLifetime(stage.After).Milliseconds())
	}
	pieces := 0
	if i < len(r.call.Pieces) {
		pieces = r.call.Pieces[i]
	}
	for p := range pieces {
		call.Items = append(call.Items, p)
	}
	return call
}

// addInputs adds the results of stages and the runners that produced them to a
// call.
func (r *request) addInputs(call *piecesCall, stages []int) {
	for _, i := range stages {
		for _, result := range r.stages.results[i] {
			call.Inputs = append(call.Inputs, result.Handle)
			assembler := result.Assembler
			if assembler == "" {
				assembler = r.g.opts.Self
			}
			call.addProducer(inputProducer{Service: r.route.Stages[i].Service, Runner: result.Runner, Assembler: assembler})
		}
	}
}

// retentionMargin is subtracted from the retention of results. It covers the
// call that produced them and the transfer to the next stage.
const retentionMargin = 400 * time.Millisecond

// inputLifetime returns how long the results of stages remain usable.
func (r *request) inputLifetime(stages []int) time.Duration {
	lifetime := time.Hour
	for _, i := range stages {
		if s := r.table.Service(r.route.Stages[i].Service); s != nil && s.StageRunner != nil {
			lifetime = min(lifetime, s.StageRunner.Retention-retentionMargin)
		}
	}
	return lifetime
}

// timeAfter returns the minimum duration of the stages that follow stage i.
func (r *request) timeAfter(i int) time.Duration {
	var longest time.Duration
	for j := i + 1; j < len(r.route.Stages); j++ {
		if !slices.Contains(r.route.Stages[j].After, i) {
			continue
		}
		longest = max(longest, r.timeAfter(j)+r.stageTime(j))
	}
	return longest
}

func failureReason(end stageResult) batch.Reason {
	if end.err != nil {
		return batch.Failed
	}
	for _, result := range end.results {
		if result.Reason != "" {
			return result.Reason
		}
	}
	return ""
}

func (r *request) stageRefusal(ctx context.Context, end stageResult, reason batch.Reason) *Refusal {
	if ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	detail := string(reason) + " at " + r.route.Stages[end.stage].Service
	if end.err != nil {
		detail = end.err.Error()
	}
	if reason == batch.Late {
		return &Refusal{Reason: StagesLate, RetryAfter: lateStageRetryDelay(), Detail: detail}
	}
	return &Refusal{Reason: StagesFailed, RetryAfter: shortRetryDelay(), Detail: detail}
}

func (r *request) logStage(call *piecesCall, end *stageResult, began time.Time) {
	r.g.log.Info().Str("id", r.call.ID).Int("stage", end.stage).Str("service", call.Service).Int("pieces", len(call.Items)).
		Int64("due_ms", call.DueMS).Int64("left_ms", call.LeftMS).
		Str("reason", string(failureReason(*end))).Err(end.err).Int64("ms", time.Since(began).Milliseconds()).Msg("gateway: stage ended")
}
