package directory

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// Control is the view of the control VM's replica that the directory uses.
type Control interface {
	// Document returns the newest document applied on this VM.
	Document() *catalog.Document
	// Changed returns a channel that is closed when the document or the leader
	// changes.
	Changed() <-chan struct{}
	// ConfirmationAge returns the maximum age of the document, negative if unknown.
	ConfirmationAge(now time.Time) time.Duration
	// Leader returns the leader's address, empty if it is unknown or this VM.
	Leader() string
	// Members returns the addresses of the control VMs.
	Members() []string
}

const (
	rosterInterval = time.Second
	// maxWatchWait is the longest time for which a watch stays open.
	maxWatchWait = 2 * time.Second
)

// Server serves the directory on a control VM. It is safe for concurrent use.
type Server struct {
	self    string
	control Control
	caller  transport.Caller
	poller  *poller
	log     *log.Logger

	mu sync.Mutex
	// watchers holds the entry VMs that watch this control VM.
	watchers *roster
	// reported holds the entry VMs that control VMs reported to this one as the
	// leader, including its own watchers.
	reported *roster
	// allEntries lists the entry VMs of the whole system, as of the last roster
	// exchange.
	allEntries []EntryVM
}

// NewServer returns the directory server of the control VM at the address self.
func NewServer(self string, control Control, caller transport.Caller, lister Lister, logger *log.Logger) *Server {
	return &Server{
		self: self, control: control, caller: caller, log: logger,
		poller:   newPoller(lister, self, logger),
		watchers: newRoster(), reported: newRoster(),
	}
}

// Run polls the runner list and exchanges the roster until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.poller.run(ctx) })
	loops.Go(func() { s.runRosterExchange(ctx) })
	loops.Wait()
}

// Serve handles calls of transport.MethodWatch and transport.MethodRoster.
func (s *Server) Serve(ctx context.Context, _ transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	if m == transport.MethodRoster {
		var call rosterCall
		if err := wire.Decode(body, &call); err != nil {
			return nil, err
		}
		return wire.Encode(s.mergeRoster(time.Now(), &call))
	}
	var call watchCall
	if err := wire.Decode(body, &call); err != nil {
		return nil, err
	}
	return wire.Encode(s.watch(ctx, &call))
}

func (s *Server) watch(ctx context.Context, call *watchCall) *watchReply {
	s.mu.Lock()
	s.watchers.touch(time.Now(), call.From)
	s.mu.Unlock()
	wait := min(time.Duration(call.WaitMS)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		documentChanged := s.control.Changed()
		list, listChanged := s.poller.current()
		reply := s.updatesFor(call, list)
		if reply.Document != nil || reply.List != nil {
			return reply
		}
		select {
		case <-documentChanged:
		case <-listChanged:
		case <-timer.C:
			return s.updatesFor(call, list)
		case <-ctx.Done():
			return reply
		}
	}
}

// updatesFor returns a reply with everything that the caller does not have yet.
func (s *Server) updatesFor(call *watchCall, list *RunnerList) *watchReply {
	now := time.Now()
	reply := &watchReply{AgeMS: -1, Controls: s.control.Members()}
	if age := s.control.ConfirmationAge(now); age >= 0 {
		reply.AgeMS = age.Milliseconds()
	}
	if d := s.control.Document(); d != nil && d.Version > call.Version {
		reply.Document = d
	}
	if list != nil && (list.Source != call.ListSource || list.Seq != call.ListSeq) {
		reply.List = list
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.allEntries
	if len(all) == 0 {
		all = s.watchers.list(now)
	}
	reply.RosterTag = rosterHash(all)
	if reply.RosterTag != call.RosterTag {
		reply.Entries = all
	}
	return reply
}

// runRosterExchange periodically reports this VM's watchers to the leader and
// gets the entry VMs of the whole system in return.
func (s *Server) runRosterExchange(ctx context.Context) {
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.exchangeRoster(ctx)
		}
	}
}

func (s *Server) exchangeRoster(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	own := s.watchers.list(now)
	s.mu.Unlock()
	call := &rosterCall{From: s.self, Entries: own}
	leader := s.control.Leader()
	if leader == "" {
		// This VM is the leader, or the leader is unknown.
		s.setEntries(s.mergeRoster(now, call).Entries)
		return
	}
	body, err := wire.Encode(call)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rosterInterval)
	defer cancel()
	b, err := s.caller.Call(ctx, leader, transport.MethodRoster, body)
	if err != nil {
		// The next exchange makes up for a failed one.
		return
	}
	var reply rosterReply
	if wire.Decode(b, &reply) == nil {
		s.setEntries(reply.Entries)
	}
}

func (s *Server) mergeRoster(now time.Time, call *rosterCall) *rosterReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range call.Entries {
		s.reported.touch(now, vm)
	}
	return &rosterReply{Entries: s.reported.list(now)}
}

func (s *Server) setEntries(all []EntryVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allEntries = all
}
