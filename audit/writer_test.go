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

const patience = 10 * time.Second

// site is a network with control VMs c1 and c2 and the entry VM e1.
type site struct {
	network *transport.Memory
	stores  map[string]*Store
	copies  map[string]*CopyDir
	entry   *transport.Endpoint
}

func newSite(dir string) (*site, error) {
	s := &site{network: transport.NewMemory(), stores: map[string]*Store{}, copies: map[string]*CopyDir{}}
	for _, name := range []string{"c1", "c2"} {
		store, err := Open(dir+"/"+name, Options{})
		if err != nil {
			return nil, err
		}
		copies := NewCopyDir(dir + "/" + name + "-copies")
		s.stores[name], s.copies[name] = store, copies
		s.endpoint(name, transport.RoleControl).Listen(transport.HandlerFunc(func(ctx context.Context, p transport.Peer, m transport.Method, body []byte) ([]byte, error) {
			if m == transport.MethodAuditQuery {
				return store.ServeQueryCopies(p, body, copies)
			}
			return store.ServeAppend(ctx, p, body, copies)
		}))
	}
	s.entry = s.endpoint("e1", transport.RoleEntry)
	return s, nil
}

func (s *site) endpoint(name, role string) *transport.Endpoint {
	return s.network.Endpoint(name, transport.Peer{VM: ids.VMID(name), Role: role})
}

func (s *site) close() {
	for _, store := range s.stores {
		_ = store.Close()
	}
}

var controlVMs = []string{"c1", "c2"}

func (s *site) reader() *Reader {
	return &Reader{Caller: s.endpoint("op", transport.RoleOperator), Addrs: controlVMs}
}

// fate says what happens to one call.
type fate int

const (
	delivered fate = iota
	requestLost
	answerLost
)

// fatedCaller loses requests and answers as listed, then loses none.
type fatedCaller struct {
	transport.Caller
	fates []fate // used by the writer's goroutine only
}

var errFate = errors.New("lost")

func (c *fatedCaller) Call(ctx context.Context, addr string, m transport.Method, body []byte) ([]byte, error) {
	f := delivered
	if len(c.fates) > 0 {
		f, c.fates = c.fates[0], c.fates[1:]
	}
	if f == requestLost {
		return nil, errFate
	}
	reply, err := c.Caller.Call(ctx, addr, m, body)
	if f == answerLost {
		return nil, errFate
	}
	return reply, err
}

