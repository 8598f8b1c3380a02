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

// relay reports this control VM's subscribers to the leader and brings back
// the proof that the settings here are current.
type relay struct {
	server *Server
	wakeUp chan struct{} // of capacity 1

	mu      sync.Mutex
	waiting []chan struct{}
}

func newRelay(s *Server) *relay {
	return &relay{server: s, wakeUp: make(chan struct{}, 1)}
}

// wake starts a report at once.
func (r *relay) wake() {
	select {
	case r.wakeUp <- struct{}{}:
	default:
	}
}

// now waits for a report that starts after the call, or for ctx.
func (r *relay) now(ctx context.Context) {
	done := make(chan struct{})
	r.mu.Lock()
	r.waiting = append(r.waiting, done)
	r.mu.Unlock()
	r.wake()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// run reports at regular times, when woken and when the leader changes.
func (r *relay) run(ctx context.Context) {
	ticker := time.NewTicker(r.server.opts.RelayEvery)
	defer ticker.Stop()
	for {
		changed := r.server.replica.change()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeUp:
		case <-changed:
		}
		r.mu.Lock()
		waiting := r.waiting
		r.waiting = nil
		r.mu.Unlock()
		if err := r.server.reportOnce(ctx); err != nil {
			r.server.count.reportsFailed.Inc()
		}
		for _, done := range waiting {
			close(done)
		}
	}
}

// reportsPerTerm is the number of reports that may each wait for their timeout
// before the leases here run out.
const reportsPerTerm = 6

var errNoProof = errors.New("control: no leader with a proof is known")

// reportOnce sends one report to the leader, or takes it here.
func (s *Server) reportOnce(ctx context.Context) error {
	v := s.replica.published.Load()
	sent := time.Now()
	s.mu.Lock()
	rep := s.hub.report(sent, v)
	s.mu.Unlock()
	reply, err := s.sendReport(ctx, v, rep)
	if err != nil {
		return err
	}
	if !reply.OK {
		return errNoProof
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hub.takeReply(time.Now(), sent, rep, reply)
	return nil
}

func (s *Server) sendReport(ctx context.Context, v *view, rep *report) (*reportReply, error) {
	if v.isLeader() {
		return s.takeReport(ctx, rep)
	}
	addr := s.replica.leaderAddr(v)
	if addr == "" {
		return nil, errNoProof
	}
	body, err := wire.Encode(&statusCall{Group: s.replica.Group(), Report: rep})
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.replica.whileLed(ctx, v.leader)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, s.opts.LeaseTerm/reportsPerTerm)
	defer cancelTimeout()
	b, err := s.opts.Caller.Call(ctx, addr, transport.MethodStatus, body)
	if err != nil {
		return nil, err
	}
	reply := &reportReply{}
	return reply, wire.Decode(b, reply)
}

// takeReport answers a report on the leader.
func (s *Server) takeReport(ctx context.Context, rep *report) (*reportReply, error) {
	s.replica.book.learn(rep.From, rep.Addr)
	if s.replica.published.Load().proof.IsZero() {
		// A replica that does not lead may lag, and would take a session that
		// was just opened for one that has ended.
		return &reportReply{}, nil
	}
	open, err := s.openSessions(ctx, rep)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hub.takeReport(time.Now(), s.replica.published.Load(), rep, open), nil
}

// openSessions gives those sessions of the report that are open, or all open
// sessions without a report.
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
