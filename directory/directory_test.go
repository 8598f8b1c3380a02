package directory

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/transport"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// fakeControl is a control VM's replica.
type fakeControl struct {
	mu       sync.Mutex
	document *catalog.Document
	changed  chan struct{}
	age      time.Duration
	leader   string
	members  []string
}

func newControl(members ...string) *fakeControl {
	return &fakeControl{changed: make(chan struct{}), members: members}
}

func (f *fakeControl) Document() *catalog.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

func (f *fakeControl) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeControl) Age(time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age
}

func (f *fakeControl) Leader() string    { return f.leader }
func (f *fakeControl) Members() []string { return f.members }

func (f *fakeControl) publish(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document = &catalog.Document{Version: version, Body: []byte(strconv.FormatUint(version, 10))}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeControl) setAge(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.age = age
}

// fakeLister gives the runners that it was last told.
type fakeLister struct {
	mu      sync.Mutex
	runners []Runner
	err     error
}

func (f *fakeLister) List(context.Context) ([]Runner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners, f.err
}

func (f *fakeLister) set(runners []Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = runners
}

func decode(body []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseUint(string(body), 10, 64)
	return &catalog.Catalog{Version: version}, err
}

// system is a few control VMs and one entry VM over an in-memory network.
type system struct {
	network  *transport.Memory
	controls map[string]*fakeControl
	lister   *fakeLister
	client   *Client
	states   chan *State
}

func newSystem(ctx context.Context, names ...string) *system {
	s := &system{network: transport.NewMemory(), controls: map[string]*fakeControl{}, lister: &fakeLister{}, states: make(chan *State, 1000)}
	for _, name := range names {
		control := newControl(names...)
		control.leader = names[0]
		if name == names[0] {
			control.leader = ""
		}
		s.controls[name] = control
		endpoint := s.network.Endpoint(name, transport.Peer{VM: "c", Role: transport.RoleControl})
		server := NewServer(name, control, endpoint, s.lister, quiet)
		endpoint.Listen(server)
		go server.Run(ctx)
	}
	entry := s.network.Endpoint("entry", transport.Peer{VM: "e", Role: transport.RoleEntry})
	s.client = NewClient(ClientOptions{
		Self: EntryVM{Addr: "entry", Zone: "z", Region: "r"}, Seeds: func() []string { return names[:1] },
		Caller: entry, Decode: decode, Logger: quiet, Changed: func(st *State) { s.states <- st },
	})
	return s
}

func (s *system) version() uint64 {
	if t := s.client.State().Table; t != nil {
		return t.Version
	}
	return 0
}

// patience bounds waits for something that has to happen.
const patience = 20 * time.Second

