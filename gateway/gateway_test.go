package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString("id: " + string(rune('0'+n)) + "\ndata: x\n\n")
	}
	return b.String()
}

var _ = ginkgo.Describe("admission of a request", func() {
	ginkgo.DescribeTable("refuses without a runner for",
		func(change func(*Call), reason Reason) {
			g, f := newTestGateway()
			c := call("once")
			change(c)
			out := serve(g, c)
			Expect(out.refusal.Reason).To(Equal(reason))
			Expect(out.refusal.Executed).To(BeFalse())
			Expect(f.sends()).To(BeEmpty())
		},
		ginkgo.Entry("an unknown path", func(c *Call) { c.Path = "/nowhere/" }, NoRoute),
		ginkgo.Entry("an unknown host", func(c *Call) { c.Host = "other" }, NoRoute),
		ginkgo.Entry("an unknown key", func(c *Call) { c.Key = "stolen" }, UnknownKey),
		ginkgo.Entry("no key", func(c *Call) { c.Key = "" }, UnknownKey),
	)

	// A VM that knows no routes yet cannot say that there is none.
	ginkgo.It("asks the caller to come back while the routes are not known", func() {
		f := &fakeRunners{}
		known, _ := newTestGateway()
		g := New(known.opts)
		g.opts.Upstreams = f
		c := call("once")
		c.Patience = time.Millisecond
		out := serve(g, c)
		Expect(out.refusal.Reason).To(Equal(NoCatalog))
		Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	ginkgo.It("serves a request that came shortly before the routes were known", func() {
		known, f := newTestGateway()
		g := New(known.opts)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go g.Run(ctx)
		time.AfterFunc(50*time.Millisecond, func() { g.Update(known.state.Load()) })
		c := call("once")
		c.Patience = time.Minute
		Expect(serve(g, c).status).To(Equal(200))
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("passes the workspace on and never the key", func() {
		g, f := newTestGateway()
		Expect(serve(g, call("once")).status).To(Equal(200))
		Expect(f.sends()[0].Workspace).To(Equal("w"))
	})
})

var _ = ginkgo.Describe("a request that may run once", func() {
	ginkgo.It("is not sent again after a runner may have run it", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}, {status: 200, body: "twice"}}
		out := serve(g, call("once"))
		Expect(out.refusal.Reason).To(Equal(Lost))
		Expect(out.refusal.Executed).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("is not sent again after an answer that was cut", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: "hal", cut: true}, {status: 200, body: "twice"}}
		out := serve(g, call("once"))
		Expect(out.refusal.Executed).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("gets a runner's failure unchanged", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 500, body: "broken"}}
		out := serve(g, call("once"))
		Expect(out.status).To(Equal(500))
		Expect(out.body).To(Equal("broken"))
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.DescribeTable("goes to another runner when one has certainly not run it",
		func(first reply) {
			g, f := newTestGateway()
			f.any = []reply{first, {status: 200, body: "ok"}}
			out := serve(g, call("once"))
			Expect(out.status).To(Equal(200))
			sent := f.sends()
			Expect(sent[len(sent)-1].RunnerID).To(Equal(out.from))
		},
		ginkgo.Entry("not sent", reply{notSent: true}),
		ginkgo.Entry("full", reply{status: 503, notExecuted: true}),
		ginkgo.Entry("another runner at the address", reply{status: 421, notExecuted: true, misdirected: true}),
	)

	ginkgo.It("is refused as not run when all runners refuse it", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 503, notExecuted: true}}
		out := serve(g, call("once"))
		Expect(out.refusal.Reason).To(Equal(RunnersFull))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(len(f.sends())).To(BeNumerically("<=", maxSends))
	})

	ginkgo.It("keeps its share of a runner's connections idle and no more", func() {
		g, _ := newTestGateway()
		s := &catalog.Service{MaxConns: 99}
		g.Update(&directory.State{Entries: make([]directory.EntryVM, 9)})
		Expect(g.idleShare(s)).To(Equal(5))
		g.Update(&directory.State{Entries: make([]directory.EntryVM, 58)})
		Expect(g.idleShare(s)).To(BeNumerically("<", 0))
		Expect(g.idleShare(&catalog.Service{})).To(BeZero())
	})

	ginkgo.It("uses a new connection", func() {
		g, f := newTestGateway()
		serve(g, call("once"))
		serve(g, call("again"))
		Expect(f.sends()[0].Fresh).To(BeTrue())
		Expect(f.sends()[1].Fresh).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a request that may be repeated", func() {
	ginkgo.DescribeTable("goes to another runner after",
		func(first reply) {
			g, f := newTestGateway()
			f.any = []reply{first, {status: 200, body: "ok"}}
			out := serve(g, call("again"))
			Expect(out.body).To(Equal("ok"))
			Expect(f.sends()).To(HaveLen(2))
			Expect(f.sends()[0].RunnerID).NotTo(Equal(f.sends()[1].RunnerID))
		},
		ginkgo.Entry("a lost answer", reply{lost: true}),
		ginkgo.Entry("a cut answer", reply{status: 200, body: "hal", cut: true}),
		ginkgo.Entry("a failure", reply{status: 500, body: "no"}),
		ginkgo.Entry("a runner that hangs", reply{hang: true}),
	)

	ginkgo.It("runs on no more runners than its route allows", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 500, body: "no"}}
		out := serve(g, call("again"))
		Expect(out.status).To(Equal(500))
		Expect(f.sends()).To(HaveLen(2))
	})

	// All entry VMs share the budget; a service that fails must not get twice
	// its load.
	ginkgo.It("is not repeated once the budget is spent", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 500, body: "no"}}
		for range 100 {
			serve(g, call("again"))
		}
		repeats := len(f.sends()) - 100
		Expect(repeats).To(BeNumerically("<=", 100*0.2+50))
		Expect(repeats).To(BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("the end of a request's time", func() {
	ginkgo.It("is answered at the caller's deadline", func() {
		g, f := newTestGateway()
		f.any = []reply{{hang: true}}
		c := call("once")
		c.Patience = 50 * time.Millisecond
		out := serve(g, c)
		Expect(out.refusal.Reason).To(Equal(TimedOut))
		Expect(out.refusal.Executed).To(BeTrue())
	})

	ginkgo.It("is the caller's leaving", func() {
		g, f := newTestGateway()
		f.any = []reply{{hang: true}}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		out := &fakeCaller{}
		g.Serve(ctx, call("stream"), out)
		Expect(out.refusal.Reason).To(Equal(Left))
	})
})

var _ = ginkgo.Describe("a stream", func() {
	ginkgo.It("is passed on whole with the runner's status", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 4)}}
		out := serve(g, call("stream"))
		Expect(out.body).To(Equal(events(1, 4)))
		Expect(out.aborted).To(BeFalse())
	})

	// An answer that ends early must not look complete.
	ginkgo.DescribeTable("that breaks off is aborted without the part of an event",
		func(r reply) {
			g, f := newTestGateway()
			f.any = []reply{r}
			out := serve(g, call("stream"))
			Expect(out.body).To(Equal(events(1, 2)))
			Expect(out.aborted).To(BeTrue())
			Expect(f.sends()).To(HaveLen(1))
		},
		ginkgo.Entry("by a reset", reply{status: 200, body: events(1, 2) + "id: 3\nda", cut: true}),
		ginkgo.Entry("by a proper end within an event", reply{status: 200, body: events(1, 2) + "id: 3\nda"}),
	)

	ginkgo.It("goes on at another runner after its last event, where the route allows", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 2) + "id: 3\nda", cut: true}, {status: 200, body: events(2, 4)}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 4)))
		Expect(out.aborted).To(BeFalse())
		Expect(f.sends()[1].ResumeAfter).To(Equal("2"))
		Expect(out.from).To(Equal(f.sends()[0].RunnerID), "the answer keeps the head of its first runner")
	})

	ginkgo.It("is sent afresh where it may be resumed and no event has come", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}, {status: 200, body: events(1, 2)}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 2)))
		Expect(f.sends()[1].ResumeAfter).To(BeEmpty())
	})

	ginkgo.It("goes on after the event that the caller names", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(2, 4)}}
		c := call("resume")
		c.ResumeAfter = "2"
		Expect(serve(g, c).body).To(Equal(events(3, 4)))
		Expect(f.sends()[0].ResumeAfter).To(Equal("2"))
	})

	ginkgo.It("is refused while the VM stops", func() {
		g, f := newTestGateway()
		g.Stop()
		Expect(serve(g, call("stream")).refusal.Reason).To(Equal(Stopping))
		Expect(g.Ready()).To(BeFalse())
		Expect(serve(g, call("once")).status).To(Equal(200))
		Expect(f.sends()).To(HaveLen(1))
	})
})

