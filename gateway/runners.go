package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/advice"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/warmup"
)

// runnerSet tracks the listed runners and their state. It is safe for
// concurrent use.
type runnerSet struct {
	topology placement.Topology
	// drainGrace is how long a draining runner is still used if its service has
	// no other runner.
	drainGrace time.Duration

	// advice holds what the runners have said.
	advice *advice.Book

	// evacuations are the evacuated data centres, to whose runners nothing more is
	// sent. nil stands for none.
	evacuations atomic.Pointer[evacuation.Table]
	// warmUps limits the requests to runners that warm up.
	warmUps *warmUps

	mu       sync.Mutex
	registry *placement.Registry
	// byService holds the listed runners of each service. Slots and draining
	// states are looked up there.
	byService map[string][]listedRunner
}

type listedRunner struct {
	directory.Runner
	state *placement.RunnerState
	// process names the process of the runner in advice.
	process string
	// drainingSince is when the runner was first seen draining.
	drainingSince time.Time
	// coldUntil is until when the list says that the runner is cold.
	coldUntil time.Time
}

func newRunnerSet(topology placement.Topology, drainGrace time.Duration, said *advice.Book, warmUps *warmUps) *runnerSet {
	return &runnerSet{topology: topology, drainGrace: drainGrace, advice: said, warmUps: warmUps, registry: placement.NewRegistry(), byService: map[string][]listedRunner{}}
}

// update replaces the list of runners. since returns, for a data centre, the latest time
// at which its runners are known to have been as the list before shows them.
func (r *runnerSet) update(now time.Time, list *directory.RunnerList, since func(zone string) time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := map[*placement.RunnerState]listedRunner{}
	for _, l := range r.byService {
		for _, x := range l {
			old[x.state] = x
		}
	}
	next := map[string][]listedRunner{}
	known := map[string]bool{}
	for _, x := range list.Runners {
		runner := r.registry.GetOrCreate(x.ID, x.Addr, x.Zone)
		previous, ok := old[runner]
		if ok && previous.StartedUnixMS != x.StartedUnixMS {
			runner.ClearCache()
		}
		runner.StartedUnixMS = x.StartedUnixMS
		item := listedRunner{Runner: x, state: runner, process: previous.process, drainingSince: previous.drainingSince, coldUntil: previous.coldUntil}
		if !ok || previous.StartedUnixMS != x.StartedUnixMS {
			item.process = x.Process()
			if ok {
				r.advice.Succeed(now, previous.process, item.process, since(x.Zone))
			}
			runner.Recovery = warmup.Recovery{}
		}
		if !ok || previous.WarmupLeftMS != x.WarmupLeftMS || previous.StartedUnixMS != x.StartedUnixMS {
			item.coldUntil = now.Add(time.Duration(x.WarmupLeftMS) * time.Millisecond)
		}
		if x.Draining && item.drainingSince.IsZero() {
			item.drainingSince = now
		}
		next[x.Service] = append(next[x.Service], item)
		known[x.ID+" "+x.Addr] = true
	}
	r.byService = next
	r.registry.Retain(func(id, addr string) bool { return known[id+" "+addr] })
}

// settleLeaving forgets that runners leave whose process before has said so. asOf returns,
// for a data centre, a time at which its runners were as the list shows them.
func (r *runnerSet) settleLeaving(asOf func(zone string) time.Time) {
	if !r.advice.HasInherited() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.byService {
		for i := range list {
			if l := &list[i]; !l.Draining {
				r.advice.RecordStaying(l.process, asOf(l.Zone))
			}
		}
	}
}

// candidates returns the runners that may receive a request, except those that
// have asked for a pause. Draining runners, also those that have only said so
// themselves, are returned only while no other one is listed, and for at most
// drainGrace.
func (r *runnerSet) candidates(now time.Time, q *runnerQuery) []*placement.RunnerState {
	var active, draining []*placement.RunnerState
	for i := range r.byService[q.service.Name] {
		l := &r.byService[q.service.Name][i]
		if !r.eligible(l, q.allowed) || !r.maySendWarmUp(now, q, l) || slices.Contains(q.tried, l.state) || !r.advice.PausedUntil(now, l.process).IsZero() {
			continue
		}
		since := r.leavingSince(l)
		switch {
		case since.IsZero():
			active = append(active, l.state)
		case now.Sub(since) < r.drainGrace:
			draining = append(draining, l.state)
		}
	}
	if len(active) > 0 || len(q.tried) > 0 {
		return active
	}
	return draining
}

