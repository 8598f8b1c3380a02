package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// ErrNotCurrent is returned if this VM cannot confirm that its document is the
// newest.
var ErrNotCurrent = errors.New("control: no leader has confirmed the newest document in time; retry or ask another control VM")

// InsufficientCopiesError reports that too few disks would hold a document.
type InsufficientCopiesError struct {
	Copies, Required int
}

func (e *InsufficientCopiesError) Error() string {
	return fmt.Sprintf("control: a document would be on %d disks and %d are wanted; wait until more control VMs have joined", e.Copies, e.Required)
}

// confirmationPollInterval is how often a read checks for a newer confirmation.
// Confirmations come with the heartbeats, so a shorter interval gains little.
const confirmationPollInterval = 10 * time.Millisecond

// Document returns the newest document that this VM has applied, or nil.
func (s *Server) Document() *catalog.Document { return s.replica.published.Load().document }

// Changed returns a channel that is closed at the next change of the leader,
// the settings or the document, and when the disk is full or has space again.
func (s *Server) Changed() <-chan struct{} { return s.replica.stateChanged() }

// ConfirmationAge returns the maximum staleness of this VM's state: the time
// since the start of the newest heartbeat round that a majority has confirmed.
// It is negative if there is no such round, and while the disk is full: what is
// accepted from now on does not reach this VM.
func (s *Server) ConfirmationAge(now time.Time) time.Duration {
	v := s.replica.published.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmed := s.state.confirmedAt(v)
	if confirmed.IsZero() || v.paused {
		return -1
	}
	return now.Sub(confirmed)
}

// Leader returns the leader's address. It is empty if the leader is unknown or
// is this VM.
func (s *Server) Leader() string { return s.replica.leaderAddr(s.replica.published.Load()) }

// Leads reports whether this VM is the leader.
func (s *Server) Leads() bool { return s.replica.published.Load().isLeader() }

// Members returns the addresses of all members of the group.
func (s *Server) Members() []string {
	var list []string
	for _, id := range s.replica.published.Load().members.All() {
		list = append(list, s.replica.addresses.addr(id.VM))
	}
	return list
}

// ReadDocument performs a linearizable read of the document: it returns the
// document that was the newest at some moment after the call began. The leader
// answers once a majority has confirmed a heartbeat round that began after the
// call; a leader that was suspended or partitioned gets no such confirmation.
func (s *Server) ReadDocument(ctx context.Context) (*catalog.Document, error) {
	if v := s.replica.published.Load(); v.isLeader() {
		v, err := s.confirmedView(ctx)
		if err != nil {
			return nil, err
		}
		return v.document, nil
	}
	reply, err := s.readAtLeader(ctx, nil)
	if err != nil {
		return nil, err
	}
	return reply.Document, nil
}

// readAtLeader asks the leader for what is in force after the call began.
func (s *Server) readAtLeader(ctx context.Context, request []byte) (*documentReply, error) {
	leader := s.replica.leaderAddr(s.replica.published.Load())
	if leader == "" {
		return nil, ErrNotCurrent
	}
	b, err := s.opts.Caller.Call(ctx, leader, transport.MethodDocument, request)
	if err != nil {
		return nil, errors.Join(ErrNotCurrent, err)
	}
	reply := &documentReply{}
	if err := wire.Decode(b, reply); err != nil {
		return nil, err
	}
	if !reply.Confirmed {
		return nil, ErrNotCurrent
	}
	return reply, nil
}

// confirmedView returns a view of this VM, which must lead, at some moment after the
// call began.
func (s *Server) confirmedView(ctx context.Context) (*view, error) {
	start := time.Now()
	ticker := time.NewTicker(confirmationPollInterval)
	defer ticker.Stop()
	for {
		v := s.replica.published.Load()
		if !v.isLeader() {
			return nil, ErrNotCurrent
		}
		if v.confirmedAt.After(start) {
			return v, nil
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

// documentReply is the response to a transport.MethodDocument call.
type documentReply struct {
	Confirmed bool              `cbor:"1,keyasint"`
	Document  *catalog.Document `cbor:"2,keyasint,omitempty"`
	// Evacuations is sent in place of the document to a call that asks for them.
	Evacuations *evacuation.Table `cbor:"3,keyasint,omitempty"`
}

// documentCall is the body of a transport.MethodDocument call. An empty body asks
// for the document.
type documentCall struct {
	Evacuations bool `cbor:"1,keyasint,omitempty"`
}

func (s *Server) handleDocument(ctx context.Context, body []byte) ([]byte, error) {
	var call documentCall
	if len(body) > 0 {
		if err := wire.Decode(body, &call); err != nil {
			return nil, err
		}
	}
	v, err := s.confirmedView(ctx)
	reply := documentReply{Confirmed: err == nil}
	switch {
	case err != nil:
	case call.Evacuations:
		reply.Evacuations = v.evacuations
	default:
		reply.Document = v.document
	}
	return wire.Encode(&reply)
}

// Publish returns nil once a document of d's version or a higher one has been
// applied and is durable on enough disks to survive the tolerated number of
// disk losses. It is idempotent.
func (s *Server) Publish(ctx context.Context, d *catalog.Document) error {
	if applied := s.Document(); applied != nil && applied.Version >= d.Version {
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

// checkCopies returns an InsufficientCopiesError if a majority of the present
// voters is fewer disks than must hold a document.
func (r *Replica) checkCopies() error {
	copies := len(r.node.Members().Voters)/2 + 1
	if required := r.opts.TargetVoters/2 + 1; copies < required {
		return &InsufficientCopiesError{Copies: copies, Required: required}
	}
	return nil
}
