package audit

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

const testTimeout = 10 * time.Second

// testCluster is a network with control VMs c1 and c2 and the entry VM e1.
type testCluster struct {
	network *transport.MemoryNetwork
	stores  map[string]*Store
	copies  map[string]*CopyDir
	entry   *transport.Endpoint
}

func newTestCluster(dir string) (*testCluster, error) {
	s := &testCluster{network: transport.NewMemoryNetwork(), stores: map[string]*Store{}, copies: map[string]*CopyDir{}}
	for _, name := range []string{"c1", "c2"} {
		store, err := Open(dir+"/"+name, Options{})
		if err != nil {
			return nil, err
		}
		copies := NewCopyDir(dir + "/" + name + "-copies")
		s.stores[name], s.copies[name] = store, copies
		s.endpoint(name, transport.RoleControl).Listen(transport.HandlerFunc(func(ctx context.Context, p transport.Peer, m transport.Method, body []byte) ([]byte, error) {
			if m == transport.MethodAuditQuery {
				return store.ServeQueryWithCopies(p, body, copies)
			}
			return store.ServeAppend(ctx, p, body, copies)
		}))
	}
	s.entry = s.endpoint("e1", transport.RoleEntry)
	return s, nil
}

func (s *testCluster) endpoint(name, role string) *transport.Endpoint {
	return s.network.Endpoint(name, transport.Peer{VM: ids.VMID(name), Role: role})
}

func (s *testCluster) close() {
	for _, store := range s.stores {
		_ = store.Close()
	}
}

var controlVMs = []string{"c1", "c2"}

func (s *testCluster) reader() *Reader {
	return &Reader{Caller: s.endpoint("op", transport.RoleOperator), Addrs: controlVMs}
}

// callOutcome is the outcome of one call of a lossyCaller.
type callOutcome int

const (
	deliverCall callOutcome = iota
	loseRequest
	loseResponse
)

// lossyCaller applies the listed outcomes to its calls in order; later calls
// succeed.
type lossyCaller struct {
	transport.Caller
	outcomes []callOutcome // used by the writer's goroutine only
}

var errInjectedLoss = errors.New("injected message loss")

func (c *lossyCaller) Call(ctx context.Context, addr string, m transport.Method, body []byte) ([]byte, error) {
	outcome := deliverCall
	if len(c.outcomes) > 0 {
		outcome, c.outcomes = c.outcomes[0], c.outcomes[1:]
	}
	if outcome == loseRequest {
		return nil, errInjectedLoss
	}
	reply, err := c.Caller.Call(ctx, addr, m, body)
	if outcome == loseResponse {
		return nil, errInjectedLoss
	}
	return reply, err
}

// TestWriterOverLoss guards against records that are lost, duplicated or
// reordered when requests and responses are lost: each record passed to the
// writer must be stored once, and those of a request in order.
func TestWriterOverLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "audit")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
		cluster, err := newTestCluster(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer cluster.close()
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]callOutcome{deliverCall, loseRequest, loseResponse}), 0, 12).Draw(t, "outcomes")
		w, err := NewWriter(testSession("e1"), &lossyCaller{cluster.entry, outcomes}, controlVMs, WriterOptions{BatchRecords: 3})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		written := map[uint64][]int64{}
		for at := range rapid.Int64Range(1, 30).Draw(t, "records") {
			r := testRecord(testSession("e1"), rapid.Uint64Range(1, 3).Draw(t, "seq"), Dispatch)
			r.AtUnixMS = at
			if err := w.Append(r); err != nil {
				t.Fatal(err)
			}
			written[r.Request.Seq] = append(written[r.Request.Seq], at)
		}
		if err := w.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		for seq, want := range written {
			found, missing := cluster.reader().Query(ctx, ids.RequestID{Session: testSession("e1"), Seq: seq})
			var got []int64
			for _, e := range found {
				got = append(got, e.Record.AtUnixMS)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) || len(missing) > 0 {
				t.Fatalf("request %d: stored %v, written %v, missing %v", seq, got, want, missing)
			}
		}
	})
}

