package gateway

import (
	"bytes"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/advice"
	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/directory"
)

// A runner says in its answers that it leaves, or that it wants no requests for a
// while. Every way to a runner heeds that.
var _ = ginkgo.Describe("what a runner has said of itself", func() {
	leaving := advice.Advice{Leaving: true}
	pausing := advice.Advice{Pause: time.Minute}
	refusal := reply{status: 503, notExecuted: true, advice: pausing}
	// A runner that has refused a request is left alone for a shorter time anyway.
	const longerThanBackoff = 400 * time.Millisecond

	sendsTo := func(f *fakeRunners, runner string) int {
		n := 0
		for _, d := range f.sends() {
			if d.RunnerID == runner {
				n++
			}
		}
		return n
	}

	// relist publishes the runners once more, all of them ready.
	relist := func(g *Gateway, change func(*directory.Runner)) {
		list := testRunners()
		for i := range list {
			if change != nil {
				change(&list[i])
			}
		}
		g.Update(&directory.State{Table: g.Table(), List: &directory.RunnerList{Seq: 2, Runners: list}, Entries: g.state.Load().Entries})
	}

	// Guards against a way to a runner on which its word is not asked for.
	ginkgo.DescribeTable("keeps new requests away",
		func(route, runner string, word reply) {
			g, f := newTestGateway()
			ok := reply{status: 200, body: events(1, 2)}
			f.any = []reply{ok}
			f.replies[runner] = []reply{word}
			for n := 0; sendsTo(f, runner) == 0; n++ {
				Expect(n).To(BeNumerically("<", 100))
				serve(g, call(route))
			}
			relist(g, nil)
			for began := time.Now(); time.Since(began) < longerThanBackoff; {
				Expect(serve(g, call(route)).status).To(Equal(200))
			}
			Expect(sendsTo(f, runner)).To(Equal(1))
		},
		ginkgo.Entry("once, leaving", "once", "ledger1", reply{status: 200, body: "ok", advice: leaving}),
		ginkgo.Entry("once, leaving with a failure", "once", "ledger1", reply{status: 500, advice: leaving}),
		ginkgo.Entry("once, pausing", "once", "ledger1", refusal),
		ginkgo.Entry("again, leaving", "again", "ledger1", reply{status: 200, body: "ok", advice: leaving}),
		ginkgo.Entry("again, pausing", "again", "ledger1", refusal),
		ginkgo.Entry("stream, leaving", "stream", "engines1", reply{status: 200, body: events(1, 2), advice: leaving}),
		ginkgo.Entry("stream, pausing", "stream", "engines1", refusal),
		ginkgo.Entry("resume, pausing", "resume", "engines1", refusal),
	)

	// Guards against a pause that is asked for and passed over without a trace.
	ginkgo.It("counts a time that is none, and goes on asking the runner", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 503, notExecuted: true, advice: advice.Advice{Unreadable: true}}, {status: 200, body: "ok"}}
		Expect(serve(g, call("again")).body).To(Equal("ok"))
		Expect(g.advice.AnyPaused(time.Now())).To(BeFalse())
		var out bytes.Buffer
		g.WriteMetrics(&out)
		Expect(out.String()).To(ContainSubstring(`damask_gateway_runner_advice_total{kind="unreadable"} 1`))
	})

	// Guards against a stream that is cut because its runner leaves.
	ginkgo.It("does not end a stream that runs there", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 4), advice: leaving}}
		out := serve(g, call("stream"))
		Expect(out.body).To(Equal(events(1, 4)))
		Expect(out.aborted).To(BeFalse())
	})

	ginkgo.DescribeTable("keeps a broken stream and a silent one from being resumed there",
		func(first reply) {
			g, f := newSilenceGateway(nil)
			f.any = []reply{first, {status: 200, body: events(3, 4)}}
			g.Update(&directory.State{Table: g.Table(), List: &directory.RunnerList{Seq: 2, Runners: []directory.Runner{
				{ID: "engines1", Service: "engines", Addr: "engines1:80", Zone: "z"}, {ID: "engines2", Service: "engines", Addr: "engines2:80", Zone: "z"},
			}}})
			g.recordAdviceAt("engines2:80", "engines2", pausing)
			serve(g, call("resume"))
			Expect(f.sends()).To(HaveLen(1))
			Expect(f.sends()[0].RunnerID).To(Equal("engines1"))
		},
		ginkgo.Entry("broken", reply{status: 200, body: events(1, 2), cut: true}),
		ginkgo.Entry("silent", reply{status: 200, body: events(1, 2), silentUntil: closedAfter(300 * time.Millisecond), rest: events(3, 4)}),
	)

	ginkgo.It("lets the only runner of a service be used for a while after it has said that it leaves", func() {
		g, _ := newTestGateway()
		for _, runner := range []string{"ledger1", "ledger2", "ledger3"} {
			g.recordAdviceAt(runner+":80", runner, leaving)
		}
		g.runners.mu.Lock()
		defer g.runners.mu.Unlock()
		Expect(g.runners.candidates(time.Now(), &runnerQuery{service: g.Table().Service("ledger")})).To(HaveLen(3))
		Expect(g.runners.candidates(time.Now().Add(g.runners.drainGrace), &runnerQuery{service: g.Table().Service("ledger")})).To(BeEmpty())
	})

	// Guards against requests that wait for runners which want none.
	ginkgo.It("has a request refused at once, until the first runner may be asked again, if all pause", func() {
		g, f := newTestGateway()
		for i, runner := range []string{"ledger1", "ledger2", "ledger3"} {
			g.recordAdviceAt(runner+":80", runner, advice.Advice{Pause: time.Duration(20+10*i) * time.Second})
		}
		out := serve(g, call("once"))
		Expect(out.refusal.Reason).To(Equal(RunnersPaused))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(out.refusal.RetryAfter).To(BeNumerically("~", 20*time.Second, time.Second))
		Expect(f.sends()).To(BeEmpty())
		g.runners.mu.Lock()
		defer g.runners.mu.Unlock()
		Expect(g.runners.candidates(time.Now().Add(21*time.Second), &runnerQuery{service: g.Table().Service("ledger")})).To(HaveLen(1))
	})

	// usable returns the runners of the ledger that may be sent requests.
	usable := func(g *Gateway) (ids []string) {
		g.runners.mu.Lock()
		defer g.runners.mu.Unlock()
		for _, r := range g.runners.candidates(time.Now(), &runnerQuery{service: g.Table().Service("ledger")}) {
			ids = append(ids, r.ID)
		}
		return ids
	}
	// read publishes that the list of runners was read just now.
	read := func(g *Gateway) {
		next := *g.state.Load()
		next.ListsAsOf = map[string]time.Time{"z": time.Now()}
		g.Update(&next)
	}

	// Guards against a word that outlives its process: an address, or an ID, may be
	// used again.
	ginkgo.It("does not count for the next process of the runner", func() {
		g, _ := newTestGateway()
		g.recordAdviceAt("ledger1:80", "ledger1", leaving)
		g.recordAdviceAt("ledger2:80", "ledger2", pausing)
		Expect(usable(g)).To(ConsistOf("ledger3"))
		read(g)
		Expect(usable(g)).To(ConsistOf("ledger3"))
		relist(g, func(r *directory.Runner) { r.StartedUnixMS = 5 })
		Expect(usable(g)).To(HaveLen(3))
	})

	// Guards against a word that is forgotten because the list shows only later that it
	// was the next process's: a runner that restarts under its ID may ask for a pause at
	// once.
	ginkgo.It("counts for the next process of the runner if it may have said it before the list showed it", func() {
		g, _ := newTestGateway()
		read(g)
		g.recordAdviceAt("ledger1:80", "ledger1", leaving)
		g.recordAdviceAt("ledger2:80", "ledger2", pausing)
		relist(g, func(r *directory.Runner) { r.StartedUnixMS = 5 })
		Expect(usable(g)).To(ConsistOf("ledger3"))
		read(g)
		Expect(usable(g)).To(ConsistOf("ledger1", "ledger3"), "the list shows that the next process stays")
	})

	ginkgo.It("counts for the next process while the list shows it leaving, or does not tell as of when it stays", func() {
		g, _ := newTestGateway()
		read(g)
		g.recordAdviceAt("ledger1:80", "ledger1", leaving)
		relist(g, func(r *directory.Runner) { r.StartedUnixMS, r.Draining = 5, r.ID == "ledger1" })
		read(g)
		relist(g, func(r *directory.Runner) { r.StartedUnixMS = 5 })
		Expect(usable(g)).To(ConsistOf("ledger2", "ledger3"), "as of when is not known")
	})

	// Guards against calls after the first of two pauses, of which the second is longer.
	ginkgo.It("keeps stage calls away until the end of the longest pause", func() {
		g, _ := newTestGateway()
		for _, pause := range []time.Duration{time.Second, time.Minute} {
			for _, runner := range []string{"encode1", "encode2", "encode3"} {
				g.recordAdviceAt(runner+":80", runner, advice.Advice{Pause: pause})
			}
			// The assembler is made with the first pause.
			made := make(chan struct{})
			g.pieces.post(func(o *pieceOwner, _ time.Time) {
				o.assembler(poolKey{"encode", "z"})
				close(made)
			})
			<-made
		}
		delay := make(chan time.Duration)
		g.pieces.post(func(o *pieceOwner, now time.Time) {
			later := now.Add(30 * time.Second)
			delay <- o.assembler(poolKey{"encode", "z"}).Delay(later, &batch.Item{Deadline: later.Add(time.Second)}, 1)
		})
		Expect(<-delay).To(Equal(batch.NoRunnerDelay))
	})

	ginkgo.DescribeTable("keeps stage calls away",
		func(said advice.Advice, refused bool) {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 2)}}
			var called []string
			f.pieces = func(c *batch.Call) batch.CallResult {
				f.mu.Lock()
				defer f.mu.Unlock()
				called = append(called, c.RunnerID)
				result := resultsFor(c)
				if c.RunnerID == "encode1" {
					result.Advice = said
					if refused {
						result = batch.CallResult{Refused: true, Advice: said}
					}
				}
				return result
			}
			for began := time.Now(); time.Since(began) < longerThanBackoff; {
				c := call("staged")
				c.Pieces = []int{1, 1, 1}
				Expect(serve(g, c).status).To(Equal(200))
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			first := slices.Index(called, "encode1")
			Expect(first).To(BeNumerically(">=", 0))
			Expect(called[first+1:]).NotTo(ContainElement("encode1"))
		},
		ginkgo.Entry("leaving", leaving, false),
		ginkgo.Entry("pausing", pausing, true),
	)
})