// leavingSince returns when the runner was first known to leave, from the list or
// from its answers, or the zero time.
func (r *runnerSet) leavingSince(l *listedRunner) time.Time {
	said := r.advice.LeavingSince(l.process)
	if l.Draining && (said.IsZero() || l.drainingSince.Before(said)) {
		return l.drainingSince
	}
	return said
}

// pauseLeft returns the time until the first of a service's runners wants requests
// again, or 0 if one of them does now or none has asked for a pause. Runners that
// leave do not count.
func (r *runnerSet) pauseLeft(now time.Time, service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := time.Duration(0)
	for i := range r.byService[service] {
		l := &r.byService[service][i]
		if !r.leavingSince(l).IsZero() {
			continue
		}
		until := r.advice.PausedUntil(now, l.process)
		if until.IsZero() {
			return 0
		}
		if left := until.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// processAt names the process of the listed runner with an ID, or any if that is
// empty, at an address. It returns "" if none is listed.
func (r *runnerSet) processAt(addr, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.byService {
		for i := range list {
			if list[i].Addr == addr && (id == "" || list[i].ID == id) {
				return list[i].process
			}
		}
	}
	return ""
}

// pick chooses a runner and counts the request as active there. finish, or unpick
// if nothing was sent, must be called later. For an engine it also returns the
// address of another runner that may cache shared parts of the prompt, or "" if
// there is none.
func (r *runnerSet) pick(now time.Time, q *runnerQuery) (runner *placement.RunnerState, cacheAddr string) {
	if q.service.Engine != nil {
		return r.pickEngine(now, q)
	}
	return r.pickLeastLoaded(now, q), ""
}

// unpick reverts pick for a runner to which nothing was sent.
func (r *runnerSet) unpick(runner *placement.RunnerState, s *catalog.Service, p *placement.Prompt) {
	if s.Engine != nil {
		r.prefillDone(runner, p.Tokens)
	}
	r.finish(runner, nil)
}

// pickEngine chooses a runner for a prompt and counts the request as active
// there. It also returns the address of another runner that may cache shared
// parts of the prompt, or "" if there is none.
func (r *runnerSet) pickEngine(now time.Time, q *runnerQuery) (runner *placement.RunnerState, cacheAddr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.candidates(now, q)
	runner = placement.PickEngine(now, list, q.prompt, &r.topology)
	if runner == nil {
		return nil, ""
	}
	if source := placement.PickCacheSource(now, list, runner, q.prompt); source != nil {
		cacheAddr = source.Addr
	}
	r.takeWarmUp(now, runner)
	runner.ActiveRequests++
	runner.PendingPromptTokens += q.prompt.Tokens
	runner.RecordPrompt(now, q.prompt)
	return runner, cacheAddr
}

// pickLeastLoaded chooses a runner for a request without a prompt and counts
// the request as active there.
func (r *runnerSet) pickLeastLoaded(now time.Time, q *runnerQuery) *placement.RunnerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := map[*placement.RunnerState]int{}
	for _, l := range r.byService[q.service.Name] {
		slots[l.state] = l.Slots
	}
	runner := placement.PickLeastLoaded(now, r.candidates(now, q), func(runner *placement.RunnerState) int { return slots[runner] }, &r.topology)
	if runner != nil {
		r.takeWarmUp(now, runner)
		runner.ActiveRequests++
	}
	return runner
}

// prefillDone removes a prompt from the runner's count of pending prompt
// tokens.
func (r *runnerSet) prefillDone(runner *placement.RunnerState, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner.PendingPromptTokens -= tokens
}

// finish removes a request from the runner's count of active requests and
// applies record, if it is not nil, to the runner's state.
func (r *runnerSet) finish(runner *placement.RunnerState, record func(*placement.RunnerState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner.ActiveRequests--
	if record != nil {
		record(runner)
	}
}

// startOf returns a name of the runner that differs for each of its starts.
func (r *runnerSet) startOf(runner *placement.RunnerState) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return processOf(runner)
}

// processOf returns a name of the runner that differs for each of its starts.
func processOf(runner *placement.RunnerState) string {
	listed := directory.Runner{ID: runner.ID, Addr: runner.Addr, StartedUnixMS: runner.StartedUnixMS}
	return listed.Process()
}

// updateLoad records the load that a runner reported.
func (r *runnerSet) updateLoad(runner *placement.RunnerState, load *placement.Load) {
	if load == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	runner.Load = *load
}

// hasQueue reports whether requests are known to wait at a runner.
func (r *runnerSet) hasQueue(now time.Time, runner *placement.RunnerState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runner.HasQueue(now)
}
