package gateway

import (
	"reflect"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/residency"
)

// updateCatalog puts a changed catalog in force at both VMs.
func (p *gatewayPair) updateCatalog(change func(*catalog.Catalog)) {
	c := testCatalog()
	change(c)
	for _, g := range p.gateways {
		old := g.state.Load()
		g.Update(&directory.State{Table: catalog.NewTable(c), List: old.List, Entries: old.Entries, Evacuations: old.Evacuations})
	}
}

// restrictRoutes allows one region only on all routes.
func restrictRoutes(regions ...string) func(*catalog.Catalog) {
	return func(c *catalog.Catalog) {
		for i := range c.Routes {
			c.Routes[i].AllowedRegions = residency.Of(regions)
		}
	}
}

// reached returns the data centres whose runners got something from a VM: requests,
// stage calls, reservations, or the release of results.
func (p *gatewayPair) reached() map[string]bool {
	zones := map[string]bool{}
	for _, f := range p.runners {
		f.mu.Lock()
		for i := range f.sent {
			zones[f.sent[i].Addr[:1]] = true
		}
		for i := range f.calls {
			zones[f.calls[i].Runner[:1]] = true
		}
		for _, id := range f.reserved {
			zones[id[len(id)-1:]] = true
		}
		for _, handle := range f.freed {
			zones[handle[:1]] = true
		}
		f.mu.Unlock()
	}
	return zones
}

var _ = ginkgo.Describe("a request that may be processed in one region only", func() {
	ok := reply{status: 200, body: events(1, 2)}

	// Guards against a way to a runner on which the allowed regions are not asked
	// for. The VM has runners in its own data centre z, which is not allowed, and all
	// of its ways prefer those.
	ginkgo.DescribeTable("reaches no other one",
		func(route string, first reply) {
			p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
			p.updateCatalog(restrictRoutes("y"))
			f := p.runners["two"]
			f.any = []reply{first, ok}
			c := call(route)
			c.Pieces, c.PieceKey = []int{2, 3, 1}, "pk"
			out := serve(p.gateways["two"], c)
			Expect(out.status).To(Equal(200))
			Eventually(p.gateways["two"].runners.active).WithArguments("engines").Should(BeZero())
			Expect(p.reached()).To(Equal(map[string]bool{"y": true}))
		},
		ginkgo.Entry("a request that runs once", "once", ok),
		ginkgo.Entry("a repeat after a lost answer", "again", reply{lost: true}),
		ginkgo.Entry("a repeat after silence", "again", reply{hang: true}),
		ginkgo.Entry("a repeat after a refusal", "once", reply{status: 503, notExecuted: true}),
		ginkgo.Entry("a stream", "stream", ok),
		ginkgo.Entry("a stream that is resumed", "resume", reply{status: 200, body: events(1, 1), cut: true}),
		ginkgo.Entry("a stream with a standby", "resume", reply{status: 200, body: events(1, 1), silentUntil: make(chan struct{})}),
		ginkgo.Entry("a stream with stages", "staged", ok),
	)

	ginkgo.It("has no further way to a runner", func() {
		// Connect carries nothing of a request.
		ways := []string{"Connect", "FreePieces", "Reserve", "RunPieces", "Send"}
		var methods []string
		for m := range reflect.TypeFor[Upstreams]().Methods() {
			methods = append(methods, m.Name)
		}
		Expect(methods).To(ConsistOf(ways), "a new way to a runner needs an entry in the table above")
	})

	// Guards against a workspace whose regions are ignored where its route has some.
	ginkgo.It("is held to the regions of both its route and its workspace", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		p.updateCatalog(func(c *catalog.Catalog) {
			restrictRoutes("y", "z")(c)
			c.Workspaces[0].AllowedRegions = residency.Of([]string{"y"})
		})
		Expect(serve(p.gateways["two"], call("once")).status).To(Equal(200))
		Expect(p.reached()).To(Equal(map[string]bool{"y": true}))
	})

	// Guards against stages that run although no engine may take the request.
	ginkgo.DescribeTable("is refused at once, as not executed, where nothing is left",
		func(change func(*catalog.Catalog)) {
			p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
			p.updateCatalog(change)
			for _, route := range []string{"once", "stream", "staged"} {
				c := call(route)
				c.Pieces = []int{2, 3, 1}
				out := serve(p.gateways["two"], c)
				Expect(out.refusal.Reason).To(Equal(RegionNotAllowed))
				Expect(out.refusal.Executed).To(BeFalse())
				Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
			}
			Expect(p.reached()).To(BeEmpty())
		},
		ginkgo.Entry("a region without a runner", restrictRoutes("x")),
		ginkgo.Entry("route and workspace without a common region", func(c *catalog.Catalog) {
			restrictRoutes("y")(c)
			c.Workspaces[0].AllowedRegions = residency.Of([]string{"z"})
		}),
	)

	// Guards against a request that was admitted before a change and is sent after it.
	ginkgo.It("is held to a change that comes while it waits", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		p.updateCatalog(restrictRoutes("y"))
		f := p.runners["two"]
		f.any = []reply{{lost: true, onSent: func() { p.updateCatalog(restrictRoutes("z")) }}, ok}
		out := serve(p.gateways["two"], call("again"))
		Expect(out.refusal).NotTo(BeNil())
		Expect(f.sends()).To(HaveLen(1))
	})

	// Guards against pieces whose pool the assembling VM chooses by its own view.
	ginkgo.It("has its pieces taken only for a pool that it allows", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		c := &piecesCall{Service: "encode", Zone: "z", Request: "a", Key: "k", Items: []int{0}, DueMS: 1000, LeftMS: 1000, AllowedRegions: []string{"y"}}
		results, err := p.gateways["two"].pieces.assemble(ginkgo.GinkgoT().Context(), c)
		Expect(err).NotTo(HaveOccurred())
		Expect(lacksRunner(results)).To(BeTrue())
		Expect(p.reached()).To(BeEmpty())
	})

	// Guards against a crest in which pieces spill over into a region that is not
	// allowed.
	ginkgo.It("has its pieces forwarded to no other region", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		p.updateCatalog(restrictRoutes("y"))
		release := make(chan struct{})
		p.runners["one"].release = release
		for i := range 30 {
			go p.gateways["one"].Serve(ginkgo.GinkgoT().Context(), stagedCallWithID(strings.Repeat("x", i+1)), &fakeResponder{})
		}
		Consistently(func() int { return p.calls("two", "encode") }).WithTimeout(time.Second).Should(BeZero())
		close(release)
	})
})