var _ = ginkgo.Describe("stages", func() {
	stagedCall := func() *Call {
		c := call("staged")
		c.Pieces, c.PieceKey = []int{2, 3, 1}, "pk"
		return c
	}

	ginkgo.It("get the key or all results of the stages before, and the engine all final results", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		Expect(serve(g, stagedCall()).body).To(Equal(events(1, 1)))
		var final []string
		for _, c := range f.calls {
			for _, i := range c.Items {
				if i.Stage == 1 {
					Expect(i.Key).To(BeEmpty())
					Expect(i.Inputs).To(HaveLen(2))
				} else {
					Expect(i.Key).To(Equal("pk"))
					Expect(i.Inputs).To(BeEmpty())
				}
				if i.Stage != 0 {
					final = append(final, c.Runner)
				}
			}
		}
		Expect(final).To(HaveLen(4))
		sent := f.sends()[0]
		Expect(sent.HasInputs).To(BeTrue())
		Expect(sent.Inputs).To(HaveLen(4))
	})

	ginkgo.It("have their results freed, whether the request succeeds or not", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}, {lost: true}}
		serve(g, stagedCall())
		Eventually(f.freedCount).WithTimeout(5 * time.Second).Should(Equal(6))
		serve(g, stagedCall())
		Eventually(f.freedCount).WithTimeout(5 * time.Second).Should(Equal(12))
	})

	// The results are freed with the first event.
	ginkgo.It("run again when a stream goes on at another runner", func() {
		g, f := newTestGateway()
		c := testCatalog()
		c.Version = 2
		c.Routes[4].Repeat = catalog.RepeatFromEvent
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List})
		f.any = []reply{{status: 200, body: events(1, 2), cut: true}, {status: 200, body: events(3, 4)}}
		out := serve(g, stagedCall())
		Expect(out.body).To(Equal(events(1, 4)))
		sent := f.sends()
		Expect(sent[1].ResumeAfter).To(Equal("2"))
		Expect(sent[1].Inputs).To(HaveLen(4))
		for _, input := range sent[1].Inputs {
			Expect(sent[0].Inputs).NotTo(ContainElement(input))
		}
	})

	ginkgo.It("that cannot run again after a run do not promise that nothing ran", func() {
		g, f := newTestGateway()
		c := testCatalog()
		c.Version = 2
		c.Routes[4].Repeat = catalog.RepeatFromEvent
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List})
		f.any = []reply{{lost: true}, {status: 409, notExecuted: true}}
		f.pieces = failAfter(3)
		out := serve(g, stagedCall())
		Expect(out.refusal.Executed).To(BeTrue())
	})

	ginkgo.It("that have no pieces are left out", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		c := stagedCall()
		c.Pieces = []int{0, 0, 1}
		serve(g, c)
		Expect(f.sends()[0].Inputs).To(HaveLen(1))
	})

	ginkgo.It("that fail have the request refused as not run", func() {
		g, f := newTestGateway()
		f.pieces = func(c *batch.Call) batch.CallResult {
			var r batch.CallResult
			for range c.Items {
				r.Results = append(r.Results, batch.Result{Reason: batch.Failed})
			}
			return r
		}
		out := serve(g, stagedCall())
		Expect(out.refusal.Reason).To(Equal(StagesFailed))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(f.sends()).To(BeEmpty())
	})

	// Under a peak, queues that hold what will be late make all that follows
	// late too.
	ginkgo.It("that are foreseen to be late have a first attempt refused at once, and a later one served", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		serve(g, stagedCall())
		g.pieces.noteDelay(peerKey{"encode", "self"}, 3*time.Second)
		out := serve(g, stagedCall())
		Expect(out.refusal.Reason).To(Equal(StagesLate))
		Expect(out.refusal.RetryAfter).To(BeNumerically(">=", leastRetry))
		Expect(f.sends()).To(HaveLen(1))
		g.pieces.noteDelay(peerKey{"encode", "self"}, 1500*time.Millisecond)
		back := stagedCall()
		back.Patience = 4 * time.Second
		Expect(serve(g, back).body).To(Equal(events(1, 1)))
	})

	ginkgo.It("of other branches are started beside the last stage of the longest chain", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		c := stagedCall()
		c.Pieces[1] = 30
		serve(g, c)
		f.mu.Lock()
		defer f.mu.Unlock()
		first := map[int]int{}
		for n, call := range f.calls {
			if _, seen := first[call.Items[0].Stage]; !seen {
				first[call.Items[0].Stage] = n
			}
		}
		Expect(first[0]).To(BeZero())
		Expect(first[2]).To(BeNumerically(">", 0))
	})

	ginkgo.It("of other branches wait until the longest chain is as far", func() {
		g, _ := newTestGateway()
		r := &request{g: g, table: g.Table(), call: stagedCall()}
		r.call.Pieces[1] = 30
		r.route = r.table.Route("h", "/staged/x")
		Expect(r.isEarly(0, []bool{false, false, false})).To(BeFalse())
		Expect(r.isEarly(2, []bool{true, false, false})).To(BeTrue())
		Expect(r.isEarly(2, []bool{true, true, false})).To(BeFalse(), "beside the last stage of the chain, however long that is")
	})
})

