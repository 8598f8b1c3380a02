package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
)

// stageRun is the work of a request's stages.
type stageRun struct {
	final []int
	// results are those of each stage; done says which stages have ended.
	results [][]batch.Result
	done    []bool

	// The inputs of a request are freed beside its attempt.
	mu    sync.Mutex
	freed []bool
}

func newStageRun(route *catalog.Route) *stageRun {
	n := len(route.Stages)
	return &stageRun{final: route.FinalStages(), results: make([][]batch.Result, n), done: make([]bool, n), freed: make([]bool, n)}
}

// inputs gives the results that the request itself needs.
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

// markFreed says whether a stage has results that were not freed, and marks them.
func (s *stageRun) markFreed(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freed[i] || !s.done[i] {
		return false
	}
	s.freed[i] = true
	return true
}

// stageEnd is the end of one stage.
type stageEnd struct {
	stage   int
	results []batch.Result
	err     error
}

// runStages has the stages of the route run, each as soon as those that it
// follows have ended.
func (r *request) runStages(ctx context.Context) *Refusal {
	if len(r.route.Stages) == 0 {
		return nil
	}
	if refusal := r.refuseLate(time.Now()); refusal != nil {
		return refusal
	}
	refusal, again := r.runStagesOnce(ctx)
	if again && r.refuseLate(time.Now()) == nil {
		refusal, _ = r.runStagesOnce(ctx)
	}
	return refusal
}

// runStagesOnce runs all stages. Again says that it may help to run them
// another time, since a result was gone before the next stage could use it.
func (r *request) runStagesOnce(ctx context.Context) (refusal *Refusal, again bool) {
	r.stages = newStageRun(r.route)
	ctx, cancel := context.WithCancel(ctx)
	ends := make(chan stageEnd, len(r.route.Stages))
	started := make([]bool, len(r.route.Stages))
	running := 0
	for {
		if refusal == nil {
			running += r.startStages(ctx, started, ends)
		}
		if running == 0 {
			break
		}
		end := <-ends
		running--
		r.stages.results[end.stage] = end.results
		r.stages.done[end.stage] = true
		if reason := failure(end); reason != "" && refusal == nil {
			refusal = r.stageRefusal(ctx, end, reason)
			again = reason == batch.InputGone && ctx.Err() == nil
			cancel()
		}
		r.freeFollowed()
	}
	cancel()
	r.stagedAt = time.Now()
	r.g.count.stages.UpdateDuration(r.call.Received)
	if refusal != nil {
		r.freeAll()
	}
	return refusal, again
}

// stageAgain runs all stages again after a result was lost.
func (r *request) stageAgain(ctx context.Context) *Refusal {
	r.freeAll()
	return r.runStages(ctx)
}

// startStages starts the stages whose turn it is and gives their number.
func (r *request) startStages(ctx context.Context, started []bool, ends chan<- stageEnd) int {
	n := 0
	now := time.Now()
	for i, stage := range r.route.Stages {
		if started[i] || slices.ContainsFunc(stage.After, func(a int) bool { return !r.stages.done[a] }) {
			continue
		}
		if r.isEarly(i, started) {
			continue
		}
		started[i] = true
		n++
		call := r.stageCall(i)
		if len(call.Items) == 0 {
			ends <- stageEnd{stage: i}
			continue
		}
		go func() {
			results, err := r.g.pieces.order(ctx, call)
			end := stageEnd{stage: i, results: results, err: err}
			r.logStage(call, &end, now)
			ends <- end
		}()
	}
	return n
}

// earlyShare is the part of the longest chain of stages still to be started from
// which a stage is started beside it.
const earlyShare = 0.8

// isEarly says that a stage would be done long before the others: its results
// would only take up their maker's memory meanwhile, and might be dropped.
func (r *request) isEarly(i int, started []bool) bool {
	var others time.Duration
	for j := range r.route.Stages {
		if j != i && !started[j] {
			others = max(others, r.ownTime(j)+r.restTime(j))
		}
	}
	return float64(r.ownTime(i)+r.restTime(i)) < earlyShare*float64(others)
}

// ownTime is the least time of a stage.
func (r *request) ownTime(i int) time.Duration {
	s := r.table.Service(r.route.Stages[i].Service)
	if s == nil || s.Pieces == nil || i >= len(r.call.Pieces) || r.call.Pieces[i] == 0 {
		return 0
	}
	return s.Pieces.Estimate(r.call.Pieces[i])
}

// stageCall gives the pieces of a stage.
func (r *request) stageCall(i int) *piecesCall {
	stage := &r.route.Stages[i]
	now := time.Now()
	call := &piecesCall{
		Service: stage.Service, Request: r.call.ID, Stage: i, ResultBytes: stage.ResultBytes,
		DueMS:   r.due.Add(-r.restTime(i)).Sub(now).Milliseconds(),
		LeftMS:  (r.firstBy().Sub(now) - r.restTime(i)).Milliseconds(),
		YieldMS: r.yields().Milliseconds(),
	}
	if len(stage.After) == 0 {
		call.Key = r.call.PieceKey
	} else {
		r.addInputs(call, stage.After)
		call.LeftMS = min(call.LeftMS, r.keptFor(stage.After).Milliseconds())
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

// addInputs adds the results of stages, with their makers.
func (r *request) addInputs(call *piecesCall, stages []int) {
	for _, i := range stages {
		for _, result := range r.stages.results[i] {
			call.Inputs = append(call.Inputs, result.Handle)
			assembler := result.Assembler
			if assembler == "" {
				assembler = r.g.opts.Self
			}
			call.addMaker(inputMaker{Service: r.route.Stages[i].Service, Runner: result.Runner, Assembler: assembler})
		}
	}
}

// keepMargin is kept of the time for which results are kept, for the call that
// made them and the way to the next stage.
const keepMargin = 400 * time.Millisecond

// keptFor is how long the results of stages can be used from now on.
func (r *request) keptFor(stages []int) time.Duration {
	kept := time.Hour
	for _, i := range stages {
		if s := r.table.Service(r.route.Stages[i].Service); s != nil && s.Pieces != nil {
			kept = min(kept, s.Pieces.Retention-keepMargin)
		}
	}
	return kept
}

// restTime is the least time of the stages that follow stage i.
func (r *request) restTime(i int) time.Duration {
	var longest time.Duration
	for j := i + 1; j < len(r.route.Stages); j++ {
		if !slices.Contains(r.route.Stages[j].After, i) {
			continue
		}
		longest = max(longest, r.restTime(j)+r.ownTime(j))
	}
	return longest
}

func failure(end stageEnd) batch.Reason {
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

func (r *request) stageRefusal(ctx context.Context, end stageEnd, reason batch.Reason) *Refusal {
	if ctx.Err() != nil {
		return r.ended(ctx)
	}
	detail := string(reason) + " at " + r.route.Stages[end.stage].Service
	if end.err != nil {
		detail = end.err.Error()
	}
	if reason == batch.Late {
		return &Refusal{Reason: StagesLate, RetryAfter: lateRetry(), Detail: detail}
	}
	return &Refusal{Reason: StagesFailed, RetryAfter: shortRetry(), Detail: detail}
}

func (r *request) logStage(call *piecesCall, end *stageEnd, began time.Time) {
	r.g.log.Info().Str("id", r.call.ID).Int("stage", end.stage).Str("service", call.Service).Int("pieces", len(call.Items)).
		Int64("due_ms", call.DueMS).Int64("left_ms", call.LeftMS).
		Str("reason", string(failure(*end))).Err(end.err).Int64("ms", time.Since(began).Milliseconds()).Msg("gateway: stage ended")
}
