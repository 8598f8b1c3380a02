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

// Control is what the directory needs of the control VM's replica.
type Control interface {
	// Document is the newest document applied here.
	Document() *catalog.Document
	// Changed is closed when the document or the leader changes.
	Changed() <-chan struct{}
	// Age is how old the document may be, negative if unknown.
	Age(now time.Time) time.Duration
	// Leader is the leader's address, empty if unknown or this VM.
	Leader() string
	// Members are the addresses of the control VMs.
	Members() []string
}

const (
	rosterPeriod = time.Second
	// maxWait bounds how long a watch may stay open.
	maxWait = 2 * time.Second
)

// Server is the directory of one control VM. It is safe for concurrent use.
type Server struct {
	self    string
	control Control
	caller  transport.Caller
	poller  *poller
	log     *log.Logger

	mu sync.Mutex
	// watching are the entry VMs that call here; all are those of the whole
	// system, as far as known; reported are those that other control VMs have
	// told this one while it leads.
	watching *roster
	reported *roster
	all      []EntryVM
}

// NewServer makes the directory of the control VM at the address self.
func NewServer(self string, control Control, caller transport.Caller, lister Lister, logger *log.Logger) *Server {
	return &Server{
		self: self, control: control, caller: caller, log: logger,
		poller:   newPoller(lister, self, logger),
		watching: newRoster(), reported: newRoster(),
	}
}

// Run reads the list and exchanges the roster until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.poller.run(ctx) })
	loops.Go(func() { s.exchange(ctx) })
	loops.Wait()
}

// Serve answers transport.MethodWatch and transport.MethodRoster.
func (s *Server) Serve(ctx context.Context, _ transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	if m == transport.MethodRoster {
		var call rosterCall
		if err := wire.Decode(body, &call); err != nil {
			return nil, err
		}
		return wire.Encode(s.takeRoster(time.Now(), &call))
	}
	var call watchCall
	if err := wire.Decode(body, &call); err != nil {
		return nil, err
	}
	return wire.Encode(s.watch(ctx, &call))
}

func (s *Server) watch(ctx context.Context, call *watchCall) *watchReply {
	s.mu.Lock()
	s.watching.note(time.Now(), call.From)
	s.mu.Unlock()
	wait := min(time.Duration(call.WaitMS)*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		documentChanged := s.control.Changed()
		list, listChanged := s.poller.current()
		reply := s.news(call, list)
		if reply.Document != nil || reply.List != nil {
			return reply
		}
		select {
		case <-documentChanged:
		case <-listChanged:
		case <-timer.C:
			return s.news(call, list)
		case <-ctx.Done():
			return reply
		}
	}
}

// news gives what the caller does not have yet.
func (s *Server) news(call *watchCall, list *RunnerList) *watchReply {
	now := time.Now()
	reply := &watchReply{AgeMS: -1, Controls: s.control.Members()}
	if age := s.control.Age(now); age >= 0 {
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
	all := s.all
	if len(all) == 0 {
		all = s.watching.list(now)
	}
	reply.RosterTag = rosterTag(all)
	if reply.RosterTag != call.RosterTag {
		reply.Entries = all
	}
	return reply
}

// exchange tells the leader who watches here and learns who watches elsewhere.
func (s *Server) exchange(ctx context.Context) {
	ticker := time.NewTicker(rosterPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.exchangeOnce(ctx)
		}
	}
}

func (s *Server) exchangeOnce(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	own := s.watching.list(now)
	s.mu.Unlock()
	call := &rosterCall{From: s.self, Entries: own}
	leader := s.control.Leader()
	if leader == "" {
		// The leader itself, or nobody to ask.
		s.keep(s.takeRoster(now, call).Entries)
		return
	}
	body, err := wire.Encode(call)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rosterPeriod)
	defer cancel()
	b, err := s.caller.Call(ctx, leader, transport.MethodRoster, body)
	if err != nil {
		// A lost exchange is made good by the next one.
		return
	}
	var reply rosterReply
	if wire.Decode(b, &reply) == nil {
		s.keep(reply.Entries)
	}
}

func (s *Server) takeRoster(now time.Time, call *rosterCall) *rosterReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range call.Entries {
		s.reported.note(now, vm)
	}
	return &rosterReply{Entries: s.reported.list(now)}
}

func (s *Server) keep(all []EntryVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = all
}
