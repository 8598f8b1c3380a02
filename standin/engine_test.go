package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/standin/content"
)

var _ = Describe("engine", func() {
	options := EngineOptions{Common: Common{TimeScale: fast}}

	It("streams one token in each chunk and ends with usage and [DONE]", func() {
		_, p := serve(NewEngine(options))
		q := chat("hello", 24, true)
		res, body := p.must("POST", "/v1/chat/completions", q, HeaderAttempt, "r/generate/1")
		Expect(res.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(res.Header.Get(HeaderAttempt)).To(Equal("r/generate/1"))
		Expect(res.Header.Get(HeaderLoad)).To(MatchRegexp(`^running=\d+;waiting=\d+;at=\d+$`))
		want := content.Tokens(q.Messages, 24)
		data := chunks(body)
		Expect(data).To(HaveLen(len(want) + 2))
		for i, token := range want {
			c := decodeTo[chatBody]([]byte(data[i]))
			Expect(c.Choices[0].Delta.Content).To(Equal(token))
			Expect(c.Choices[0].FinishReason).To(BeNil())
		}
		last := decodeTo[chatBody]([]byte(data[len(want)]))
		Expect(*last.Choices[0].FinishReason).To(Equal("stop"))
		Expect(last.Usage.CompletionTokens).To(Equal(len(want)))
		Expect(data[len(want)+1]).To(Equal("[DONE]"))
	})

	It("runs only until its caller closes the connection", func() {
		e := NewEngine(options)
		_, p := serve(e)
		res, err := p.call("POST", "/v1/chat/completions", chat("long", 20000, true), HeaderAttempt, "r/g/1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return e.Journal().Ran("r") }).Should(Equal(1))
		Expect(res.Body.Close()).To(Succeed())
		Eventually(func() int64 { return e.Counters().Cancelled }).Should(BeEquivalentTo(1))
		Expect(e.Counters().Finished).To(BeZero())
	})

	It("cancels an attempt by its name", func() {
		e := NewEngine(options)
		_, p := serve(e)
		res, err := p.call("POST", "/v1/chat/completions", chat("long", 20000, true), HeaderAttempt, "r/g/1")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		// A sequence that is cancelled in the queue has not executed and is
		// not counted.
		Eventually(func() int { return e.Journal().Ran("r") }).Should(Equal(1))
		_, body := p.must("POST", "/v1/cancel/r/g/1", nil)
		Expect(string(body)).To(ContainSubstring("true"))
		Eventually(func() int64 { return e.Counters().Cancelled }).Should(BeEquivalentTo(1))
		_, body = p.must("POST", "/v1/cancel/r/g/1", nil)
		Expect(string(body)).To(ContainSubstring("false"))
	})

	It("reports the prompt tokens that it found in its cache", func() {
		_, p := serve(NewEngine(options))
		q := chat(strings.Repeat("shared context ", 40), 4, false)
		for i := range 2 {
			_, body := p.must("POST", "/v1/chat/completions", q)
			u := decodeTo[chatBody](body).Usage
			full := len(content.PrefixChain(content.Prompt(q.Messages))) * content.BlockTokens
			Expect(u.PromptTokensDetails.CachedTokens).To(Equal(i * full))
		}
	})

	It("exports a cached prefix to another engine", func() {
		_, a := serve(NewEngine(options))
		_, b := serve(NewEngine(options))
		q := chat(strings.Repeat("moved context ", 40), 2, false)
		a.must("POST", "/v1/chat/completions", q)
		chain := content.PrefixChain(content.Prompt(q.Messages))
		id := formatPrefix(chain[len(chain)-1])
		_, export := a.must("GET", "/kv/"+id, nil)
		res, _ := b.must("PUT", "/kv/"+id, decodeTo[kvExport](export))
		Expect(res.StatusCode).To(Equal(http.StatusNoContent))
		_, body := b.must("POST", "/v1/chat/completions", q)
		Expect(decodeTo[chatBody](body).Usage.PromptTokensDetails.CachedTokens).To(Equal(len(chain) * content.BlockTokens))
	})

	It("takes the queue by priority and keeps the batch within its size", func() {
		o := options
		o.MaxBatch = 1
		e := newEngine(o)
		for i, priority := range []string{"batch", "normal", "interactive", "normal"} {
			Expect(e.submit(testSequence(strconv.Itoa(i), priority, 2))).To(BeTrue())
		}
		var order []string
		for len(order) < 4 {
			running, _, ok := e.plan()
			Expect(ok).To(BeTrue())
			Expect(running).To(Equal(1))
			order = append(order, e.batch[0].attempt)
			e.emit()
			e.emit()
		}
		Expect(order).To(Equal([]string{"2", "1", "3", "0"}))
	})

	It("gives the place of a cancelled attempt free, whether it runs or waits", func() {
		o := options
		o.MaxBatch = 1
		e := newEngine(o)
		for _, attempt := range []string{"running", "waiting", "last"} {
			Expect(e.submit(testSequence(attempt, "", 9))).To(BeTrue())
		}
		_, _, ok := e.plan()
		Expect(ok).To(BeTrue())
		Expect(e.cancel("waiting")).To(BeTrue())
		Expect(e.cancel("running")).To(BeTrue())
		Expect(e.cancel("running")).To(BeFalse())
		_, _, ok = e.plan()
		Expect(ok).To(BeTrue())
		Expect(e.batch[0].attempt).To(Equal("last"))
		Expect(e.queue).To(BeEmpty())
		Expect(e.Counters().Executed).To(BeEquivalentTo(2))
		Expect(e.Counters().Cancelled).To(BeEquivalentTo(1))
	})

	It("takes longer for a larger batch and for uncached prompt tokens", func() {
		e := newEngine(options)
		Expect(e.stepTime(8, 0)).To(BeNumerically(">", e.stepTime(1, 0)))
		Expect(e.stepTime(1, 1000)).To(BeNumerically(">", e.stepTime(1, 0)))
	})

	It("rejects calls beyond its queue without executing them", func() {
		o := options
		o.MaxWaiting = 1
		e := newEngine(o)
		Expect(e.submit(testSequence("a", "", 1))).To(BeTrue())
		_, p := serve(e)
		res, _ := p.must("POST", "/v1/chat/completions", chat("x", 1, false), HeaderAttempt, "r/g/1")
		Expect(res.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(res.Header.Get(HeaderNotExecuted)).To(Equal("true"))
		Expect(e.Journal().Ran("r")).To(BeZero())
		Expect(e.Journal().Seen("r/g/1")).To(Equal(1))
	})

	It("publishes cache events late and with gaps, and evicts within its memory", func() {
		at := &clock{at: time.UnixMilli(1_000_000)}
		e := newEngine(EngineOptions{Common: Common{Now: at.now}, CacheBlocks: 4, EventDelay: time.Second, EventGap: 3})
		_, p := serve(e)
		e.cache.store([]uint64{1, 2, 3, 4}, at.now())
		_, body := p.must("GET", "/cache/events?after=0", nil)
		Expect(decodeTo[[]CacheEvent](body)).To(BeEmpty())
		at.at = at.at.Add(time.Second)
		e.cache.store([]uint64{5}, at.now())
		_, body = p.must("GET", "/cache/events?after=1", nil)
		var seqs []uint64
		for _, x := range decodeTo[[]CacheEvent](body) {
			seqs = append(seqs, x.Seq)
		}
		Expect(seqs).To(Equal([]uint64{2, 4}))
		Expect(e.cache.blocks).To(HaveLen(4))
		Expect(e.cache.match([]uint64{1, 2, 3})).To(Equal(3))
		Expect(e.cache.match([]uint64{1, 2, 3, 4})).To(Equal(3))
	})

	DescribeTable("orders with a lower fencing token", func(checks bool, status int, stale, refused int64, version string) {
		e := NewEngine(EngineOptions{Common: Common{TimeScale: fast}, ChecksFencing: checks})
		_, p := serve(e)
		p.must("POST", "/orders", Order{Kind: SetVersion, Model: "m", Version: "new", FencingToken: 9})
		res, _ := p.must("POST", "/orders", Order{Kind: SetVersion, Model: "m", Version: "old", FencingToken: 8})
		Expect(res.StatusCode).To(Equal(status))
		Expect(e.State().Versions["m"]).To(Equal(version))
		Expect(e.State().FencingToken).To(BeEquivalentTo(9))
		Expect(e.Counters().StaleOrders).To(Equal(stale))
		Expect(e.Counters().RefusedOrders).To(Equal(refused))
	},
		Entry("are rejected where tokens are checked", true, http.StatusConflict, int64(0), int64(1), "new"),
		Entry("are executed where they are not", false, http.StatusAccepted, int64(1), int64(0), "old"),
	)

	It("rejects an expired order", func() {
		e := NewEngine(options)
		_, p := serve(e)
		res, _ := p.must("POST", "/orders", Order{Kind: SetRole, Role: "prefill", FencingToken: 1, ExpiresUnixMS: 1})
		Expect(res.StatusCode).To(Equal(http.StatusGone))
		Expect(e.State().Role).To(Equal("mixed"))
	})

	It("serves a model only once it is drawn from the weight store and loaded", func() {
		store := NewWeights(WeightsOptions{BytesPerSecond: 1 << 20, Burst: 1 << 17})
		s, _ := serve(store)
		e := NewEngine(EngineOptions{
			Common: Common{TimeScale: fast}, Models: []string{"base"}, WeightsURL: s.URL(),
			ModelBytes: 1 << 18, DrawBytes: 1 << 16,
		})
		_, p := serve(e)
		q := chat("x", 1, false)
		q.Model = "next"
		res, _ := p.must("POST", "/v1/chat/completions", q)
		Expect(res.StatusCode).To(Equal(http.StatusNotFound))
		Expect(res.Header.Get(HeaderNotExecuted)).To(Equal("true"))
		p.must("POST", "/orders", Order{Kind: LoadModel, Model: "next", FencingToken: 1})
		Eventually(func() []string { return e.State().Models }).Should(ContainElement("next"))
		Expect(store.Drawn("next")).To(BeEquivalentTo(1 << 18))
		Expect(store.Refused()).To(BeNumerically(">", 0))
		res, _ = p.must("POST", "/v1/chat/completions", q)
		Expect(res.StatusCode).To(Equal(http.StatusOK))
	})
})

func testSequence(attempt, priority string, tokens int) *sequence {
	return &sequence{
		ctx: context.Background(), attempt: attempt, rank: rankOf(priority),
		tokens: make([]string, tokens), prompt: 1, out: make(chan string, tokens), cancelled: make(chan struct{}),
	}
}

// Guards against a resumed stream that repeats or skips a token.
func TestResumeContinuesAtTheOffset(t *testing.T) {
	RegisterTestingT(t)
	e := NewEngine(EngineOptions{Common: Common{TimeScale: fast / 10}})
	defer e.Close()
	s, err := Serve("127.0.0.1:0", e)
	Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	p := &peer{http: &http.Client{Transport: &http.Transport{}}, url: s.URL()}
	rapid.Check(t, func(t *rapid.T) {
		q := chat(rapid.String().Draw(t, "text"), 20, true)
		want := content.Tokens(q.Messages, 20)
		offset := rapid.IntRange(0, len(want)).Draw(t, "offset")
		_, body := p.must("POST", "/v1/chat/completions", q, HeaderResume, strconv.Itoa(offset))
		var got []string
		data := chunks(body)
		for _, d := range data[:len(data)-2] {
			got = append(got, decodeTo[chatBody]([]byte(d)).Choices[0].Delta.Content)
		}
		if strings.Join(got, "|") != strings.Join(want[offset:], "|") {
			t.Fatalf("from offset %d: %q, want %q", offset, got, want[offset:])
		}
		if u := decodeTo[chatBody]([]byte(data[len(data)-2])).Usage; u.CompletionTokens != len(want) {
			t.Fatalf("usage counts %d tokens, want %d", u.CompletionTokens, len(want))
		}
	})
}
