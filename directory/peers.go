package directory

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// peerWait is how long a control VM holds the watch of another one if nothing
	// changes. The ages of the lists travel with the replies.
	peerWait = 500 * time.Millisecond
	// peerCheckInterval is how often a control VM checks whom it has to watch.
	peerCheckInterval = 300 * time.Millisecond
)

// errLegacyLeader reports that the leader runs a release that does not exchange
// sets.
var errLegacyLeader = errors.New("directory: the leader runs an earlier release; the lists are read here until it is upgraded")

// runPeers keeps the lists in step with those of other control VMs: the leader
// watches all others, and all others watch the leader.
func (s *Server) runPeers(ctx context.Context) {
	watches := map[string]context.CancelFunc{}
	var loops sync.WaitGroup
	defer loops.Wait()
	defer func() {
		for _, cancel := range watches {
			cancel()
		}
	}()
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		changed := s.opts.Control.Changed()
		want := s.peersToWatch()
		for addr, cancel := range watches {
			if !want[addr] {
				cancel()
				delete(watches, addr)
			}
		}
		for addr := range want {
			if watches[addr] == nil {
				watchCtx, cancel := context.WithCancel(ctx)
				watches[addr] = cancel
				loops.Go(func() { s.watchPeer(watchCtx, addr) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// peersToWatch returns the control VMs that this one watches.
func (s *Server) peersToWatch() map[string]bool {
	want := map[string]bool{}
	if leader := s.opts.Control.Leader(); leader != "" {
		want[leader] = true
	}
	if s.opts.Control.Leads() {
		for _, addr := range s.opts.Control.Members() {
			if addr != s.opts.Self {
				want[addr] = true
			}
		}
	}
	return want
}

func (s *Server) watchPeer(ctx context.Context, addr string) {
	failing := false
	for ctx.Err() == nil {
		err := s.watchPeerOnce(ctx, addr)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			s.opts.Logger.Info().Err(err).Str("control", addr).Bool("reachable", !failing).Msg("directory: exchange with a control VM")
		}
		if err != nil {
			timer.Sleep(ctx, retryInterval)
		}
	}
}

func (s *Server) watchPeerOnce(ctx context.Context, addr string) error {
	sentAt := time.Now()
	call := &watchCall{
		From: EntryVM{Addr: s.opts.Self}, WaitMS: uint32(peerWait.Milliseconds()),
		Format: formatSets, Control: true, Sets: s.lists.versions(sentAt),
	}
	reply, err := callWatch(ctx, s.opts.Caller, addr, call)
	if err != nil {
		return err
	}
	if reply.Format < formatSets {
		err := s.exchangeLegacyRoster(ctx, addr)
		timer.Sleep(ctx, rosterInterval)
		return errors.Join(errLegacyLeader, err)
	}
	return s.lists.apply(madeAt(sentAt, reply), call.Sets, reply.Changes)
}

// madeAt returns a time at or before which the control VM put the reply
// together.
func madeAt(sentAt time.Time, reply *watchReply) time.Time {
	return sentAt.Add(time.Duration(reply.HeldMS) * time.Millisecond)
}

// callWatch sends one watch call.
func callWatch(ctx context.Context, caller transport.Caller, addr string, call *watchCall) (*watchReply, error) {
	body, err := wire.Encode(call)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	b, err := caller.Call(ctx, addr, transport.MethodWatch, body)
	if err != nil {
		return nil, err
	}
	reply := &watchReply{}
	return reply, wire.Decode(b, reply)
}