// Over any sequence of lost requests and answers, each record that the writer
// took is found once, and those of a request in their order.
func TestWriterOverLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "audit")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
		site, err := newSite(dir)
		if err != nil {
			t.Fatal(err)
		}
		defer site.close()
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{delivered, requestLost, answerLost}), 0, 12).Draw(t, "fates")
		w, err := NewWriter(sessionOf("e1"), &fatedCaller{site.entry, fates}, controlVMs, WriterOptions{BatchRecords: 3})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		written := map[uint64][]int64{}
		for at := range rapid.Int64Range(1, 30).Draw(t, "records") {
			r := record(sessionOf("e1"), rapid.Uint64Range(1, 3).Draw(t, "seq"), Dispatch)
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
			found, missing := site.reader().Query(ctx, ids.RequestID{Session: sessionOf("e1"), Seq: seq})
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

var _ = ginkgo.Describe("the writer", func() {
	var place *site
	var ctx context.Context

	ginkgo.BeforeEach(func() {
		var err error
		place, err = newSite(ginkgo.GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(place.close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), patience)
		ginkgo.DeferCleanup(cancel)
	})

	start := func(o WriterOptions) *Writer {
		w, err := NewWriter(sessionOf("e1"), place.entry, controlVMs, o)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(func() { _ = w.Close() })
		return w
	}
	begin := record(sessionOf("e1"), 1, Begin)

	ginkgo.It("returns from Begin when the record is durable, not before", func() {
		place.network.CutBoth("e1", "c1")
		place.network.CutBoth("e1", "c2")
		w := start(WriterOptions{})
		short, cancel := context.WithCancel(ctx)
		cancel()
		Expect(w.Begin(short, begin)).To(MatchError(context.Canceled))
		place.network.HealAll()
		second := record(sessionOf("e1"), 2, Begin)
		Expect(w.Begin(ctx, second)).To(Succeed())
		found, _ := place.reader().Query(ctx, second.Request)
		Expect(found).To(HaveLen(1))
	})

	ginkgo.It("moves to the next control VM when the nearest does not answer", func() {
		place.network.CutBoth("e1", "c1")
		w := start(WriterOptions{})
		Expect(w.Begin(ctx, begin)).To(Succeed())
		Expect(place.stores["c2"].Query(begin.Request)).To(HaveLen(1))
	})

	ginkgo.It("returns from Begin at once in asynchronous mode", func() {
		place.network.CutBoth("e1", "c1")
		place.network.CutBoth("e1", "c2")
		Expect(start(WriterOptions{Async: true}).Begin(ctx, begin)).To(Succeed())
	})

	ginkgo.It("refuses a begin before it refuses the end of a running request", func() {
		place.network.CutBoth("e1", "c1")
		place.network.CutBoth("e1", "c2")
		w := start(WriterOptions{BufferRecords: 8, Async: true})
		for range 6 {
			Expect(w.Begin(ctx, begin)).To(Succeed())
		}
		var full *FullError
		Expect(errors.As(w.Begin(ctx, begin), &full)).To(BeTrue())
		Expect(full.Error()).To(ContainSubstring("audit_unavailable"))
		Expect(w.Append(record(sessionOf("e1"), 1, End))).To(Succeed())
		Expect(w.Append(record(sessionOf("e1"), 2, End))).To(Succeed())
		Expect(errors.As(w.Append(record(sessionOf("e1"), 3, End)), &full)).To(BeTrue())
		Expect(w.Close()).To(MatchError(ContainSubstring("8 records")))
	})

	ginkgo.It("may write its own sessions only, and an entry VM reads nothing", func() {
		foreign := place.endpoint("e2", transport.RoleEntry)
		e, err := encodeBatch(sessionOf("e1"), &Batch{Number: 1, Records: []Record{begin}})
		Expect(err).NotTo(HaveOccurred())
		body, err := e.message()
		Expect(err).NotTo(HaveOccurred())
		_, err = foreign.Call(ctx, "c1", transport.MethodAuditAppend, body)
		Expect(err).To(MatchError(ContainSubstring("its own sessions only")))
		_, missing := (&Reader{Caller: foreign, Addrs: []string{"c1"}}).Query(ctx, begin.Request)
		Expect(missing).To(Equal([]string{"c1"}))
		_, err = (&RemoteTarget{Caller: foreign, Addr: "c1"}).Held(ctx, "e2")
		Expect(err).To(MatchError(ContainSubstring("may not store copies")))
	})

	ginkgo.It("has its records copied to a second control VM, sealed segments and tail", func() {
		dir := ginkgo.GinkgoT().TempDir()
		o := Options{SegmentBytes: 800}
		fill(dir, 20, o)
		store, err := Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		defer store.Close() //nolint:errcheck // nothing waits
		target := &RemoteTarget{Caller: place.endpoint("c3", transport.RoleControl), Addr: "c2"}
		Expect(store.Replicate(ctx, "c3", target)).To(Succeed())
		b := Batch{Number: 21, Records: []Record{record(sessionOf("a"), 21, Begin)}}
		Expect(store.Append(sessionOf("a"), b)).To(Succeed())
		Expect(store.Replicate(ctx, "c3", target)).To(Succeed())
		report, err := store.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(VerifyDir(place.copies["c2"].Dir("c3"))).To(Equal(report))

		// A source that lost durable records is found by its longer copy.
		last := store.tail.segment
		Expect(store.Close()).To(Succeed())
		Expect(os.Truncate(last.path, last.size-1)).To(Succeed())
		store, err = Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(isCorrupt(store.Replicate(ctx, "c3", target))).To(BeTrue())
		Expect(store.Close()).To(Succeed())
	})

	ginkgo.It("has copies that stay verifiable when they begin late or are retired", func() {
		dir := ginkgo.GinkgoT().TempDir()
		now := time.UnixMilli(1_000_000)
		o := Options{SegmentBytes: 400, Retention: time.Hour, Now: func() time.Time { return now }}
		fill(dir, 10, o)
		now = now.Add(2 * time.Hour)
		store, err := Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		defer store.Close() //nolint:errcheck // nothing waits
		Expect(store.Retire()).To(BeNumerically(">", 1))
		late, early := NewCopyDir(ginkgo.GinkgoT().TempDir()), NewCopyDir(ginkgo.GinkgoT().TempDir())
		Expect(store.Replicate(ctx, "c1", late)).To(Succeed())
		report, err := store.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(VerifyDir(late.Dir("c1"))).To(Equal(report))

		fill(dir+"2", 10, o)
		second, err := Open(dir+"2", o)
		Expect(err).NotTo(HaveOccurred())
		defer second.Close() //nolint:errcheck // nothing waits
		Expect(second.Replicate(ctx, "c2", early)).To(Succeed())
		Expect(early.Retire(now.Add(2*time.Hour), time.Hour)).To(BeNumerically(">", 1))
		Expect(second.Replicate(ctx, "c2", early)).To(Succeed())
		copied, err := VerifyDir(early.Dir("c2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(copied.First).To(BeNumerically(">", 1), "a retired segment is not copied again")
		whole, err := second.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(copied.Head).To(Equal(whole.Head))
	})

	ginkgo.It("has its records found in the copy while their control VM does not answer", func() {
		w := start(WriterOptions{})
		Expect(w.Begin(ctx, begin)).To(Succeed())
		target := &RemoteTarget{Caller: place.endpoint("c1", transport.RoleControl), Addr: "c2"}
		Expect(place.stores["c1"].Replicate(ctx, "c1", target)).To(Succeed())
		reader := place.reader()
		place.network.Isolate("c1")
		found, missing := reader.Query(ctx, begin.Request)
		Expect(found).To(HaveLen(1))
		Expect(missing).To(Equal([]string{"c1"}))
		found, _ = reader.Session(ctx, begin.Request.Session)
		Expect(found).To(HaveLen(1))
	})

	ginkgo.It("pages through a long session", func() {
		w := start(WriterOptions{BatchRecords: 4096})
		for seq := uint64(1); seq <= pageEntries+5000; seq++ {
			Expect(w.Append(record(sessionOf("e1"), seq, Begin))).To(Succeed())
		}
		Expect(w.Flush(ctx)).To(Succeed())
		all, missing := place.reader().Session(ctx, sessionOf("e1"))
		Expect(missing).To(BeEmpty())
		Expect(all).To(HaveLen(pageEntries + 5000))
		open, err := place.stores["c1"].OpenRequests(sessionOf("e1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(open).To(HaveLen(pageEntries + 5000))
	})
})
