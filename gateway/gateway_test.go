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
