package gateway

import (
	"context"
	"time"
)

// stallTimeoutFactor times the route's MaxEventGap is how long a resumable stream
// is silent before another runner is asked to go on with it.
const stallTimeoutFactor = 3

func (r *request) stallTimeout() time.Duration { return stallTimeoutFactor * r.route.MaxEventGap }

// beginLeg starts the stall timer for a leg. For a stream whose caller has not
// received an event yet, it starts with the first one.
func (r *request) beginLeg(ctx context.Context, s *eventStream, leg *streamLeg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leg = leg
	if !r.mayResume() || r.route.MaxEventGap <= 0 {
		return
	}
	s.stallTimer = time.AfterFunc(time.Hour, func() { r.onStall(ctx, s, leg) })
	if s.writer != nil {
		s.recordProgress(r.stallTimeout())
	}
}

// onStall starts a standby for a leg that has been silent for the stall timeout.
func (r *request) onStall(ctx context.Context, s *eventStream, leg *streamLeg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leg != leg || s.standby != nil {
		return
	}
	if s.writing {
		// The caller is slow, not the runner.
		s.stallTimer.Reset(r.stallTimeout())
		return
	}
	if rest := r.stallTimeout() - time.Since(s.progressAt); rest > 0 {
		s.stallTimer.Reset(rest)
		return
	}
	r.g.metrics.standbys.Inc()
	go r.newStandby(ctx, s, leg).run()
}

// recordProgress restarts the stall timer. It is called with mu held.
func (s *eventStream) recordProgress(timeout time.Duration) {
	s.progressAt = time.Now()
	if s.stallTimer != nil && s.leg != nil {
		s.stallTimer.Reset(timeout)
	}
}

// endLeg stops the stall timer.
func (s *eventStream) endLeg() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leg = nil
	if s.stallTimer != nil {
		s.stallTimer.Stop()
	}
}
