package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// Guards against a number of pieces that ends this VM for memory. Callers choose it.
var _ = ginkgo.Describe("a request that names very many pieces", func() {
	var g *Gateway
	var f *fakeRunners
	withPieceTime := func(d time.Duration) {
		c := testCatalog()
		c.Version = 2
		for i := range c.Services {
			if s := c.Services[i].StageRunner; s != nil {
				s.PieceTime = d
			}
		}
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List, Entries: g.state.Load().Entries})
	}
	refusalOf := func(pieces ...int) Refusal {
		c := call("staged")
		c.Pieces = pieces
		out := serve(g, c)
		Expect(out.refusal).NotTo(BeNil())
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(f.calls).To(BeEmpty())
		return *out.refusal
	}
	ginkgo.BeforeEach(func() {
		g, f = newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
	})

	ginkgo.It("is late although the time of its pieces wraps around", func() {
		// 16 times 2^60 ns are 0 in 64 bits.
		withPieceTime(1 << 60)
		Expect(refusalOf(16).Reason).To(Equal(StagesLate))
	})

	ginkgo.It("is late although the times of its stages wrap around together", func() {
		withPieceTime(1 << 59)
		Expect(refusalOf(15, 15, 2).Reason).To(Equal(StagesLate))
	})

	ginkgo.It("is refused for good although its pieces take no time", func() {
		withPieceTime(0)
		for _, pieces := range [][]int{{maxPieces + 1}, {0, maxPieces, 1}, {1 << 40, 1 << 40}} {
			refusal := refusalOf(pieces...)
			Expect(refusal.Reason).To(Equal(TooManyPieces))
			Expect(refusal.RetryAfter).To(BeZero())
		}
	})

	ginkgo.It("is refused if they find no room, and gives that back", func() {
		withPieceTime(0)
		g.opts.Memory = buffers.New(1 << 20)
		Expect(g.opts.Memory.Reserve(buffers.Request, 256<<10)).To(Succeed())
		refusal := refusalOf(2000)
		Expect(refusal.Reason).To(Equal(NoMemory))
		Expect(refusal.RetryAfter).NotTo(BeZero())
		few := call("staged")
		few.Pieces = []int{freePieces + 1, -1, 0}
		Expect(serve(g, few).body).To(Equal(events(1, 1)))
		Eventually(g.opts.Memory.Used).Should(BeEquivalentTo(256 << 10))
	})

	ginkgo.It("may name a negative number of them for a stage, which counts as none", func() {
		Expect(serve(g, func() *Call { c := call("staged"); c.Pieces = []int{2, -1 << 62, 1}; return c }()).body).To(Equal(events(1, 1)))
	})
})
