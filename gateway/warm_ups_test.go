package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/warmup"
)

// limitWarmUps makes the ledger's and the engines' runners bear little while they
// are cold.
func limitWarmUps(c *catalog.Catalog) {
	for i := range c.Services {
		if c.Services[i].StageRunner == nil {
			c.Services[i].WarmUp = &catalog.WarmUp{Time: 3 * time.Second, PerSecond: 1}
		}
	}
}

var _ = ginkgo.Describe("runners that warm up", func() {
	// newColdGateway returns a gateway whose runners are cold for a time, and that
	// holds grants of some of them.
	newColdGateway := func(cold func(*directory.Runner) bool, granted ...string) (*Gateway, *fakeRunners) {
		g, f := newUnconfiguredGateway()
		g.runners.warmUps.opts = WarmUpOptions{Excess: 1, Slack: 3}
		f.any = []reply{{status: 200, body: events(1, 1)}}
		list := testRunners()
		var grants []warmup.Grant
		for i := range list {
			if cold(&list[i]) {
				list[i].WarmupLeftMS = 60_000
			}
			for _, id := range granted {
				if list[i].ID == id {
					grants = append(grants, warmup.Grant{Process: list[i].Process(), VM: "self"})
				}
			}
		}
		c := testCatalog()
		limitWarmUps(c)
		g.Update(&directory.State{
			Table: catalog.NewTable(c), List: &directory.RunnerList{Seq: 1, Runners: list},
			Entries: []directory.EntryVM{{Addr: "self", Zone: "z"}},
			WarmUps: warmup.NewGrants(time.Now(), grants, "self"),
		})
		return g, f
	}
	all := func(*directory.Runner) bool { return true }
	sentTo := func(f *fakeRunners) map[string]int {
		n := map[string]int{}
		for _, d := range f.sends() {
			n[d.RunnerID]++
		}
		return n
	}

	// Guards against a burst to runners that have just started: they look idle.
	ginkgo.It("get nothing while others are warm, unless they are granted", func() {
		g, f := newColdGateway(func(r *directory.Runner) bool { return r.ID != "ledger2" })
		for range 20 {
			Expect(serve(g, call("once")).status).To(Equal(200))
		}
		Expect(sentTo(f)).To(Equal(map[string]int{"ledger2": 20}))
	})

	ginkgo.It("get no more than the holder's share, and the rest is refused with the time to come back", func() {
		g, f := newColdGateway(all, "ledger3")
		refused := 0
		for range 10 {
			out := serve(g, call("once"))
			if out.refusal == nil {
				continue
			}
			refused++
			Expect(out.refusal.Reason).To(Equal(RunnersCold))
			Expect(out.refusal.Executed).To(BeFalse())
			Expect(out.refusal.RetryAfter).To(BeNumerically("~", 60*time.Second, 2*time.Second))
		}
		// One second passes at most on a machine that is not held up; the bucket holds
		// one request and gains one a second.
		Expect(sentTo(f)).To(HaveKey("ledger3"))
		Expect(sentTo(f)).To(HaveLen(1))
		Expect(refused).To(BeNumerically(">", 0))
	})

	// Guards against ways of sending beside the first choice.
	ginkgo.It("get no repeat and no resume without a grant", func() {
		for _, route := range []string{"again", "resume"} {
			g, f := newColdGateway(func(r *directory.Runner) bool { return r.ID != "ledger1" && r.ID != "engines1" })
			f.replies["ledger1"] = []reply{{lost: true}}
			f.replies["engines1"] = []reply{{status: 200, body: events(1, 1), cut: true}}
			out := serve(g, call(route))
			Expect(out.refusal != nil || out.aborted).To(BeTrue())
			Expect(f.sends()).To(HaveLen(1))
		}
	})

	// Guards against a data centre that is taken back and gets all of its callers at
	// once, before the list shows that its runners are cold.
	ginkgo.It("are also those of a data centre whose evacuation has just ended", func() {
		g, f := newColdGateway(func(*directory.Runner) bool { return false })
		next := *g.state.Load()
		next.Evacuations, _ = next.Evacuations.Apply(1, &evacuation.Order{Zone: "z", Start: true})
		g.Update(&next)
		ended := next
		ended.Evacuations, _ = next.Evacuations.Apply(time.Now().UnixMilli(), &evacuation.Order{Zone: "z", Revision: 1})
		g.Update(&ended)
		Expect(serve(g, call("once")).refusal.Reason).To(Equal(RunnersCold))
		Expect(f.sends()).To(BeEmpty())
		g.runners.warmUps.endedAt["z"] = time.Now().Add(-4 * time.Second)
		Expect(serve(g, call("once")).status).To(Equal(200))
	})

	// Guards against a runner that is used in full as soon as it can be reached again.
	ginkgo.It("are also those that could not be reached a moment ago", func() {
		g, f := newColdGateway(func(r *directory.Runner) bool { return r.ID == "ledger2" || r.ID == "ledger3" })
		f.replies["ledger1"] = []reply{{notSent: true}, {status: 200, body: "ok"}}
		Expect(serve(g, call("once")).refusal).NotTo(BeNil())
		Expect(serve(g, call("once")).refusal).NotTo(BeNil(), "it is tried once a second")
		Expect(f.sends()).To(BeEmpty())
	})

	// Guards against stage calls beside the limit.
	ginkgo.It("get no stage calls", func() {
		g, f := newColdGateway(all)
		c := testCatalog()
		for i := range c.Services {
			c.Services[i].WarmUp = &catalog.WarmUp{Time: 3 * time.Second, PerSecond: 1}
		}
		next := *g.state.Load()
		next.Table = catalog.NewTable(c)
		g.Update(&next)
		staged := call("staged")
		staged.Pieces, staged.Timeout = []int{2, 3, 1}, 300*time.Millisecond
		Expect(serve(g, staged).refusal).NotTo(BeNil())
		Expect(f.callCount()).To(BeZero())
	})

	// Guards against a change for deployments that set no limit.
	ginkgo.It("are used like others where no limit is set", func() {
		g, f := newColdGateway(all)
		g.runners.warmUps.opts = WarmUpOptions{}
		for range 12 {
			Expect(serve(g, call("once")).status).To(Equal(200))
		}
		Expect(f.sends()).To(HaveLen(12))
	})
})
