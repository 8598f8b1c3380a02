package control

import (
	"context"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

const (
	// maxQueuedMessages bounds the messages queued for one peer. Raft resends
	// the messages that are dropped.
	maxQueuedMessages = 1024
	// maxInFlightCalls bounds the concurrent calls to one peer. Several calls
	// let messages overtake one that waits for a slow link.
	maxInFlightCalls = 8
	maxBatchBytes    = 1 << 20
)

// sender sends raft messages to the peers without blocking its caller.
type sender struct {
	caller    transport.Caller
	addresses *addressBook
	addr      string
	timeout   time.Duration
	// onReplaced is called when a peer answers that this replica was replaced.
	onReplaced func(by raft.ReplicaID)
	counters   *counters

	mu     sync.Mutex
	queues map[ids.VMID]*sendQueue
	ctx    context.Context
	calls  sync.WaitGroup
}

type sendQueue struct {
	messages []raft.Message
	inFlight int
}

func (s *sender) send(list []raft.Message) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := map[ids.VMID]bool{}
	for _, m := range list {
		q := s.queues[m.To.VM]
		if q == nil {
			q = &sendQueue{}
			s.queues[m.To.VM] = q
		}
		if len(q.messages) >= maxQueuedMessages {
			s.counters.raftMessagesDropped.Inc()
			q.messages = q.messages[1:]
		}
		q.messages = append(q.messages, m)
		touched[m.To.VM] = true
	}
	for vm := range touched {
		s.startCall(vm, s.queues[vm])
	}
}

// startCall sends the next batch. It is called with mu held.
func (s *sender) startCall(vm ids.VMID, q *sendQueue) {
	if q.inFlight >= maxInFlightCalls || len(q.messages) == 0 || s.ctx.Err() != nil {
		return
	}
	size, n := 0, 0
	for n < len(q.messages) && size < maxBatchBytes {
		for _, e := range q.messages[n].Entries {
			size += len(e.Data)
		}
		n++
	}
	batch := q.messages[:n:n]
	q.messages = q.messages[n:]
	q.inFlight++
	s.calls.Go(func() {
		s.call(vm, batch)
		s.mu.Lock()
		defer s.mu.Unlock()
		q.inFlight--
		s.startCall(vm, q)
	})
}

func (s *sender) call(vm ids.VMID, batch []raft.Message) {
	addr := s.addresses.addr(vm)
	if addr == "" {
		return
	}
	body, err := wire.Encode(&raftBatch{Messages: batch, Addr: s.addr})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	s.counters.raftSentBytes.Add(len(body))
	b, err := s.caller.Call(ctx, addr, transport.MethodRaft, body)
	if err != nil {
		s.counters.raftSendsFailed.Inc()
		return
	}
	var reply raftReply
	if wire.Decode(b, &reply) == nil && reply.Replaced != nil {
		s.onReplaced(*reply.Replaced)
	}
}
