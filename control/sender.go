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
	// maxQueuedMessages bounds the messages that wait for one peer. Raft
	// repeats what is dropped.
	maxQueuedMessages = 1024
	// maxCallsUnderWay lets messages overtake a call that waits for a slow
	// link, up to this number of calls to one peer.
	maxCallsUnderWay = 8
	maxBatchBytes    = 1 << 20
)

// sender sends raft messages to the peers without blocking its caller.
type sender struct {
	caller  transport.Caller
	book    *book
	addr    string
	timeout time.Duration
	// replaced is called when a peer says that this replica was replaced.
	replaced func(by raft.ReplicaID)
	count    *counters

	mu     sync.Mutex
	queues map[ids.VMID]*sendQueue
	ctx    context.Context
	calls  sync.WaitGroup
}

type sendQueue struct {
	messages []raft.Message
	underWay int
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
			s.count.droppedMessages.Inc()
			q.messages = q.messages[1:]
		}
		q.messages = append(q.messages, m)
		touched[m.To.VM] = true
	}
	for vm := range touched {
		s.startCall(vm, s.queues[vm])
	}
}

// startCall is called with mu held.
func (s *sender) startCall(vm ids.VMID, q *sendQueue) {
	if q.underWay >= maxCallsUnderWay || len(q.messages) == 0 || s.ctx.Err() != nil {
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
	q.underWay++
	s.calls.Go(func() {
		s.call(vm, batch)
		s.mu.Lock()
		defer s.mu.Unlock()
		q.underWay--
		s.startCall(vm, q)
	})
}

func (s *sender) call(vm ids.VMID, batch []raft.Message) {
	addr := s.book.addr(vm)
	if addr == "" {
		return
	}
	body, err := wire.Encode(&raftBatch{Messages: batch, Addr: s.addr})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.timeout)
	defer cancel()
	s.count.raftBytes.Add(len(body))
	b, err := s.caller.Call(ctx, addr, transport.MethodRaft, body)
	if err != nil {
		s.count.failedSends.Inc()
		return
	}
	var reply raftReply
	if wire.Decode(b, &reply) == nil && reply.Replaced != nil {
		s.replaced(*reply.Replaced)
	}
}
