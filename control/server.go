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
// transport.Handler and safe for concurrent use.
type Server struct {
	opts     Options
	replica  *Replica // of the settings group
	replicas map[ids.GroupID]*Replica
	count    *counters
	relay    *relay
	cancel   context.CancelFunc
	helpers  sync.WaitGroup

	others map[transport.Method]transport.Handler

	// mu guards hub and is held for short steps only.
	mu  sync.Mutex
	hub *hub
}

// NewServer makes the server of the settings group's replica and of further
// groups, and starts its reports to the leader.
func NewServer(settingsGroup *Replica, further ...*Replica) *Server {
	o := settingsGroup.opts
	ctx, cancel := context.WithCancel(settingsGroup.ctx)
	s := &Server{
		opts: o, replica: settingsGroup, count: settingsGroup.count, cancel: cancel,
		replicas: map[ids.GroupID]*Replica{settingsGroup.Group(): settingsGroup},
		hub:      newHub(o.Self, o.Addr, o.LeaseTerm, o.SessionExpiry),
		others:   map[transport.Method]transport.Handler{},
	}
	for _, r := range further {
		s.replicas[r.Group()] = r
	}
	s.relay = newRelay(s)
	s.helpers.Go(func() { s.relay.run(ctx) })
	s.helpers.Go(func() { s.lead(ctx) })
	return s
}

// Handle has h answer the calls of method m, which this package does not
// answer itself. It is called before the server is given to a listener.
func (s *Server) Handle(m transport.Method, h transport.Handler) { s.others[m] = h }

// Close ends the reports. The replicas are closed by their owner.
func (s *Server) Close() {
	s.cancel()
	s.helpers.Wait()
}

// Serve answers one call.
func (s *Server) Serve(ctx context.Context, from transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	if err := authorize(from, m); err != nil {
		return nil, err
	}
	switch m {
	case transport.MethodRaft:
		return serve(body, s.takeRaft)
	case transport.MethodPropose:
		return serve(body, func(p *wire.Propose) (*wire.ProposeReply, error) { return s.propose(ctx, p) })
	case transport.MethodRenew:
		return serve(body, func(r *wire.Renew) (*wire.RenewReply, error) { return s.renew(ctx, from, r) })
	case transport.MethodStatus:
		return s.takeStatusCall(ctx, from, body)
	case transport.MethodSnapshot:
		return serve(body, s.snapshotPart)
	case transport.MethodDocument:
		return s.takeDocumentCall(ctx)
	}
	if h := s.others[m]; h != nil {
		return h.Serve(ctx, from, m, body)
	}
	return nil, fmt.Errorf("control: this VM does not answer %s", m)
}

// authorize lets only control VMs take part in the group.
func authorize(from transport.Peer, m transport.Method) error {
	switch m {
	case transport.MethodRaft, transport.MethodSnapshot:
		if from.Role != transport.RoleControl {
			return fmt.Errorf("control: %s %q may not call %s; use a certificate of a control VM", from.Role, from.VM, m)
		}
	}
	return nil
}

// serve decodes a request, calls f and encodes its answer.
func serve[Q, A any](body []byte, f func(*Q) (*A, error)) ([]byte, error) {
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

func (s *Server) group(g ids.GroupID) (*Replica, error) {
	r := s.replicas[g]
	if r == nil {
		return nil, fmt.Errorf("control: group %d is not on this VM; check ledger.groups", g)
	}
	return r, nil
}

// takeRaft hands messages to their replicas. A sender whose identity was
// replaced is told so.
func (s *Server) takeRaft(b *raftBatch) (*raftReply, error) {
	reply := &raftReply{}
	for len(b.Messages) > 0 {
		group := b.Messages[0].Group
		r, err := s.group(group)
		if err != nil {
			return nil, err
		}
		n := 1
		for n < len(b.Messages) && b.Messages[n].Group == group {
			n++
		}
		if by := r.takeMessages(b.Messages[:n], b.Addr); by != nil {
			reply.Replaced = by
		}
		b.Messages = b.Messages[n:]
	}
	return reply, nil
}

// takeMessages queues messages of other replicas. It gives the identity that
// has replaced their sender, if any.
func (r *Replica) takeMessages(list []raft.Message, addr string) (replaced *raft.ReplicaID) {
	members := r.published.Load().members
	from := list[0].From
	if known, ok := members.Of(from.VM); ok && known.Incarnation > from.Incarnation {
		return &known
	}
	r.book.learn(from.VM, addr)
	select {
	case r.inbox <- list:
	default:
		r.count.droppedMessages.Add(len(list))
	}
	return nil
}

// electionWait bounds how long a command waits for a leader to be elected.
const electionWait = 2 * time.Second

// propose has a command replicated here or forwards it once to the leader.
func (s *Server) propose(ctx context.Context, p *wire.Propose) (*wire.ProposeReply, error) {
	r, err := s.group(p.Group)
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
	ctx, cancel = r.whileLed(ctx, v.leader)
	defer cancel()
	return s.forward(ctx, r.leaderAddr(v), p)
}

func (s *Server) forward(ctx context.Context, addr string, p *wire.Propose) (*wire.ProposeReply, error) {
	s.count.forwarded.Inc()
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

func (s *Server) snapshotPart(c *snapshotCall) (*snapshotReply, error) {
	r, err := s.group(c.Group)
	if err != nil {
		return nil, err
	}
	return r.snapshotPart(c)
}

func (s *Server) takeStatusCall(ctx context.Context, from transport.Peer, body []byte) ([]byte, error) {
	var c statusCall
	if err := wire.Decode(body, &c); err != nil {
		return nil, err
	}
	if c.Join == nil && c.Report == nil {
		status, err := s.Status(ctx)
		if err != nil {
			return nil, err
		}
		return wire.Encode(&status)
	}
	if from.Role != transport.RoleControl {
		return nil, fmt.Errorf("control: %s %q may not join or report; use a certificate of a control VM", from.Role, from.VM)
	}
	if c.Join != nil {
		r, err := s.group(c.Group)
		if err != nil {
			return nil, err
		}
		reply, err := r.takeJoin(ctx, c.Join)
		if err != nil {
			return nil, err
		}
		return wire.Encode(reply)
	}
	reply, err := s.takeReport(ctx, c.Report)
	if err != nil {
		return nil, err
	}
	return wire.Encode(reply)
}
