package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

var _ = ginkgo.Describe("request admission", func() {
	ginkgo.DescribeTable("refuses a request before it reaches a runner for",
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

	// Guards against a VM that answers NoRoute before it has received the routes.
	ginkgo.It("asks the caller to retry while the catalog is missing", func() {
		f := &fakeRunners{}
		known, _ := newTestGateway()
		g := New(known.opts)
		g.opts.Upstreams = f
		c := call("once")
		c.Timeout = time.Millisecond
		out := serve(g, c)
		Expect(out.refusal.Reason).To(Equal(NoCatalog))
		Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	ginkgo.It("serves a request that arrived shortly before the catalog", func() {
		known, f := newTestGateway()
		g := New(known.opts)
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go g.Run(ctx)
		time.AfterFunc(50*time.Millisecond, func() { g.Update(known.state.Load()) })
		c := call("once")
		c.Timeout = time.Minute
		Expect(serve(g, c).status).To(Equal(200))
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("forwards the workspace to the runner", func() {
		g, f := newTestGateway()
		Expect(serve(g, call("once")).status).To(Equal(200))
		Expect(f.sends()[0].Workspace).To(Equal("w"))
	})
})

var _ = ginkgo.Describe("a request on a route with RetryNever", func() {
	ginkgo.It("is not sent again after a runner may have executed it", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}, {status: 200, body: "twice"}}
		out := serve(g, call("once"))
		Expect(out.refusal.Reason).To(Equal(AnswerLost))
		Expect(out.refusal.Executed).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("is not sent again after a truncated answer", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: "hal", cut: true}, {status: 200, body: "twice"}}
		out := serve(g, call("once"))
		Expect(out.refusal.Executed).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("relays a runner's error unchanged", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 500, body: "broken"}}
		out := serve(g, call("once"))
		Expect(out.status).To(Equal(500))
		Expect(out.body).To(Equal("broken"))
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.DescribeTable("goes to another runner when the first one certainly did not execute it",
		func(first reply) {
			g, f := newTestGateway()
			f.any = []reply{first, {status: 200, body: "ok"}}
			out := serve(g, call("once"))
			Expect(out.status).To(Equal(200))
			sent := f.sends()
			Expect(sent[len(sent)-1].RunnerID).To(Equal(out.from))
		},
		ginkgo.Entry("connection failed", reply{notSent: true}),
		ginkgo.Entry("runner full", reply{status: 503, notExecuted: true}),
		ginkgo.Entry("address taken by another runner", reply{status: 421, notExecuted: true, misdirected: true}),
	)

	ginkgo.It("is refused as not executed when all runners refuse it", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 503, notExecuted: true}}
		out := serve(g, call("once"))
		Expect(out.refusal.Reason).To(Equal(RunnersFull))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(len(f.sends())).To(BeNumerically("<=", maxSends))
	})

	ginkgo.It("limits idle connections to the VM's share", func() {
		g, _ := newTestGateway()
		s := &catalog.Service{MaxConns: 99}
		g.Update(&directory.State{Entries: make([]directory.EntryVM, 9)})
		Expect(g.maxIdleConns(s)).To(Equal(5))
		g.Update(&directory.State{Entries: make([]directory.EntryVM, 58)})
		Expect(g.maxIdleConns(s)).To(BeNumerically("<", 0))
		Expect(g.maxIdleConns(&catalog.Service{})).To(BeZero())
	})

	ginkgo.It("uses a new connection", func() {
		g, f := newTestGateway()
		serve(g, call("once"))
		serve(g, call("again"))
		Expect(f.sends()[0].NewConnection).To(BeTrue())
		Expect(f.sends()[1].NewConnection).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a request on a route with RetryAlways", func() {
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
		ginkgo.Entry("a truncated answer", reply{status: 200, body: "hal", cut: true}),
		ginkgo.Entry("a server error", reply{status: 500, body: "no"}),
		ginkgo.Entry("a hanging runner", reply{hang: true}),
	)

	ginkgo.It("is executed by no more runners than its route allows", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 500, body: "no"}}
		out := serve(g, call("again"))
		Expect(out.status).To(Equal(500))
		Expect(f.sends()).To(HaveLen(2))
	})

	// All entry VMs share the budget. Guards against repeats that double the load
	// of a failing service.
	ginkgo.It("is not repeated once the retry budget is exhausted", func() {
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

var _ = ginkgo.Describe("a request whose context ends", func() {
	ginkgo.It("is refused at the caller's deadline", func() {
		g, f := newTestGateway()
		f.any = []reply{{hang: true}}
		c := call("once")
		c.Timeout = 50 * time.Millisecond
		out := serve(g, c)
		Expect(out.refusal.Reason).To(Equal(TimedOut))
		Expect(out.refusal.Executed).To(BeTrue())
	})

	ginkgo.It("is refused when the caller disconnects", func() {
		g, f := newTestGateway()
		f.any = []reply{{hang: true}}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		out := &fakeResponder{}
		g.Serve(ctx, call("stream"), out)
		Expect(out.refusal.Reason).To(Equal(CallerLeft))
	})
})

var _ = ginkgo.Describe("the runner list", func() {
	list := func(change func([]directory.Runner)) *directory.State {
		runners := testRunners()
		change(runners)
		return &directory.State{Table: catalog.NewTable(testCatalog()), List: &directory.RunnerList{Seq: 2, Runners: runners}}
	}

	ginkgo.It("keeps requests away from draining runners", func() {
		g, f := newTestGateway()
		g.Update(list(func(r []directory.Runner) { r[0].Draining, r[1].Draining = true, true }))
		for range 10 {
			serve(g, call("once"))
		}
		for _, s := range f.sends() {
			Expect(s.RunnerID).To(Equal("ledger3"))
		}
	})

	ginkgo.It("uses a draining runner for a limited time if no other is left", func() {
		g, f := newTestGateway()
		g.Update(list(func(r []directory.Runner) { r[0].Draining, r[1].Draining, r[2].Draining = true, true, true }))
		Expect(serve(g, call("once")).status).To(Equal(200))
		Expect(f.sends()).To(HaveLen(1))
		g.runners.mu.Lock()
		for i := range g.runners.byService["ledger"] {
			g.runners.byService["ledger"][i].drainingSince = time.Now().Add(-time.Minute)
		}
		g.runners.mu.Unlock()
		Expect(serve(g, call("once")).refusal.Reason).To(Equal(NoRunner))
	})

	ginkgo.It("removes a runner that is no longer listed", func() {
		g, _ := newTestGateway()
		g.Update(list(func(r []directory.Runner) { r[0].ID = "new" }))
		g.runners.mu.Lock()
		defer g.runners.mu.Unlock()
		Expect(slices.ContainsFunc(g.runners.byService["ledger"], func(l listedRunner) bool { return l.ID == "ledger1" })).To(BeFalse())
	})
})

var _ = ginkgo.Describe("the timeout of a caller", func() {
	ginkgo.It("distinguishes a retry from a first attempt", func() {
		b := newTimeoutTracker()
		Expect(b.priorWait("r", 6*time.Second)).To(BeZero())
		Expect(b.priorWait("r", 5200*time.Millisecond)).To(BeZero(), "timeouts of first attempts vary")
		Expect(b.priorWait("r", 3*time.Second)).To(BeNumerically("~", 2520*time.Millisecond, time.Millisecond))
		Expect(b.priorWait("other", 3*time.Second)).To(BeZero())
	})
})
