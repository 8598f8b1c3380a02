package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// freedOf returns the number of freed results of one stage of a request.
func (f *fakeRunners) freedOf(id string, stage string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.freed {
		if strings.Contains(h, "/"+id+"-"+stage+"-") {
			n++
		}
	}
	return n
}

var _ = ginkgo.Describe("the inputs of a stage", func() {
	// freedWithin serves a request whose second stage lasts until its inputs are
	// freed, but at most limit. It reports whether they were freed.
	freedWithin := func(g *Gateway, f *fakeRunners, id string, limit time.Duration) bool {
		freed := make(chan bool, 1)
		f.mu.Lock()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		f.pieces = func(c *batch.Call) batch.CallResult {
			if c.Items[0].Stage == 1 && c.Items[0].Request == id {
				for end := time.Now().Add(limit); time.Now().Before(end) && f.freedOf(id, "0") < 2; {
					time.Sleep(time.Millisecond)
				}
				freed <- f.freedOf(id, "0") == 2
			}
			return resultsFor(c)
		}
		f.mu.Unlock()
		c := call("staged")
		c.ID, c.Pieces, c.PieceKey, c.Timeout = id, []int{2, 3, 0}, "pk", time.Minute
		serve(g, c)
		return <-freed
	}

	// Guards against inputs that occupy memory during a stage call, although the
	// preceding stage needs it for its next call.
	ginkgo.It("are freed while its pieces run, if their producer is short of memory", func() {
		g, f := newTestGateway()
		c := testCatalog()
		c.Version = 2
		c.Routes[4].Stages[0].ResultBytes = 100
		c.Routes[4].Timeout = time.Minute
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List})
		n := 0
		// The inputs are kept while the runner has no earlier call or a late one.
		Eventually(func() bool {
			n++
			return freedWithin(g, f, "short"+string(rune('a'+n%26)), 4*sameRegionHold)
		}).WithTimeout(20 * time.Second).Should(BeTrue())
	})

	ginkgo.It("are kept until its pieces are done while there is enough memory", func() {
		g, f := newTestGateway()
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(freedWithin(g, f, id, 2*sameRegionHold)).To(BeFalse())
		}
	})
})

var _ = ginkgo.Describe("inputUse", func() {
	use := func() *inputUse {
		c := &piecesCall{Items: []int{0, 1}, Inputs: []string{"h1", "h2", "h3"}}
		for _, runner := range []string{"r1", "r1", "r2"} {
			c.addProducer(inputProducer{Service: "s", Runner: runner, Assembler: "vm"})
		}
		u := newInputUse(c)
		return &u
	}

	ginkgo.It("reports when the last piece is sent, and again after a piece was returned", func() {
		u := use()
		Expect(u.markSent(0)).To(BeFalse())
		Expect(u.markSent(1)).To(BeTrue())
		u.markReturned(0)
		Expect(u.returned).To(Equal(1))
		Expect(u.markSent(0)).To(BeTrue())
		Expect(u.keep).To(BeFalse())
	})

	ginkgo.It("keeps the inputs when a piece is in two calls", func() {
		u := use()
		u.markSent(0)
		u.markSent(0)
		Expect(u.keep).To(BeTrue())
	})

	ginkgo.It("groups the inputs by producer", func() {
		calls := use().freeCalls()
		Expect(calls).To(HaveLen(2))
		Expect(calls[0].Runner).To(Equal("r1"))
		Expect(calls[0].Handles).To(Equal([]string{"h1", "h2"}))
		Expect(calls[1].Runner).To(Equal("r2"))
		Expect(calls[1].Handles).To(Equal([]string{"h3"}))
		Expect(calls[1].Fetched).To(BeTrue())
	})

	// Guards against a longer hold for all requests after a piece that failed and
	// was sent again found its inputs freed, although they were freed in time.
	ginkgo.It("learns only from pieces that were not returned", func() {
		g, _ := newTestGateway()
		owner := newPieceOwner(context.Background(), g.pieces)
		gone := batch.Result{Reason: batch.InputGone}
		w := &pieceWaiter{pending: 2, inputs: *use()}
		w.inputs.fetched = true
		w.inputs.markReturned(0)
		w.inputs.sent[0] = true
		w.inputs.returned = 1
		owner.recordInputResult("s", w, gone)
		Expect(g.holds.factor).To(BeEmpty())
		w.inputs.returned = 0
		owner.recordInputResult("s", w, gone)
		owner.recordInputResult("s", w, gone)
		Expect(g.holds.factor["s"]).To(Equal(holdGrowth))
	})
})
