package directory

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/delta"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/transport"
)

var discardLogger = &log.Logger{Level: log.PanicLevel}

// fakeControl is a Control whose document and age are set by the test.
type fakeControl struct {
	mu          sync.Mutex
	document    *catalog.Document
	evacuations *evacuation.Table
	changed     chan struct{}
	age         time.Duration
	leader      string
	members     []string
}

func newFakeControl(members ...string) *fakeControl {
	return &fakeControl{changed: make(chan struct{}), members: members}
}

func (f *fakeControl) Document() *catalog.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

func (f *fakeControl) Evacuations() *evacuation.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations
}

// order applies an order and tells those who watch.
func (f *fakeControl) order(o *evacuation.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations, _ = f.evacuations.Apply(0, o)
	close(f.changed)
	f.changed = make(chan struct{})
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
func (f *fakeControl) Leads() bool       { return f.leader == "" }
func (f *fakeControl) Members() []string { return f.members }

// documentText is what consecutive documents have in common.
var documentText = " " + strings.Repeat("routes, services and workspaces ", 10)

func (f *fakeControl) publish(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document = &catalog.Document{Version: version, Body: []byte(strconv.FormatUint(version, 10) + documentText)}
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
	mu        sync.Mutex
	runners   []Runner
	err       error
	roundTrip time.Duration
	// reads counts the readings of each data centre.
	reads map[string]int
}

func newFakeLister() *fakeLister { return &fakeLister{reads: map[string]int{}} }

func (f *fakeLister) List(_ context.Context, zone string) ([]Runner, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads[zone]++
	return slices.Clone(f.runners), f.err
}

func (f *fakeLister) Ping(context.Context, string) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roundTrip, f.err
}

func (f *fakeLister) set(runners []Runner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners = runners
}

func decodeCatalog(body []byte) (*catalog.Catalog, error) {
	text, _, _ := strings.Cut(string(body), " ")
	version, err := strconv.ParseUint(text, 10, 64)
	return &catalog.Catalog{Version: version}, err
}

// testCluster holds control VMs and one entry VM on an in-memory network.
type testCluster struct {
	network  *transport.MemoryNetwork
	controls map[string]*fakeControl
	servers  map[string]*Server
	lister   *fakeLister
	client   *Client
	states   chan *State
}

