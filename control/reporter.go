package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// reporter sends reports about this control VM's subscribers to the leader and
// obtains the confirmations that the settings here are current.
type reporter struct {
	server    *Server
	triggered chan struct{} // capacity 1

	mu      sync.Mutex
	waiters []chan struct{}
}

func newReporter(s *Server) *reporter {
	return &reporter{server: s, triggered: make(chan struct{}, 1)}
}

// trigger starts a report at once.
func (r *reporter) trigger() {
	select {
	case r.triggered <- struct{}{}:
	default:
	}
}

// reportNow triggers a report and waits until a report that began after the call
// has ended, or until ctx ends.
func (r *reporter) reportNow(ctx context.Context) {
	done := make(chan struct{})
	r.mu.Lock()
	r.waiters = append(r.waiters, done)
	r.mu.Unlock()
	r.trigger()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// run reports periodically, when triggered and when the leader, the settings or
// the document changes.
func (r *reporter) run(ctx context.Context) {
	ticker := time.NewTicker(r.server.opts.ReportInterval)
	defer ticker.Stop()
	for {
		changed := r.server.replica.stateChanged()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.triggered:
		case <-changed:
		}
		r.mu.Lock()
		waiting := r.waiters
		r.waiters = nil
		r.mu.Unlock()
		if err := r.server.reportOnce(ctx); err != nil {
			r.server.counters.reportsFailed.Inc()
		}
		for _, done := range waiting {
			close(done)
		}
	}
}

// reportTimeoutsPerLease is the number of reports that can time out one after
// the other before the leases granted here expire.
const reportTimeoutsPerLease = 6

var errNoConfirmedLeader = errors.New("control: no leader confirmed by a majority is known")

// reportOnce sends one report to the leader, or handles it here if this VM
// leads.
func (s *Server) reportOnce(ctx context.Context) error {
	v := s.replica.published.Load()
	sent := time.Now()
	s.mu.Lock()
	rep := s.state.buildReport(sent, v)
	s.mu.Unlock()
	reply, err := s.sendReport(ctx, v, rep)
	if err != nil {
		return err
	}
	if !reply.OK {
		return errNoConfirmedLeader
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.applyReportReply(time.Now(), sent, rep, reply)
	return nil
}

func (s *Server) sendReport(ctx context.Context, v *view, rep *report) (*reportReply, error) {
	if v.isLeader() {
		return s.handleReport(ctx, rep)
	}
	addr := s.replica.leaderAddr(v)
	if addr == "" {
		return nil, errNoConfirmedLeader
	}
	body, err := wire.Encode(&statusRequest{Group: s.replica.Group(), Report: rep})
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.replica.leaderContext(ctx, v.leader)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, s.opts.LeaseTerm/reportTimeoutsPerLease)
	defer cancelTimeout()
	b, err := s.opts.Caller.Call(ctx, addr, transport.MethodStatus, body)
	if err != nil {
		return nil, err
	}
	reply := &reportReply{}
	return reply, wire.Decode(b, reply)
}

// handleReport answers a report on the leader.
func (s *Server) handleReport(ctx context.Context, rep *report) (*reportReply, error) {
	s.replica.addresses.update(rep.From, rep.Addr)
	if s.replica.published.Load().confirmedAt.IsZero() {
		// A replica that does not lead may lag behind and would treat a session
		// that was just opened as ended.
		return &reportReply{}, nil
	}
	open, err := s.openSessions(ctx, rep)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.handleReport(time.Now(), s.replica.published.Load(), rep, open), nil
}

// openSessions returns a set of open sessions: those contained in rep, or all
// if rep is nil.
func (s *Server) openSessions(ctx context.Context, rep *report) (map[ids.SessionID]bool, error) {
	open := map[ids.SessionID]bool{}
	if rep != nil && len(rep.Sessions) == 0 {
		return open, nil
	}
	err := s.replica.Do(ctx, func() {
		isOpen := s.opts.Views.IsOpen
		if rep == nil || isOpen == nil {
			for _, id := range s.opts.Views.Sessions() {
				open[id] = true
			}
			return
		}
		for i := range rep.Sessions {
			id := rep.Sessions[i].Session
			open[id] = isOpen(id)
		}
	})
	return open, err
}
