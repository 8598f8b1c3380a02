package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func testAttempt() Attempt {
	session := ids.SessionID{VM: "entry-1", Incarnation: 1}
	return Attempt{Request: ids.RequestID{Session: session, Seq: 7}, Stage: "bookings", Number: 1}
}

// serve starts a runner that counts its calls.
func serve(h http.HandlerFunc) (addr string, calls *atomic.Int64) {
	calls = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		h(w, r)
	}))
	DeferCleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

func causeAndStart(err error) (Cause, bool) {
	Expect(err).To(HaveOccurred())
	return CauseOf(err), MayHaveStarted(err)
}

var _ = Describe("Client", func() {
	var c *Client
	BeforeEach(func() {
		c = NewClient(Options{})
		DeferCleanup(c.Close)
	})

	It("proves that nothing was sent when no connection is made", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book"})
		cause, started := causeAndStart(err)
		Expect(cause).To(Equal(NotSent))
		Expect(started).To(BeFalse())
	})

	It("sends nothing when the guard fails directly before the first byte", func() {
		addr, calls := serve(func(http.ResponseWriter, *http.Request) {})
		late := errors.New("the dispatch window is over")
		_, err := c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book", Guard: func() error { return late }})
		cause, started := causeAndStart(err)
		Expect(cause).To(Equal(GuardFailed))
		Expect(started).To(BeFalse())
		Expect(errors.Is(err, late)).To(BeTrue())
		Expect(calls.Load()).To(BeZero())
	})

	It("takes a broken connection after the request as possibly executed", func() {
		addr, calls := serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		guard := func() error { return nil }
		_, err := c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book", Guard: guard})
		_, started := causeAndStart(err)
		Expect(started).To(BeTrue())
		Expect(calls.Load()).To(Equal(int64(1)))
	})

	It("never sends a request with a key again by itself on a reused connection that breaks", func() {
		var breakNext atomic.Bool
		addr, calls := serve(func(http.ResponseWriter, *http.Request) {
			if breakNext.Load() {
				panic(http.ErrAbortHandler)
			}
		})
		call := ServiceCall{Op: "book", Key: "k", Body: []byte("x")}
		_, err := c.Service(context.Background(), addr, testAttempt(), call)
		Expect(err).NotTo(HaveOccurred())
		breakNext.Store(true)
		_, err = c.Service(context.Background(), addr, testAttempt(), call)
		Expect(err).To(HaveOccurred())
		Expect(calls.Load()).To(Equal(int64(2)))
	})

	It("uses a new connection for each guarded call", func() {
		seen := map[string]bool{}
		addr, _ := serve(func(_ http.ResponseWriter, r *http.Request) { seen[r.RemoteAddr] = true })
		guard := func() error { return nil }
		for range 3 {
			_, err := c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book", Guard: guard})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(seen).To(HaveLen(3))
	})

	It("believes a refusal that says that nothing was executed", func() {
		addr, _ := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderDraining, "true")
			w.Header().Set(HeaderNotExecuted, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		_, err := c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book"})
		cause, started := causeAndStart(err)
		Expect(cause).To(Equal(Draining))
		Expect(started).To(BeFalse())
	})

	It("rejects a response that belongs to another attempt", func() {
		addr, _ := serve(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderAttempt, "other/stage/1") })
		_, err := c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "lookup"})
		cause, _ := causeAndStart(err)
		Expect(cause).To(Equal(Mismatch))
	})

	It("rejects a stage output that does not match its digest", func() {
		addr, _ := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"output":"a","sha256":"00"}`))
		})
		_, err := c.Stage(context.Background(), addr, testAttempt(), "encode", "normal", StageRequest{Input: "x"})
		cause, _ := causeAndStart(err)
		Expect(cause).To(Equal(Mismatch))
	})

	It("gives up a connection without progress, not the upstream", func() {
		var silent atomic.Bool
		release := make(chan struct{})
		addr, _ := serve(func(http.ResponseWriter, *http.Request) {
			if silent.Swap(false) {
				<-release
			}
		})
		DeferCleanup(func() { close(release) })
		quick := NewClient(Options{ProgressTimeout: 50 * time.Millisecond})
		DeferCleanup(quick.Close)
		silent.Store(true)
		_, err := quick.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "lookup"})
		cause, started := causeAndStart(err)
		Expect(cause).To(Equal(Silent))
		Expect(started).To(BeTrue())
		_, err = quick.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "lookup"})
		Expect(err).NotTo(HaveOccurred())
	})

	It("lets a completion wait in an engine's queue for longer than the progress timeout", func() {
		// Long reports in a busy pool failed as silent connections although
		// their engines were only queueing.
		queued := 4 * 50 * time.Millisecond
		addr, _ := serve(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(queued)
			_, _ = w.Write([]byte(tokenA + finish + doneLine))
		})
		quick := NewClient(Options{ProgressTimeout: 50 * time.Millisecond})
		DeferCleanup(quick.Close)
		_, err := quick.Chat(context.Background(), addr, testAttempt(), ChatRequest{}, func(int, string) error { return nil })
		Expect(err).NotTo(HaveOccurred())
	})

	It("gives the engine's own count, which shows a lost token", func() {
		addr, _ := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(tokenA + finish + usageTwo + doneLine))
		})
		end, err := c.Chat(context.Background(), addr, testAttempt(), ChatRequest{}, func(int, string) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(end.Tokens).To(Equal(1))
		Expect(end.Reported).To(Equal(2))
	})

	DescribeTable("accepts a stream only with its end", func(body string, ok bool) {
		addr, _ := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
		var got strings.Builder
		end, err := c.Chat(context.Background(), addr, testAttempt(), ChatRequest{}, func(_ int, text string) error {
			got.WriteString(text)
			return nil
		})
		Expect(err == nil).To(Equal(ok))
		if ok {
			Expect(got.String()).To(Equal("ab"))
			Expect(end.Tokens).To(Equal(2))
		}
	},
		Entry("complete", tokenA+tokenB+finish+doneLine, true),
		Entry("cut after a token", tokenA, false),
		Entry("closed in order without a finish reason", tokenA+tokenB+doneLine, false),
		Entry("malformed", "data: {\n\n", false),
	)
})

const (
	usageTwo = `data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":2}}` + "\n\n"
	tokenA   = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	tokenB   = `data: {"choices":[{"delta":{"content":"b"}}]}` + "\n\n"
	finish   = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	doneLine = "data: [DONE]\n\n"
)

// rawRunner answers one call with the given bytes.
func rawRunner(response string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(response))
		}
	}()
	return l.Addr().String()
}
