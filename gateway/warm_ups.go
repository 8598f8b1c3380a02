package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/residency"
	"damaskbridge.example/damaskbridge/warmup"
)

// WarmUpOptions bound the requests of all entry VMs to a runner that warms up, see
// config.WarmUp. The zero value sets no bound.
type WarmUpOptions struct {
	Excess float64
	Slack  float64
}

// warmUps is what this VM knows of runners that warm up. Its fields but state are
// guarded by runnerSet.mu.
type warmUps struct {
	opts    WarmUpOptions
	self    string
	state   atomic.Pointer[directory.State]
	limiter *warmup.Limiter
	sent    *metrics.Counter
	// endedAt is when this VM learned that the evacuation of a data centre has ended:
	// its runners may be cold.
	endedAt map[string]time.Time
}

func newWarmUps(o WarmUpOptions, self string, sent *metrics.Counter) *warmUps {
	w := &warmUps{opts: o, self: self, sent: sent, limiter: warmup.NewLimiter(), endedAt: map[string]time.Time{}}
	w.state.Store(&directory.State{})
	return w
}

// limit returns the bound for the runners of a service, and whether there is one.
func (w *warmUps) limit(s *catalog.Service) (limit warmup.Limit, ok bool) {
	if s == nil || s.WarmUp == nil || w.opts == (WarmUpOptions{}) {
		return warmup.Limit{}, false
	}
	return warmup.Limit{PerSecond: s.WarmUp.PerSecond, Excess: w.opts.Excess, Slack: w.opts.Slack}, true
}

// maxClockSkew bounds how far the times of day of two VMs are apart.
const maxClockSkew = 5 * time.Second

// update takes over a new state. A VM that has just started goes by the time of day
// at which an evacuation ended.
func (w *warmUps) update(now time.Time, s *directory.State) {
	before := w.state.Swap(s)
	if s.Evacuations == nil || s.Evacuations == before.Evacuations {
		return
	}
	for _, z := range s.Evacuations.Zones {
		if z.EndedUnixMS == before.Evacuations.EndedUnixMS(z.Name) {
			continue
		}
		if before.Evacuations == nil && now.Sub(time.UnixMilli(z.EndedUnixMS)) > w.longestWarmUp(s)+maxClockSkew {
			continue
		}
		w.endedAt[z.Name] = now
	}
}

func (w *warmUps) longestWarmUp(s *directory.State) time.Duration {
	var longest time.Duration
	if s.Table == nil {
		return longest
	}
	for i := range s.Table.Services {
		if warmUp := s.Table.Services[i].WarmUp; warmUp != nil {
			longest = max(longest, warmUp.Time)
		}
	}
	return longest
}

// coldUntil returns until when a runner of a service is taken for cold, the zero time
// if it is not.
func (w *warmUps) coldUntil(now time.Time, s *catalog.Service, l *listedRunner) time.Time {
	if _, limited := w.limit(s); !limited {
		return time.Time{}
	}
	until := l.coldUntil
	if ended, ok := w.endedAt[l.Zone]; ok && ended.Add(s.WarmUp.Time).After(until) {
		until = ended.Add(s.WarmUp.Time)
	}
	if !until.After(now) {
		return time.Time{}
	}
	return until
}

// isProber reports whether this VM is one of those that may try a runner which may
// be cold.
func (w *warmUps) isProber(l *listedRunner, limit warmup.Limit) bool {
	var near, all []string
	for _, e := range w.state.Load().Entries {
		all = append(all, e.Addr)
		if e.Zone == l.Zone {
			near = append(near, e.Addr)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return slices.Contains(placement.TopRendezvous(l.process, all, limit.Probers()), w.self)
}

// maySendWarmUp reports whether the warm-up of a runner, if any, leaves room for a
// request of this VM. r.mu is held.
func (r *runnerSet) maySendWarmUp(now time.Time, q *runnerQuery, l *listedRunner) bool {
	w := r.warmUps
	l.state.WarmingUp = false
	limit, limited := w.limit(q.service)
	if !limited {
		return true
	}
	if !w.coldUntil(now, q.service, l).IsZero() {
		l.state.WarmingUp = true
		return w.state.Load().WarmUps.Holds(now, l.process) && w.limiter.May(now, l.process, limit)
	}
	if l.state.Recovery.IsPending(now, q.service.WarmUp.Time) {
		l.state.WarmingUp = true
		return l.state.Recovery.May(now, w.isProber(l, limit))
	}
	return true
}

// takeWarmUp counts a request to a runner that was chosen. r.mu is held.
func (r *runnerSet) takeWarmUp(now time.Time, runner *placement.RunnerState) {
	if !runner.WarmingUp {
		return
	}
	r.warmUps.sent.Inc()
	r.warmUps.limiter.Take(processOf(runner))
	runner.Recovery.Take(now)
}

// recordAnswered records that a runner has answered a request.
func (r *runnerSet) recordAnswered(now time.Time, runner *placement.RunnerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runner.Recovery.RecordSuccess(now)
}

// warmUpLeft returns the time until the first runner of a service in the allowed
// regions is warm, or 0 if one of them is or none is listed there.
func (r *runnerSet) warmUpLeft(now time.Time, s *catalog.Service, allowed residency.Regions) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := time.Duration(0)
	for i := range r.byService[s.Name] {
		l := &r.byService[s.Name][i]
		if l.Draining || !r.eligible(l, allowed) {
			continue
		}
		until := r.warmUps.coldUntil(now, s, l)
		if until.IsZero() {
			return 0
		}
		if left := until.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// poolColdUntil returns until when a stage runner gets no calls because it is cold.
func (r *runnerSet) poolColdUntil(now time.Time, s *catalog.Service, l *listedRunner) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.warmUps.coldUntil(now, s, l)
}

// setState takes over the evacuations and the grants of a new state.
func (r *runnerSet) setState(now time.Time, s *directory.State) {
	r.evacuations.Store(s.Evacuations)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmUps.update(now, s)
	known := map[string]bool{}
	for _, list := range r.byService {
		for i := range list {
			known[list[i].process] = true
		}
	}
	r.warmUps.limiter.Retain(func(process string) bool { return known[process] })
}
