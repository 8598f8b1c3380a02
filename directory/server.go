package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/quarantine"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// Control is the view of the control VM's replica that the directory uses.
type Control interface {
	// Document returns the newest document applied on this VM.
	Document() *catalog.Document
	// Evacuations returns the newest evacuations applied on this VM, nil before the
	// first.
	Evacuations() *evacuation.Table
	// Changed returns a channel that is closed when the document, the evacuations or
	// the leader change.
	Changed() <-chan struct{}
	// ConfirmationAge returns the maximum age of the document, negative if unknown.
	ConfirmationAge(now time.Time) time.Duration
	// Leader returns the leader's address, empty if it is unknown or this VM.
	Leader() string
	// Leads reports whether this VM is the leader.
	Leads() bool
	// Members returns the addresses of the control VMs.
	Members() []string
}

const (
	// maxWatchWait is the longest time for which a watch stays open.
	maxWatchWait = 2 * time.Second
	// confirmationInterval is how often the watch of a VM without a document
	// checks whether a leader has confirmed this VM's.
	confirmationInterval = 30 * time.Millisecond
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Self is the address at which other VMs reach this control VM.
	Self string
	// Zones are the data centres whose runners are listed. If there are none, all
	// runners are read as one list.
	Zones   []string
	Control Control
	Caller  transport.Caller
	Lister  Lister
	Logger  *log.Logger
	// QuarantineFile is the file in which the quarantined parts of prompts outlive a
	// loss of all VMs. Empty, they are not kept.
	QuarantineFile string
	// WarmUps is true if runners that warm up are limited.
	WarmUps bool
}

// Server serves the directory on a control VM. It is safe for concurrent use.
type Server struct {
	opts      ServerOptions
	lists     *lists
	reader    *reader
	documents *documents
	// legacySeed makes the list numbers of this process differ from those of
	// other processes.
	legacySeed uint64
	// rosterChanged has a value when an entry VM that watches has changed.
	rosterChanged chan struct{}
	// detector decides about the quarantine of prompt parts, nil if this VM does not
	// lead. It belongs to the goroutine of runRoster.
	detector *quarantine.Detector
	// warmUps grants runners that warm up to entry VMs. It belongs to the goroutine of
	// runRoster.
	warmUps warmUpGranter
	// recalled are the parts that were quarantined when this VM last ran. They are
	// reported until recallUntil.
	recalled    []quarantine.Quarantined
	recallUntil time.Time

	mu sync.Mutex
	// watchers holds the entry VMs that watch this control VM.
	watchers *roster
	// leadsSince is when this VM became the leader, zero if it is not.
	leadsSince time.Time
}

// NewServer returns the directory server of a control VM. Run starts its work.
func NewServer(o ServerOptions) *Server {
	if len(o.Zones) == 0 {
		o.Zones = []string{""}
	}
	s := &Server{opts: o, lists: newLists(), documents: newDocuments(), legacySeed: rand.Uint64(), rosterChanged: make(chan struct{}, 1), watchers: newRoster()}
	s.reader = newReader(&s.opts, s.lists)
	s.recalled, s.recallUntil = s.recallQuarantine(), time.Now().Add(recallTime)
	return s
}

// Run reads the runner list and exchanges the lists with other control VMs until
// ctx ends.
func (s *Server) Run(ctx context.Context) {
	if s.opts.QuarantineFile != "" {
		// A disk that stands still must not hold up the end of Run.
		go s.keepQuarantine(ctx)
	}
	var loops sync.WaitGroup
	loops.Go(func() { s.reader.run(ctx) })
	loops.Go(func() { s.runRoster(ctx) })
	loops.Go(func() { s.runPeers(ctx) })
	loops.Wait()
}

// Serve handles calls of transport.MethodWatch and transport.MethodRoster.
func (s *Server) Serve(ctx context.Context, _ transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	if m == transport.MethodRoster {
		var call rosterCall
		if err := wire.Decode(body, &call); err != nil {
			return nil, err
		}
		return wire.Encode(s.serveLegacyRoster(time.Now(), &call))
	}
	var call watchCall
	if err := wire.Decode(body, &call); err != nil {
		return nil, err
	}
	reply, err := s.watch(ctx, &call)
	if err != nil {
		return nil, err
	}
	return wire.Encode(reply)
}

