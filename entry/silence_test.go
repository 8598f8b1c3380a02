package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"damaskbridge.example/damaskbridge/audit"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/standin"
	"damaskbridge.example/damaskbridge/standin/content"
	"damaskbridge.example/damaskbridge/stream"
	"damaskbridge.example/damaskbridge/upstream"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// silentEngine is in the entry VM's region and therefore chosen first.
	silentEngine = "engines-one-1"
	otherEngine  = "engines-two-1"
	// longSilence is many times the token gap of newSilenceEnv.
	longSilence = time.Second
)

func silenceDocument() string {
	return strings.Replace(testDocument(), "stream.token_gap: 5s", "stream.token_gap: 100ms\n    hedge.enabled: false", 1)
}

// newSilenceEnv starts an environment with one engine per region, of which the
// silent one sends no token after the third.
func newSilenceEnv(perRegion map[ids.Region]int) *testEnv {
	env := newTestEnvWithFleet(func(c *standin.FleetConfig) {
		for i := range c.Pools {
			if c.Pools[i].Kind == settings.KindGenerate {
				c.Pools[i].Runners = perRegion
			}
		}
	})
	env.applySettings("short gap", silenceDocument())
	env.fault(silentEngine, standin.Fault{Kind: standin.FaultPause, AfterTokens: 3})
	return env
}

func (env *testEnv) fault(vm ids.VMID, f standin.Fault) {
	Expect(env.fleet.Fault(standin.Selector{VM: vm}, f)).To(Succeed())
}

func (env *testEnv) countersOf(vm ids.VMID) standin.Counters {
	return env.fleet.Counters(standin.Selector{VM: vm})
}

// applySettings applies a document and returns when it is in effect.
func (env *testEnv) applySettings(id, doc string) {
	res := env.control.applyDocument(id, doc)
	Expect(string(res.Change.State)).To(Equal("accepted"), res.Change.Detail)
	Eventually(func() uint64 { return env.server.subscriber.snapshot().tree.Version() }).WithTimeout(10 * time.Second).Should(Equal(res.Change.Version))
}

// report is the answer to one request.
type report struct {
	request, output string
	complete        bool
	raw             string
}

// ask starts a request and returns its answer, streamed or whole.
func (env *testEnv) ask(stream bool) <-chan report {
	out := make(chan report, 1)
	go func() {
		defer GinkgoRecover()
		resp, raw := env.post("/v1/pipelines/answer", PipelineRequest{Input: "long report", MaxTokens: 60, Stream: stream})
		got := report{request: resp.Header.Get(HeaderRequest), raw: string(raw)}
		if stream {
			tokens, done := readEvents(raw)
			got.output, got.complete = strings.Join(tokens, ""), done.Complete
		} else {
			var whole PipelineResponse
			_ = json.Unmarshal(raw, &whole)
			got.output, got.complete = whole.Output, resp.StatusCode == http.StatusOK
		}
		out <- got
	}()
	return out
}

func expectWhole(out <-chan report) report {
	GinkgoHelper()
	var got report
	Eventually(out).WithTimeout(20 * time.Second).Should(Receive(&got))
	Expect(got.complete).To(BeTrue(), got.raw)
	Expect(got.output).To(Equal(content.Pipeline(answerStages, "long report", 60)))
	return got
}

var onePerRegion = map[ids.Region]int{"one": 1, "two": 1}