func newTestCluster(ctx context.Context, names ...string) *testCluster {
	c := &testCluster{network: transport.NewMemoryNetwork(), controls: map[string]*fakeControl{}, servers: map[string]*Server{}, lister: newFakeLister(), states: make(chan *State, 1000)}
	for _, name := range names {
		control := newFakeControl(names...)
		control.leader = names[0]
		if name == names[0] {
			control.leader = ""
		}
		c.controls[name] = control
		endpoint := c.network.Endpoint(name, transport.Peer{VM: "c", Role: transport.RoleControl})
		server := NewServer(ServerOptions{Self: name, Zones: testZones, Control: control, Caller: endpoint, Lister: c.lister, Logger: discardLogger})
		c.servers[name] = server
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

// apply makes the client apply a reply.
func (c *testCluster) apply(reply *watchReply) { c.client.apply(time.Now(), &watchCall{}, reply) }

func (c *testCluster) version() uint64 {
	if t := c.client.State().Table; t != nil {
		return t.Version
	}
	return 0
}

// testZones are the data centres of the test cluster.
var testZones = []string{"y", "z"}

// eventTimeout is the longest wait for an expected event.
const eventTimeout = 20 * time.Second

// newTestServer returns a server of the control VM c1 whose loops don't run.
func newTestServer(lister *fakeLister) *Server {
	return NewServer(ServerOptions{Self: "c1", Zones: testZones, Control: newFakeControl("c1"), Lister: lister, Logger: discardLogger})
}

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
		c.lister.set([]Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Zone: "z"}})
		go c.client.Run(ctx)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(1)))
		Eventually(func() bool { return c.client.State().List != nil }).WithTimeout(eventTimeout).Should(BeTrue())
		c.controls["c1"].publish(2)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(2)))
		Eventually(func() []EntryVM { return c.client.State().Entries }).WithTimeout(eventTimeout).Should(HaveLen(1))
	})

	// Guards against losses that nothing settles, or that a list from before settles.
	ginkgo.It("tells an entry VM as of when the list of each data centre is", func() {
		c := newTestCluster(ctx, "c1")
		c.controls["c1"].publish(1)
		c.lister.set([]Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Zone: "z"}})
		began := time.Now()
		go c.client.Run(ctx)
		Eventually(func() time.Time { return c.client.State().ListAsOf("z") }).WithTimeout(eventTimeout).Should(BeTemporally(">=", began.Truncate(time.Millisecond)))
		listed := time.Now()
		Expect(c.client.State().ListAsOf("z")).To(BeTemporally("<=", listed))
		Eventually(func() time.Time { return c.client.State().ListAsOf("z") }).WithTimeout(eventTimeout).Should(BeTemporally(">", listed), "read once more, unchanged")
		Expect((&State{ListsAsOf: map[string]time.Time{"": listed}}).ListAsOf("z")).To(Equal(listed), "one list for all")
		Expect((&State{}).ListAsOf("z")).To(BeZero())
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

	// Guards against an entry VM that stays for a second or more at a control VM to
	// which new documents no longer come.
	// Guards against a VM that sends requests to an evacuated data centre, because it
	// started later, or because it moved to a control VM that is behind.
	ginkgo.It("delivers evacuations at once, also to a VM that starts later, and never older ones", func() {
		c := newTestCluster(ctx, "c1")
		control := c.controls["c1"]
		control.publish(1)
		control.order(&evacuation.Order{Zone: "z", Start: true})
		go c.client.Run(ctx)
		Eventually(c.version).WithTimeout(eventTimeout).Should(Equal(uint64(1)))
		Expect(c.client.State().Evacuations.Evacuated()).To(ConsistOf("z"), "the first document must not come before the evacuations")
		control.order(&evacuation.Order{Zone: "z", Revision: 1})
		Eventually(func() []string { return c.client.State().Evacuations.Evacuated() }).WithTimeout(eventTimeout).Should(BeEmpty())
		stale, _ := (*evacuation.Table)(nil).Apply(0, &evacuation.Order{Zone: "z", Start: true})
		next := *c.client.State()
		c.client.applyEvacuations(&watchReply{Evacuations: stale}, &next)
		Expect(next.Evacuations.Evacuated()).To(BeEmpty())
	})

	ginkgo.It("ends a watch at once when its control VM's state is no longer confirmed", func() {
		call := &watchCall{Version: 1}
		Expect((&watchReply{AgeMS: -1}).endsWatch(call, true)).To(BeTrue())
		Expect((&watchReply{AgeMS: -1}).endsWatch(call, false)).To(BeFalse(), "it has not been so far")
		Expect((&watchReply{AgeMS: 5000}).endsWatch(call, true)).To(BeFalse())
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
		c.apply(&watchReply{Document: &catalog.Document{Version: 1, Body: []byte("1")}})
		Expect(c.client.nextRetryInterval()).To(Equal(retryInterval))
	})

	ginkgo.It("accepts the first document from the first reply of a fresh control VM only", func() {
		c := newTestCluster(ctx, "c1")
		c.controls["c1"].setAge(-1)
		c.controls["c1"].publish(3)
		// The lists are taken before the control VM is given up.
		Eventually(func() error { return c.client.watch(ctx, "c1") }).WithTimeout(eventTimeout).Should(HaveOccurred())
		Expect(c.version()).To(BeZero())
		c.controls["c1"].setAge(0)
		c.client.selectControl(ctx)
		Expect(c.client.current).To(Equal("c1"))
		Expect(c.client.watch(ctx, "c1")).To(Succeed())
		Expect(c.version()).To(Equal(uint64(3)))
	})

	// Control VMs of the earlier release send their document in any case.
	ginkgo.It("does not take its first document from a reply that no leader has confirmed", func() {
		c := newTestCluster(ctx, "c1")
		document := &catalog.Document{Version: 3, Body: []byte("3")}
		c.apply(&watchReply{AgeMS: -1, Document: document})
		c.apply(&watchReply{AgeMS: maxStaleness.Milliseconds(), Document: document})
		Expect(c.version()).To(BeZero())
		c.apply(&watchReply{Document: document})
		Expect(c.version()).To(Equal(uint64(3)))
	})

	ginkgo.It("ignores documents older than its own", func() {
		c := newTestCluster(ctx, "c1")
		for _, version := range []uint64{5, 3, 5, 6} {
			c.apply(&watchReply{Document: &catalog.Document{Version: version, Body: []byte(strconv.FormatUint(version, 10))}})
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
		server := newTestServer(newFakeLister())
		old, asOf := encodeSet([]Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Zone: "z"}}), time.Now()
		next := encodeSet([]Runner{{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Draining: true}})
		server.lists.put(runnersPrefix+"z", asOf.Add(time.Second), next)
		call := &watchCall{Format: formatSets, Sets: []delta.Version{{Name: runnersPrefix + "z", Digest: old.Digest()}}}
		reply, err := server.replyTo(call, asOf)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Changes.Updates).To(HaveLen(1))
		Expect(reply.Changes.Updates[0].Digest).To(Equal(next.Digest()))
	})

	ginkgo.It("keeps the last list when the platform's list cannot be read", func() {
		lister := newFakeLister()
		lister.set([]Runner{{ID: "a", Zone: "z"}})
		server := newTestServer(lister)
		Expect(server.reader.readZone(ctx, "z")).To(Succeed())
		read := server.lists.asOf(runnersPrefix + "z")
		lister.err = errors.New("429")
		Expect(server.reader.readZone(ctx, "z")).NotTo(Succeed())
		Expect(server.lists.runners()).To(HaveLen(1))
		Expect(server.lists.asOf(runnersPrefix + "z")).To(Equal(read))
		lister.err = nil
		lister.set([]Runner{{ID: "a", Zone: "z", Draining: true}, {ID: "b", Zone: "elsewhere"}})
		Expect(server.reader.readZone(ctx, "z")).To(Succeed())
		Expect(server.lists.runners()).To(Equal([]Runner{{ID: "a", Zone: "z", Draining: true}}))
	})

	ginkgo.It("lists entry VMs until they have not been seen for rosterExpiry", func() {
		r := newRoster()
		now := time.Now()
		r.touch(now, EntryVM{Addr: "b"}, nil)
		r.touch(now.Add(time.Second), EntryVM{Addr: "a"}, nil)
		Expect(r.list(now.Add(time.Second))).To(Equal([]EntryVM{{Addr: "a"}, {Addr: "b"}}))
		Expect(r.list(now.Add(rosterExpiry + time.Millisecond))).To(Equal([]EntryVM{{Addr: "a"}}))
		Expect(encodeSet([]EntryVM{{Addr: "a"}}).Digest()).NotTo(Equal(encodeSet([]EntryVM{{Addr: "a", Draining: true}}).Digest()))
	})
})