var _ = ginkgo.Describe("the list of runners", func() {
	list := func(change func([]directory.Runner)) *directory.State {
		runners := testRunners()
		change(runners)
		return &directory.State{Table: catalog.NewTable(testCatalog()), List: &directory.RunnerList{Seq: 2, Runners: runners}}
	}

	ginkgo.It("keeps requests away from leaving runners", func() {
		g, f := newTestGateway()
		g.Update(list(func(r []directory.Runner) { r[0].Draining, r[1].Draining = true, true }))
		for range 10 {
			serve(g, call("once"))
		}
		for _, s := range f.sends() {
			Expect(s.RunnerID).To(Equal("ledger3"))
		}
	})

	ginkgo.It("uses a leaving runner for a while if it is the last", func() {
		g, f := newTestGateway()
		g.Update(list(func(r []directory.Runner) { r[0].Draining, r[1].Draining, r[2].Draining = true, true, true }))
		Expect(serve(g, call("once")).status).To(Equal(200))
		Expect(f.sends()).To(HaveLen(1))
		g.runners.mu.Lock()
		for i := range g.runners.byService["ledger"] {
			g.runners.byService["ledger"][i].drainSeen = time.Now().Add(-time.Minute)
		}
		g.runners.mu.Unlock()
		Expect(serve(g, call("once")).refusal.Reason).To(Equal(NoRunner))
	})

	ginkgo.It("forgets a runner that is gone", func() {
		g, _ := newTestGateway()
		g.Update(list(func(r []directory.Runner) { r[0].ID = "new" }))
		g.runners.mu.Lock()
		defer g.runners.mu.Unlock()
		Expect(slices.ContainsFunc(g.runners.byService["ledger"], func(l listed) bool { return l.ID == "ledger1" })).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a caller's patience", func() {
	ginkgo.It("tells a second attempt from a first one", func() {
		b := newPatienceBook()
		Expect(b.waited("r", 6*time.Second)).To(BeZero())
		Expect(b.waited("r", 5200*time.Millisecond)).To(BeZero(), "callers differ by some")
		Expect(b.waited("r", 3*time.Second)).To(BeNumerically("~", 2520*time.Millisecond, time.Millisecond))
		Expect(b.waited("other", 3*time.Second)).To(BeZero())
	})
})

var _ = ginkgo.Describe("events", func() {
	ginkgo.It("come whole, in any cut of the bytes", func() {
		whole := events(1, 5)
		for size := 1; size < len(whole); size++ {
			s := eventSplitter{}
			var got []byte
			for rest := whole; rest != ""; {
				n := min(size, len(rest))
				got = append(got, s.push([]byte(rest[:n]))...)
				rest = rest[n:]
			}
			Expect(string(got)).To(Equal(whole))
			Expect(s.lastID).To(Equal("5"))
			Expect(s.hasPartial()).To(BeFalse())
		}
	})

	ginkgo.It("that were seen before are left out", func() {
		s := eventSplitter{}
		s.push([]byte(events(1, 3)))
		Expect(string(s.push([]byte(events(2, 4))))).To(Equal(events(4, 4)))
	})
})

// failAfter lets this many stage calls succeed and all later ones fail.
func failAfter(calls int) func(*batch.Call) batch.CallResult {
	var mu sync.Mutex
	return func(c *batch.Call) batch.CallResult {
		mu.Lock()
		defer mu.Unlock()
		calls--
		var r batch.CallResult
		for _, i := range c.Items {
			result := batch.Result{Reason: batch.Failed}
			if calls >= 0 {
				result = batch.Result{Handle: fmt.Sprint(i.Stage, "-", i.Piece, "-", calls), Runner: c.Runner}
			}
			r.Results = append(r.Results, result)
		}
		return r
	}
}
