package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// ErrNotCurrent says that this VM cannot show that its document is the newest.
var ErrNotCurrent = errors.New("control: no leader has confirmed the newest document in time; ask again or ask another control VM")

// CopiesError says that a document would be on too few disks.
type CopiesError struct {
	Copies, Wanted int
}

func (e *CopiesError) Error() string {
	return fmt.Sprintf("control: a document would be on %d disks and %d are wanted; wait until more control VMs have joined", e.Copies, e.Wanted)
}

// proofPoll is how often a read looks for a newer proof. A proof comes with
// the heartbeats, so a shorter time gains little.
const proofPoll = 10 * time.Millisecond

// Document gives the newest document that this VM has applied, nil if none.
func (s *Server) Document() *catalog.Document { return s.replica.published.Load().document }

// Changed gives a channel that is closed at the next change of the leader, the
// settings or the document.
func (s *Server) Changed() <-chan struct{} { return s.replica.change() }

// Age is how old this VM's knowledge may be: the time since the start of the
// newest round that a majority has confirmed. It is negative if there is none.
func (s *Server) Age(now time.Time) time.Duration {
	v := s.replica.published.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	proof := s.hub.proofAt(v)
	if proof.IsZero() {
		return -1
	}
	return now.Sub(proof)
}

// Leader gives the address of the leader, empty if unknown or this VM.
func (s *Server) Leader() string { return s.replica.leaderAddr(s.replica.published.Load()) }

// Members gives the addresses of all members of the group.
func (s *Server) Members() []string {
	var list []string
	for _, id := range s.replica.published.Load().members.All() {
		list = append(list, s.replica.book.addr(id.VM))
	}
	return list
}

// ReadDocument gives the document that is the newest at some moment after the
// call began. The proof is a round of the leader's that began after the call:
// a VM that was frozen or cut off has none.
func (s *Server) ReadDocument(ctx context.Context) (*catalog.Document, error) {
	v := s.replica.published.Load()
	if v.isLeader() {
		return s.readOwn(ctx)
	}
	leader := s.replica.leaderAddr(v)
	if leader == "" {
		return nil, ErrNotCurrent
	}
	b, err := s.opts.Caller.Call(ctx, leader, transport.MethodDocument, nil)
	if err != nil {
		return nil, errors.Join(ErrNotCurrent, err)
	}
	var reply documentReply
	if err := wire.Decode(b, &reply); err != nil {
		return nil, err
	}
	if !reply.Proved {
		return nil, ErrNotCurrent
	}
	return reply.Document, nil
}

func (s *Server) readOwn(ctx context.Context) (*catalog.Document, error) {
	began := time.Now()
	ticker := time.NewTicker(proofPoll)
	defer ticker.Stop()
	for {
		v := s.replica.published.Load()
		if !v.isLeader() {
			return nil, ErrNotCurrent
		}
		if v.proof.After(began) {
			return v.document, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, ErrNotCurrent
		case <-s.replica.Done():
			return nil, ErrStopped
		}
	}
}

// documentReply answers a call of transport.MethodDocument.
type documentReply struct {
	Proved   bool              `cbor:"1,keyasint"`
	Document *catalog.Document `cbor:"2,keyasint,omitempty"`
}

func (s *Server) takeDocumentCall(ctx context.Context) ([]byte, error) {
	d, err := s.readOwn(ctx)
	reply := documentReply{Proved: err == nil, Document: d}
	return wire.Encode(&reply)
}

// Publish returns nil when a document of d's version or a higher one is in
// force and durable on enough disks that the loss of those which the options
// tolerate leaves one. Publishing again is harmless.
func (s *Server) Publish(ctx context.Context, d *catalog.Document) error {
	if held := s.Document(); held != nil && held.Version >= d.Version {
		return nil
	}
	p := &wire.Propose{Group: s.replica.Group(), Command: command.Command{Publish: d}}
	reply, err := s.propose(ctx, p)
	if err != nil {
		return err
	}
	if !reply.Done {
		return ErrNotCurrent
	}
	if reply.Result.Code != command.OK {
		return fmt.Errorf("control: the document was not applied: %s; check that all control VMs run the same release", reply.Result.Detail)
	}
	return nil
}

// enoughCopies says whether a majority of the voters is as many disks as a
// document must be on.
func (r *Replica) enoughCopies() error {
	copies := len(r.node.Members().Voters)/2 + 1
	if wanted := r.opts.WantedVoters/2 + 1; copies < wanted {
		return &CopiesError{Copies: copies, Wanted: wanted}
	}
	return nil
}