// A sound engine may be silent for a second or so and go on.
var _ = Describe("a request whose engine is silent and goes on", func() {
	fault := func(f standin.Fault) func(*testEnv) {
		return func(env *testEnv) { env.fault(otherEngine, f) }
	}
	spendBudget := func(env *testEnv) {
		for env.server.retryBudgets.forPool("engines").TrySpend(time.Now()) {
		}
	}

	// Guards against a stream that breaks although its engine is sound, because no
	// other engine can go on with it.
	DescribeTable("is answered whole while no other engine takes over", func(stream bool, arrange func(*testEnv)) {
		env := newSilenceEnv(onePerRegion)
		arrange(env)
		out := env.ask(stream)
		Eventually(func() int64 { return env.countersOf(silentEngine).Executed }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		time.AfterFunc(longSilence, func() {
			_ = env.fleet.Fault(standin.Selector{VM: silentEngine}, standin.Fault{Kind: standin.FaultReturn})
		})
		got := expectWhole(out)
		Expect(env.outcomes(got.request, silentEngine)).To(ContainElement(audit.OK))
	},
		Entry("because it is full", true, fault(standin.Fault{Kind: standin.FaultOverload})),
		Entry("because it leaves", true, fault(standin.Fault{Kind: standin.FaultDrain})),
		Entry("because it cannot be reached", true, fault(standin.Fault{Kind: standin.FaultRefuse})),
		Entry("because it fails", true, fault(standin.Fault{Kind: standin.FaultDie})),
		Entry("because the retry budget is spent", true, spendBudget),
		Entry("because it is full, not streamed", false, fault(standin.Fault{Kind: standin.FaultOverload})),
		Entry("because the retry budget is spent, not streamed", false, spendBudget),
	)

	It("is answered whole while there is no other engine", func() {
		env := newSilenceEnv(map[ids.Region]int{"one": 1})
		out := env.ask(true)
		Eventually(func() int64 { return env.countersOf(silentEngine).Executed }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		given := make(chan int64, 1)
		time.AfterFunc(longSilence, func() {
			given <- env.countersOf(silentEngine).PausedGone
			env.fault(silentEngine, standin.Fault{Kind: standin.FaultReturn})
		})
		expectWhole(out)
		Expect(given).To(Receive(BeZero()), "attempts that ended during the silence")
	})

	// Guards against a whole request that is cut beside a change of the settings.
	It("is answered whole when a change drops its pipeline and its pool", func() {
		env := newSilenceEnv(map[ids.Region]int{"one": 1})
		spendBudget(env)
		out := env.ask(true)
		Eventually(func() int64 { return env.countersOf(silentEngine).Executed }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		env.applySettings("drop", documentWithoutPipeline())
		time.AfterFunc(longSilence, func() { env.fault(silentEngine, standin.Fault{Kind: standin.FaultReturn}) })
		expectWhole(out)
	})
})

var _ = Describe("a request whose engine stays silent", func() {
	It("goes on at another engine, and the silent one's attempt ends as such", func() {
		env := newSilenceEnv(onePerRegion)
		got := expectWhole(env.ask(true))
		Eventually(func() int64 { return env.countersOf(silentEngine).PausedGone }).WithTimeout(10 * time.Second).Should(BeEquivalentTo(1))
		Eventually(func() []audit.Outcome { return env.outcomes(got.request, silentEngine) }).WithTimeout(10 * time.Second).Should(Equal([]audit.Outcome{audit.Unknown}))
		Expect(env.outcomes(got.request, otherEngine)).To(Equal([]audit.Outcome{audit.OK}))
		var text strings.Builder
		env.server.counters.write(&text)
		Expect(text.String()).To(And(
			ContainSubstring(`damask_entry_retries_total{reason="standby"} 1`),
			ContainSubstring(`damask_entry_retries_total{reason="taken_over"} 1`),
			ContainSubstring(`damask_entry_attempts_total{pool="engines",outcome="silent_connection"} 1`)))
	})

	// Guards against two engines that work on one request side by side.
	It("ends at it soon after another engine has taken the request without a word", func() {
		env := newSilenceEnv(onePerRegion)
		env.fault(otherEngine, standin.Fault{Kind: standin.FaultPause})
		out := env.ask(true)
		Eventually(func() int64 { return env.countersOf(silentEngine).PausedGone }).WithTimeout(10 * time.Second).Should(BeEquivalentTo(1))
		Expect(env.countersOf(otherEngine).Executed).To(BeEquivalentTo(1))
		env.fault(otherEngine, standin.Fault{Kind: standin.FaultReturn})
		expectWhole(out)
	})

	// Guards against standby attempts that follow each other faster than the gap.
	It("is reported once per gap, and again after its next token", func() {
		opts := stream.DefaultOptions()
		opts.FirstTokenTimeout, opts.TokenTimeout = 1, 1
		e := &execution{tokens: stream.NewSharedAssembler(opts), tokenGap: time.Hour}
		e.tokens.Begin(1, time.Now().Add(-time.Second))
		var signals []signalKind
		w := &stallWatch{execution: e, attempt: 1, signal: func(k signalKind) { signals = append(signals, k) }}
		w.timer = time.AfterFunc(time.Hour, func() {})
		w.progress()
		w.check()
		w.check()
		w.progress()
		w.progress()
		w.check()
		w.stop()
		w.check()
		Expect(signals).To(Equal([]signalKind{signalProgress, signalStalled, signalProgress, signalStalled}))
	})

	// newAttempt runs an attempt at an engine whose only token is "other", beside
	// one that has begun with "one".
	newAttempt := func(ctx context.Context, e *execution, signal signalFunc) error {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
			_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"other"}}]}`+"\n\n")
		}))
		DeferCleanup(engine.Close)
		s := &Server{client: upstream.NewClient(upstream.Options{})}
		_, err := s.chatAttempt(ctx, e, engine.Listener.Addr().String(), upstream.Attempt{Number: 2}, upstream.ChatRequest{}, func(time.Duration) {}, signal)
		return err
	}
	newExecutionWithToken := func() *execution {
		e := &execution{tokens: stream.NewSharedAssembler(stream.DefaultOptions()), tokenGap: time.Minute}
		e.tokens.Begin(1, time.Now())
		_, _, err := e.tokens.Append(1, "one", time.Now())
		Expect(err).NotTo(HaveOccurred())
		return e
	}

	// Guards against a sound engine that is given up for one that continues another
	// completion.
	It("takes no token of another completion for progress", func() {
		var signals []signalKind
		err := newAttempt(context.Background(), newExecutionWithToken(), func(k signalKind) { signals = append(signals, k) })
		var diverged *stream.DivergedError
		Expect(errors.As(err, &diverged)).To(BeTrue())
		Expect(signals).To(BeEmpty())
	})

	// Guards against a complete stream that ends as failed, because the other attempt
	// fails before the end of the first one is known.
	It("waits for the attempt that has completed the stream", func() {
		e := newExecutionWithToken()
		_, err := e.tokens.Finish(1, 1, time.Now())
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- newAttempt(ctx, e, func(signalKind) {}) }()
		Consistently(ended).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		cancel()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(MatchError(stream.ErrFinished)))
	})
})

// documentWithoutPipeline leaves no pipeline and no pool but that of the service.
func documentWithoutPipeline() string {
	before, rest, _ := strings.Cut(silenceDocument(), "pools:\n")
	_, after, _ := strings.Cut(rest, "services:\n")
	after = strings.Replace(after, "pipelines: [answer]", "pipelines: []", 1)
	return before + "pools:\n  - {name: bookings, kind: service}\npipelines: []\nservices:\n" + after
}

// outcomes returns the recorded outcomes of the attempts at an engine.
func (env *testEnv) outcomes(request string, vm ids.VMID) []audit.Outcome {
	u, _ := env.fleet.Upstream(vm)
	var all []audit.Outcome
	for _, r := range env.recorder.recordsOf(request) {
		if r.Kind == audit.StageEnd && r.Upstream == u.Address() {
			all = append(all, r.Outcome)
		}
	}
	return all
}
