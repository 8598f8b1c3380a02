package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// Server answers the calls of entry VMs, tools and other control VMs. It is a
// transport.Handler and is safe for concurrent use.
type Server struct {
	opts       Options
	replica    *Replica // replica of the settings group
	replicas   map[ids.GroupID]*Replica
	counters   *counters
	reporter   *reporter
	cancel     context.CancelFunc
	background sync.WaitGroup

	handlers map[transport.Method]transport.Handler

	// mu guards state. It is held for short operations only.
	mu    sync.Mutex
	state *softState
}

// NewServer returns a server for the settings group's replica and those of
// other groups, and starts its background work.
func NewServer(settingsGroup *Replica, others ...*Replica) *Server {
	o := settingsGroup.opts
	ctx, cancel := context.WithCancel(settingsGroup.ctx)
	s := &Server{
		opts: o, replica: settingsGroup, counters: settingsGroup.counters, cancel: cancel,
		replicas: map[ids.GroupID]*Replica{settingsGroup.Group(): settingsGroup},
		state:    newSoftState(o.Self, o.Addr, o.LeaseTerm, o.SessionExpiry),
		handlers: map[transport.Method]transport.Handler{},
	}
	for _, r := range others {
		s.replicas[r.Group()] = r
	}
	s.reporter = newReporter(s)
	s.background.Go(func() { s.reporter.run(ctx) })
	s.background.Go(func() { s.runLeaderTasks(ctx) })
	return s
}

// Handle registers h for the calls of method m, which this package does not
// answer itself. It must be called before the server is passed to a listener.
func (s *Server) Handle(m transport.Method, h transport.Handler) { s.handlers[m] = h }

// Close stops the background work. The owner of the replicas closes them.
func (s *Server) Close() {
	s.cancel()
	s.background.Wait()
}

// Serve answers one call.
func (s *Server) Serve(ctx context.Context, from transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	if err := authorize(from, m); err != nil {
		return nil, err
	}
	switch m {
	case transport.MethodRaft:
		return serveMessage(body, s.handleRaft)
	case transport.MethodPropose:
		return serveMessage(body, func(p *wire.Propose) (*wire.ProposeReply, error) { return s.propose(ctx, p) })
	case transport.MethodRenew:
		return serveMessage(body, func(r *wire.Renew) (*wire.RenewReply, error) { return s.renew(ctx, from, r) })
	case transport.MethodStatus:
		return s.handleStatus(ctx, from, body)
	case transport.MethodSnapshot:
		return serveMessage(body, s.snapshotChunk)
	case transport.MethodDocument:
		return s.handleDocument(ctx, body)
	}
	if h := s.handlers[m]; h != nil {
		return h.Serve(ctx, from, m, body)
	}
	return nil, fmt.Errorf("control: this VM does not support method %s", m)
}

// authorize restricts the calls between the group's replicas to control VMs.
func authorize(from transport.Peer, m transport.Method) error {
	switch m {
	case transport.MethodRaft, transport.MethodSnapshot:
		if from.Role != transport.RoleControl {
			return fmt.Errorf("control: %s %q may not call %s; use a certificate of a control VM", from.Role, from.VM, m)
		}
	}
	return nil
}

// serveMessage decodes a request, calls f and encodes the response.
func serveMessage[Q, A any](body []byte, f func(*Q) (*A, error)) ([]byte, error) {
	q := new(Q)
	if err := wire.Decode(body, q); err != nil {
		return nil, err
	}
	a, err := f(q)
	if err != nil {
		return nil, err
	}
	return wire.Encode(a)
}

func (s *Server) replicaOf(g ids.GroupID) (*Replica, error) {
	r := s.replicas[g]
	if r == nil {
		return nil, fmt.Errorf("control: this VM has no replica of group %d; check ledger.groups", g)
	}
	return r, nil
}