var _ = ginkgo.Describe("the writer and the store", func() {
	var cluster *testCluster
	var ctx context.Context

	ginkgo.BeforeEach(func() {
		var err error
		cluster, err = newTestCluster(ginkgo.GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(cluster.close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
		ginkgo.DeferCleanup(cancel)
	})

	start := func(o WriterOptions) *Writer {
		w, err := NewWriter(testSession("e1"), cluster.entry, controlVMs, o)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(func() { _ = w.Close() })
		return w
	}
	begin := testRecord(testSession("e1"), 1, Begin)

	ginkgo.It("returns from Begin only when the record is durable", func() {
		cluster.network.CutBoth("e1", "c1")
		cluster.network.CutBoth("e1", "c2")
		w := start(WriterOptions{})
		short, cancel := context.WithCancel(ctx)
		cancel()
		Expect(w.Begin(short, begin)).To(MatchError(context.Canceled))
		cluster.network.HealAll()
		second := testRecord(testSession("e1"), 2, Begin)
		Expect(w.Begin(ctx, second)).To(Succeed())
		found, _ := cluster.reader().Query(ctx, second.Request)
		Expect(found).To(HaveLen(1))
	})

	ginkgo.It("switches to the next control VM when the nearest does not answer", func() {
		cluster.network.CutBoth("e1", "c1")
		w := start(WriterOptions{})
		Expect(w.Begin(ctx, begin)).To(Succeed())
		Expect(cluster.stores["c2"].Query(begin.Request)).To(HaveLen(1))
	})

	ginkgo.It("returns from Begin at once in asynchronous mode", func() {
		cluster.network.CutBoth("e1", "c1")
		cluster.network.CutBoth("e1", "c2")
		Expect(start(WriterOptions{Async: true}).Begin(ctx, begin)).To(Succeed())
	})

	ginkgo.It("keeps buffer space for the ends of running requests when it rejects a begin", func() {
		cluster.network.CutBoth("e1", "c1")
		cluster.network.CutBoth("e1", "c2")
		w := start(WriterOptions{BufferRecords: 8, Async: true})
		for range 6 {
			Expect(w.Begin(ctx, begin)).To(Succeed())
		}
		var full *BufferFullError
		Expect(errors.As(w.Begin(ctx, begin), &full)).To(BeTrue())
		Expect(full.Error()).To(ContainSubstring("audit_unavailable"))
		Expect(w.Append(testRecord(testSession("e1"), 1, End))).To(Succeed())
		Expect(w.Append(testRecord(testSession("e1"), 2, End))).To(Succeed())
		Expect(errors.As(w.Append(testRecord(testSession("e1"), 3, End)), &full)).To(BeTrue())
		Expect(w.Close()).To(MatchError(ContainSubstring("8 records")))
	})

	ginkgo.It("lets an entry VM write its own sessions only, and neither read records nor store copies", func() {
		foreign := cluster.endpoint("e2", transport.RoleEntry)
		e, err := encodeBatch(testSession("e1"), &Batch{Number: 1, Records: []Record{begin}})
		Expect(err).NotTo(HaveOccurred())
		body, err := e.encodeMessage()
		Expect(err).NotTo(HaveOccurred())
		_, err = foreign.Call(ctx, "c1", transport.MethodAuditAppend, body)
		Expect(err).To(MatchError(ContainSubstring("its own sessions only")))
		_, missing := (&Reader{Caller: foreign, Addrs: []string{"c1"}}).Query(ctx, begin.Request)
		Expect(missing).To(Equal([]string{"c1"}))
		_, err = (&RemoteTarget{Caller: foreign, Addr: "c1"}).Status(ctx, "e2")
		Expect(err).To(MatchError(ContainSubstring("may not store copies")))
	})

	ginkgo.It("copies sealed and active segments to a second control VM", func() {
		dir := ginkgo.GinkgoT().TempDir()
		o := Options{SegmentBytes: 800}
		fillStore(dir, 20, o)
		store, err := Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		defer store.Close() //nolint:errcheck // nothing waits
		target := &RemoteTarget{Caller: cluster.endpoint("c3", transport.RoleControl), Addr: "c2"}
		Expect(store.Replicate(ctx, "c3", target)).To(Succeed())
		b := Batch{Number: 21, Records: []Record{testRecord(testSession("a"), 21, Begin)}}
		Expect(store.Append(testSession("a"), b)).To(Succeed())
		Expect(store.Replicate(ctx, "c3", target)).To(Succeed())
		report, err := store.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(VerifyDir(cluster.copies["c2"].Dir("c3"))).To(Equal(report))

		// A source that lost durable records is detected because its copy is
		// longer.
		last := store.active.segment
		Expect(store.Close()).To(Succeed())
		Expect(os.Truncate(last.path, last.size-1)).To(Succeed())
		store, err = Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(isCorrupt(store.Replicate(ctx, "c3", target))).To(BeTrue())
		Expect(store.Close()).To(Succeed())
	})

	ginkgo.It("keeps copies verifiable when the source or the copy has deleted old segments", func() {
		dir := ginkgo.GinkgoT().TempDir()
		now := time.UnixMilli(1_000_000)
		o := Options{SegmentBytes: 400, Retention: time.Hour, Now: func() time.Time { return now }}
		fillStore(dir, 10, o)
		now = now.Add(2 * time.Hour)
		store, err := Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		defer store.Close() //nolint:errcheck // nothing waits
		Expect(store.DeleteExpired()).To(BeNumerically(">", 1))
		late, early := NewCopyDir(ginkgo.GinkgoT().TempDir()), NewCopyDir(ginkgo.GinkgoT().TempDir())
		Expect(store.Replicate(ctx, "c1", late)).To(Succeed())
		report, err := store.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(VerifyDir(late.Dir("c1"))).To(Equal(report))

		fillStore(dir+"2", 10, o)
		second, err := Open(dir+"2", o)
		Expect(err).NotTo(HaveOccurred())
		defer second.Close() //nolint:errcheck // nothing waits
		Expect(second.Replicate(ctx, "c2", early)).To(Succeed())
		Expect(early.DeleteExpired(now.Add(2*time.Hour), time.Hour)).To(BeNumerically(">", 1))
		Expect(second.Replicate(ctx, "c2", early)).To(Succeed())
		copied, err := VerifyDir(early.Dir("c2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(copied.First).To(BeNumerically(">", 1), "a deleted segment is not copied again")
		whole, err := second.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(copied.Head).To(Equal(whole.Head))
	})

	ginkgo.It("finds records in the copy while their control VM does not answer", func() {
		w := start(WriterOptions{})
		Expect(w.Begin(ctx, begin)).To(Succeed())
		target := &RemoteTarget{Caller: cluster.endpoint("c1", transport.RoleControl), Addr: "c2"}
		Expect(cluster.stores["c1"].Replicate(ctx, "c1", target)).To(Succeed())
		reader := cluster.reader()
		cluster.network.Isolate("c1")
		found, missing := reader.Query(ctx, begin.Request)
		Expect(found).To(HaveLen(1))
		Expect(missing).To(Equal([]string{"c1"}))
		found, _ = reader.Session(ctx, begin.Request.Session)
		Expect(found).To(HaveLen(1))
	})

	ginkgo.It("returns a long session in pages", func() {
		w := start(WriterOptions{BatchRecords: 4096})
		for seq := uint64(1); seq <= pageEntries+5000; seq++ {
			Expect(w.Append(testRecord(testSession("e1"), seq, Begin))).To(Succeed())
		}
		Expect(w.Flush(ctx)).To(Succeed())
		all, missing := cluster.reader().Session(ctx, testSession("e1"))
		Expect(missing).To(BeEmpty())
		Expect(all).To(HaveLen(pageEntries + 5000))
		open, err := cluster.stores["c1"].OpenRequests(testSession("e1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(open).To(HaveLen(pageEntries + 5000))
	})
})