func (s *Server) watch(ctx context.Context, call *watchCall) (*watchReply, error) {
	calledAt := time.Now()
	if call.Probe {
		return s.emptyReply(calledAt), nil
	}
	if !call.Control {
		s.touchWatcher(calledAt, call)
	}
	wait := min(time.Duration(call.WaitMS)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var confirmationCheck <-chan time.Time
	if call.Version == 0 && !call.Control {
		ticker := time.NewTicker(confirmationInterval)
		defer ticker.Stop()
		confirmationCheck = ticker.C
	}
	wasConfirmed := false
	for expired := false; ; {
		documentChanged := s.opts.Control.Changed()
		listsChanged := s.lists.nextChange(awaitedBy(call))
		reply, err := s.replyTo(call, calledAt)
		if err != nil || expired || reply.endsWatch(call, wasConfirmed) {
			return reply, err
		}
		wasConfirmed = reply.AgeMS >= 0
		select {
		case <-documentChanged:
		case <-listsChanged:
		case <-confirmationCheck:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// endsWatch reports whether the reply is sent before the time of the watch is over:
// it has what the caller waits for, or this VM's state, which was confirmed until
// now, no longer is, so that the caller goes on at another control VM.
func (r *watchReply) endsWatch(call *watchCall, wasConfirmed bool) bool {
	return r.hasAwaited(call) || wasConfirmed && r.AgeMS < 0
}

// hasAwaited reports whether the reply has something that the caller waits for.
func (r *watchReply) hasAwaited(call *watchCall) bool {
	if r.Document != nil || r.Patch != nil || r.List != nil || r.Evacuations != nil {
		return true
	}
	if r.Changes == nil {
		return false
	}
	return len(r.Changes.Updates) > 0
}

// awaitedBy returns the changes that the caller of a watch waits for.
func awaitedBy(call *watchCall) changeKind {
	if call.Control {
		return anyChange
	}
	return entryVMChanges
}

func (s *Server) emptyReply(now time.Time) *watchReply {
	reply := &watchReply{AgeMS: -1, Controls: s.opts.Control.Members(), Format: formatSets}
	if age := s.opts.Control.ConfirmationAge(now); age >= 0 {
		reply.AgeMS = age.Milliseconds()
	}
	return reply
}

// replyTo returns a reply with everything that the caller does not have yet.
func (s *Server) replyTo(call *watchCall, calledAt time.Time) (*watchReply, error) {
	now := time.Now()
	reply := s.emptyReply(now)
	reply.HeldMS = uint32(now.Sub(calledAt).Milliseconds())
	reply.Complete = s.reader.complete()
	if call.Format < formatSets {
		s.addLegacyLists(call, reply)
		if d := s.opts.Control.Document(); d != nil && d.Version > call.Version {
			reply.Document = d
		}
		return reply, nil
	}
	var err error
	if reply.Changes, err = s.lists.changesFor(now, calledAt, call); err != nil {
		return nil, err
	}
	if !call.Control {
		s.addEvacuations(call, reply)
		err = s.addDocument(call, reply)
	}
	return reply, err
}

// addEvacuations adds newer evacuations to a reply.
func (s *Server) addEvacuations(call *watchCall, reply *watchReply) {
	if t := s.opts.Control.Evacuations(); evacuation.VersionOf(t) > call.EvacuationVersion {
		reply.Evacuations = t
	}
}

// addDocument adds the newest document to a reply, as a patch if possible.
func (s *Server) addDocument(call *watchCall, reply *watchReply) error {
	d := s.opts.Control.Document()
	if d == nil {
		return nil
	}
	s.documents.add(d)
	if d.Version <= call.Version || call.Version == 0 && !isFresh(reply) {
		// A VM without a document does not accept one that may be outdated.
		return nil
	}
	patch, err := s.documents.patchFrom(call.Version)
	if err != nil {
		return err
	}
	if patch == nil {
		reply.Document = d
		return nil
	}
	reply.Patch = patch
	return nil
}