var _ = ginkgo.Describe("the directory", func() {
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
	})

	ginkgo.It("brings a new document and a changed list to an entry VM", func() {
		s := newSystem(ctx, "c1")
		s.controls["c1"].publish(1)
		s.lister.set([]Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1"}})
		go s.client.Run(ctx)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(1)))
		Eventually(func() bool { return s.client.State().List != nil }).WithTimeout(patience).Should(BeTrue())
		s.controls["c1"].publish(2)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(2)))
		Eventually(func() []EntryVM { return s.client.State().Entries }).WithTimeout(patience).Should(HaveLen(1))
	})

	// After a power loss a control VM first knows only an old snapshot; taking
	// it would bring back routes and keys that were replaced.
	ginkgo.It("takes the first document only from a control VM that is in touch with a leader", func() {
		s := newSystem(ctx, "c1")
		s.controls["c1"].setAge(-1)
		s.controls["c1"].publish(3)
		go s.client.Run(ctx)
		Eventually(s.states).WithTimeout(patience).Should(Receive())
		Consistently(s.version).WithTimeout(300 * time.Millisecond).Should(BeZero())
		s.controls["c1"].setAge(0)
		s.controls["c1"].publish(4)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(4)))
	})

	ginkgo.It("leaves a control VM that is out of touch and never goes back to an older version", func() {
		s := newSystem(ctx, "c1", "c2", "c3")
		for _, c := range s.controls {
			c.publish(5)
		}
		go s.client.Run(ctx)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(5)))
		s.controls["c1"].setAge(time.Minute)
		s.controls["c3"].setAge(-1)
		s.controls["c2"].publish(7)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(7)))
		s.controls["c2"].setAge(time.Minute)
		s.controls["c1"].setAge(0)
		Consistently(s.version).WithTimeout(500 * time.Millisecond).Should(Equal(uint64(7)))
	})

	// Callers wait while all VMs come back from a loss of power.
	ginkgo.It("asks sooner again while it knows no document, and not for ever", func() {
		s := newSystem(ctx, "c1")
		Expect(s.client.nextPause()).To(Equal(leastStartPause))
		Expect(s.client.nextPause()).To(Equal(2 * leastStartPause))
		for range 10 {
			Expect(s.client.nextPause()).To(BeNumerically("<=", retryPause))
		}
		s.client.take(&watchReply{Document: &catalog.Document{Version: 1, Body: []byte("1")}})
		Expect(s.client.nextPause()).To(Equal(retryPause))
	})

	ginkgo.It("takes the first document from the answer by which it chooses a control VM", func() {
		s := newSystem(ctx, "c1")
		s.controls["c1"].setAge(-1)
		s.controls["c1"].publish(3)
		s.client.choose(ctx)
		Expect(s.version()).To(BeZero())
		Expect(s.client.current).To(BeEmpty())
		s.controls["c1"].setAge(0)
		s.client.choose(ctx)
		Expect(s.version()).To(Equal(uint64(3)))
		Expect(s.client.current).To(Equal("c1"))
	})

	ginkgo.It("does not take an older document, whoever sends it", func() {
		s := newSystem(ctx, "c1")
		for _, version := range []uint64{5, 3, 5, 6} {
			s.client.take(&watchReply{Document: &catalog.Document{Version: version, Body: []byte(strconv.FormatUint(version, 10))}})
			Expect(s.version()).To(BeNumerically(">=", 5))
		}
		Expect(s.version()).To(Equal(uint64(6)))
	})

	ginkgo.It("finds another control VM when the seed is gone", func() {
		s := newSystem(ctx, "c1", "c2")
		for _, c := range s.controls {
			c.publish(1)
		}
		go s.client.Run(ctx)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(1)))
		s.network.Endpoint("c1", transport.Peer{}).Listen(nil)
		s.controls["c2"].publish(2)
		Eventually(s.version).WithTimeout(patience).Should(Equal(uint64(2)))
	})

	// Otherwise the entry VM goes on with the old list, in which a runner that
	// leaves is ready, until the next change.
	ginkgo.It("gives its list to an entry VM that has one of the same control VM from before its restart", func() {
		before := newPoller(nil, "c1", quiet)
		before.take(time.Now(), []Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1"}})
		old, _ := before.current()
		server := NewServer("c1", newControl("c1"), nil, nil, quiet)
		server.poller.take(time.Now(), []Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Draining: true}})
		list, _ := server.poller.current()
		reply := server.news(&watchCall{ListSource: old.Source, ListSeq: old.Seq}, list)
		Expect(reply.List).To(Equal(list))
	})

	ginkgo.It("keeps the last list when the platform's list cannot be read", func() {
		p := newPoller(&fakeLister{}, "c", quiet)
		p.take(time.Now(), []Runner{{ID: "a"}})
		p.lister = &fakeLister{err: errors.New("429")}
		Expect(p.read(ctx)).NotTo(Succeed())
		list, _ := p.current()
		Expect(list.Runners).To(HaveLen(1))
		p.take(time.Now(), []Runner{{ID: "a"}})
		same, _ := p.current()
		Expect(same).To(Equal(list))
		p.take(time.Now(), []Runner{{ID: "a", Draining: true}})
		next, _ := p.current()
		Expect(next.Seq).To(Equal(list.Seq + 1))
	})

	ginkgo.It("lists entry VMs for a while after their last sign", func() {
		r := newRoster()
		now := time.Now()
		r.note(now, EntryVM{Addr: "b"})
		r.note(now.Add(time.Second), EntryVM{Addr: "a"})
		Expect(r.list(now.Add(time.Second))).To(Equal([]EntryVM{{Addr: "a"}, {Addr: "b"}}))
		Expect(r.list(now.Add(rosterExpiry + time.Millisecond))).To(Equal([]EntryVM{{Addr: "a"}}))
		Expect(rosterTag([]EntryVM{{Addr: "a"}})).NotTo(Equal(rosterTag([]EntryVM{{Addr: "a", Draining: true}})))
	})
})