// handleRaft passes messages to the replicas of their groups. The reply informs
// a sender whose identity was replaced.
func (s *Server) handleRaft(b *raftBatch) (*raftReply, error) {
	reply := &raftReply{}
	for len(b.Messages) > 0 {
		group := b.Messages[0].Group
		r, err := s.replicaOf(group)
		if err != nil {
			return nil, err
		}
		n := 1
		for n < len(b.Messages) && b.Messages[n].Group == group {
			n++
		}
		if by := r.enqueueMessages(b.Messages[:n], b.Addr); by != nil {
			reply.Replaced = by
		}
		b.Messages = b.Messages[n:]
	}
	return reply, nil
}

// enqueueMessages queues messages from one other replica. If the sender's
// identity was replaced, it drops them and returns the newer identity.
func (r *Replica) enqueueMessages(list []raft.Message, addr string) (replaced *raft.ReplicaID) {
	members := r.published.Load().members
	from := list[0].From
	if known, ok := members.MemberOn(from.VM); ok && known.Incarnation > from.Incarnation {
		return &known
	}
	r.addresses.update(from.VM, addr)
	select {
	case r.inbox <- list:
	default:
		r.counters.raftMessagesDropped.Add(len(list))
	}
	return nil
}

// electionWait bounds how long a command waits for a leader to be elected.
const electionWait = 2 * time.Second

// propose replicates a command here or forwards it once to the leader.
func (s *Server) propose(ctx context.Context, p *wire.Propose) (*wire.ProposeReply, error) {
	r, err := s.replicaOf(p.Group)
	if err != nil {
		return nil, err
	}
	wait, cancel := context.WithTimeout(ctx, electionWait)
	v := r.waitLeader(wait)
	cancel()
	if v.isLeader() || p.Forwarded || v.leader.IsZero() {
		reply, err := r.Propose(ctx, p.Command)
		if errors.Is(err, ErrStopped) {
			return nil, err
		}
		return &reply, nil
	}
	ctx, cancel = r.leaderContext(ctx, v.leader)
	defer cancel()
	return s.forward(ctx, r.leaderAddr(v), p)
}

func (s *Server) forward(ctx context.Context, addr string, p *wire.Propose) (*wire.ProposeReply, error) {
	s.counters.proposalsForwarded.Inc()
	q := *p
	q.Forwarded = true
	body, err := wire.Encode(&q)
	if err != nil {
		return nil, err
	}
	b, err := s.opts.Caller.Call(ctx, addr, transport.MethodPropose, body)
	if err != nil {
		var notSent *transport.NotSentError
		return &wire.ProposeReply{MayApply: !errors.As(err, &notSent)}, nil
	}
	reply := &wire.ProposeReply{}
	return reply, wire.Decode(b, reply)
}

func (s *Server) snapshotChunk(c *snapshotRequest) (*snapshotReply, error) {
	r, err := s.replicaOf(c.Group)
	if err != nil {
		return nil, err
	}
	return r.snapshotChunk(c)
}

func (s *Server) handleStatus(ctx context.Context, from transport.Peer, body []byte) ([]byte, error) {
	var c statusRequest
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	if c.Join == nil && c.Report == nil && c.Leave == nil {
		status, err := s.Status(ctx)
		if err != nil {
			return nil, err
		}
		return wire.Encode(&status)
	}
	if from.Role != transport.RoleControl {
		return nil, fmt.Errorf("control: %s %q may not join, leave or report; use a certificate of a control VM", from.Role, from.VM)
	}
	reply, err := s.handleMemberCall(ctx, &c)
	if err != nil {
		return nil, err
	}
	return wire.Encode(reply)
}

// handleMemberCall answers a call of another control VM.
func (s *Server) handleMemberCall(ctx context.Context, c *statusRequest) (reply any, err error) {
	if c.Report != nil {
		return s.handleReport(ctx, c.Report)
	}
	r, err := s.replicaOf(c.Group)
	if err != nil {
		return nil, err
	}
	if c.Join != nil {
		return r.handleJoin(ctx, c.Join)
	}
	return r.handleLeave(ctx, c.Leave)
}
