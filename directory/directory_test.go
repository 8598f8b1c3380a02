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

var discardLogger = &log.Logger{Level: log.PanicLevel}

// fakeControl is a Control whose document and age are set by the test.
type fakeControl struct {
	mu       sync.Mutex
	document *catalog.Document
	changed  chan struct{}
	age      time.Duration
	leader   string
	members  []string
}

func newFakeControl(members ...string) *fakeControl {
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

func (f *fakeControl) ConfirmationAge(time.Time) time.Duration {
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

// fakeLister returns the runners that were set last, or an error.
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

func decodeCatalog(body []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseUint(string(body), 10, 64)
	return &catalog.Catalog{Version: version}, err
}

// testCluster holds control VMs and one entry VM on an in-memory network.
type testCluster struct {
	network  *transport.MemoryNetwork
	controls map[string]*fakeControl
	lister   *fakeLister
	client   *Client
	states   chan *State
}

func newTestCluster(ctx context.Context, names ...string) *testCluster {
	c := &testCluster{network: transport.NewMemoryNetwork(), controls: map[string]*fakeControl{}, lister: &fakeLister{}, states: make(chan *State, 1000)}
	for _, name := range names {
		control := newFakeControl(names...)
		control.leader = names[0]
		if name == names[0] {
			control.leader = ""
		}
		c.controls[name] = control
		endpoint := c.network.Endpoint(name, transport.Peer{VM: "c", Role: transport.RoleControl})
		server := NewServer(name, control, endpoint, c.lister, discardLogger)
		endpoint.Listen(server)
		go server.Run(ctx)
	}
	entry := c.network.Endpoint("entry", transport.Peer{VM: "e", Role: transport.RoleEntry})
	c.client = NewClient(ClientOptions{
		Self: EntryVM{Addr: "entry", Zone: "z", Region: "r"}, Seeds: func() []string { return names[:1] },
		Caller: entry, Decode: decodeCatalog, Logger: discardLogger, Changed: func(st *State) { c.states <- st },
	})
	return c
}

func (c *testCluster) version() uint64 {
	if t := c.client.State().Table; t != nil {
		return t.Version
	}
	return 0
}

// eventTimeout is the longest wait for an expected event.
const eventTimeout = 20 * time.Second

var _ = ginkgo.Describe("the directory", func() {
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
	})

	ginkgo.It("delivers documents, the runner list and the entry VMs to an entry VM", func() {
		c := newTestCluster(ctx, "c1")
		c.controls["c1"].publish(1)
		c.lister.set([]Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1"}})
		go c.client.Run(ctx)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(1)))
		Eventually(func() bool { return c.client.State().List != nil }).WithTimeout(eventTimeout).Should(BeTrue())
		c.controls["c1"].publish(2)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(2)))
		Eventually(func() []EntryVM { return c.client.State().Entries }).WithTimeout(eventTimeout).Should(HaveLen(1))
	})

	// After a power loss a control VM may have only an old snapshot. Its document
	// would restore routes and keys that have been replaced.
	ginkgo.It("accepts the first document only from a control VM in contact with a leader", func() {
		c := newTestCluster(ctx, "c1")
		c.controls["c1"].setAge(-1)
		c.controls["c1"].publish(3)
		go c.client.Run(ctx)
		Eventually(c.states).WithTimeout(eventTimeout).Should(Receive())
		Consistently(c.version).WithTimeout(300 * time.Millisecond).Should(BeZero())
		c.controls["c1"].setAge(0)
		c.controls["c1"].publish(4)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(4)))
	})

	ginkgo.It("switches away from a stale control VM and never returns to an older version", func() {
		c := newTestCluster(ctx, "c1", "c2", "c3")
		for _, control := range c.controls {
			control.publish(5)
		}
		go c.client.Run(ctx)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(5)))
		c.controls["c1"].setAge(time.Minute)
		c.controls["c3"].setAge(-1)
		c.controls["c2"].publish(7)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(7)))
		c.controls["c2"].setAge(time.Minute)
		c.controls["c1"].setAge(0)
		Consistently(c.version).WithTimeout(500 * time.Millisecond).Should(Equal(uint64(7)))
	})

	// After a power loss callers wait until the entry VMs have a document.
	ginkgo.It("retries faster only until it has a document, with exponential backoff", func() {
		c := newTestCluster(ctx, "c1")
		Expect(c.client.nextRetryInterval()).To(Equal(minStartInterval))
		Expect(c.client.nextRetryInterval()).To(Equal(2 * minStartInterval))
		for range 10 {
			Expect(c.client.nextRetryInterval()).To(BeNumerically("<=", retryInterval))
		}
		c.client.apply(&watchReply{Document: &catalog.Document{Version: 1, Body: []byte("1")}})
		Expect(c.client.nextRetryInterval()).To(Equal(retryInterval))
	})

	ginkgo.It("accepts the first document from the reply that selects a control VM", func() {
		c := newTestCluster(ctx, "c1")
		c.controls["c1"].setAge(-1)
		c.controls["c1"].publish(3)
		c.client.selectControl(ctx)
		Expect(c.version()).To(BeZero())
		Expect(c.client.current).To(BeEmpty())
		c.controls["c1"].setAge(0)
		c.client.selectControl(ctx)
		Expect(c.version()).To(Equal(uint64(3)))
		Expect(c.client.current).To(Equal("c1"))
	})

	ginkgo.It("ignores documents older than its own", func() {
		c := newTestCluster(ctx, "c1")
		for _, version := range []uint64{5, 3, 5, 6} {
			c.client.apply(&watchReply{Document: &catalog.Document{Version: version, Body: []byte(strconv.FormatUint(version, 10))}})
			Expect(c.version()).To(BeNumerically(">=", 5))
		}
		Expect(c.version()).To(Equal(uint64(6)))
	})

	ginkgo.It("finds another control VM when the seed fails", func() {
		c := newTestCluster(ctx, "c1", "c2")
		for _, control := range c.controls {
			control.publish(1)
		}
		go c.client.Run(ctx)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(1)))
		c.network.Endpoint("c1", transport.Peer{}).Listen(nil)
		c.controls["c2"].publish(2)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(2)))
	})

	// Otherwise the entry VM keeps the old list, in which a draining runner is
	// still available, until the next change.
	ginkgo.It("sends its list to an entry VM that has a list from before the control VM's restart", func() {
		before := newPoller(nil, "c1", discardLogger)
		before.update(time.Now(), []Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1"}})
		old, _ := before.current()
		server := NewServer("c1", newFakeControl("c1"), nil, nil, discardLogger)
		server.poller.update(time.Now(), []Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Draining: true}})
		list, _ := server.poller.current()
		reply := server.updatesFor(&watchCall{ListSource: old.Source, ListSeq: old.Seq}, list)
		Expect(reply.List).To(Equal(list))
	})

	ginkgo.It("keeps the last list when the platform's list cannot be read", func() {
		p := newPoller(&fakeLister{}, "c", discardLogger)
		p.update(time.Now(), []Runner{{ID: "a"}})
		p.lister = &fakeLister{err: errors.New("429")}
		Expect(p.poll(ctx)).NotTo(Succeed())
		list, _ := p.current()
		Expect(list.Runners).To(HaveLen(1))
		p.update(time.Now(), []Runner{{ID: "a"}})
		same, _ := p.current()
		Expect(same).To(Equal(list))
		p.update(time.Now(), []Runner{{ID: "a", Draining: true}})
		next, _ := p.current()
		Expect(next.Seq).To(Equal(list.Seq + 1))
	})

	ginkgo.It("lists entry VMs until they have not been seen for rosterExpiry", func() {
		r := newRoster()
		now := time.Now()
		r.touch(now, EntryVM{Addr: "b"})
		r.touch(now.Add(time.Second), EntryVM{Addr: "a"})
		Expect(r.list(now.Add(time.Second))).To(Equal([]EntryVM{{Addr: "a"}, {Addr: "b"}}))
		Expect(r.list(now.Add(rosterExpiry + time.Millisecond))).To(Equal([]EntryVM{{Addr: "a"}}))
		Expect(rosterHash([]EntryVM{{Addr: "a"}})).NotTo(Equal(rosterHash([]EntryVM{{Addr: "a", Draining: true}})))
	})
})
