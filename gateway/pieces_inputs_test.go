package gateway

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// freedOf counts the freed results of one stage of a request.
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
	// freedWithin serves a request whose second stage takes as long as limit,
	// or until its inputs are freed, and says whether they were.
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
			return madeBy(c)
		}
		f.mu.Unlock()
		c := call("staged")
		c.ID, c.Pieces, c.PieceKey, c.Patience = id, []int{2, 3, 0}, "pk", time.Minute
		serve(g, c)
		return <-freed
	}

	// While a stage call works, its inputs took up the memory that the stage
	// before it needed for its next call.
	ginkgo.It("are freed while its pieces are made, if their maker is short of memory", func() {
		g, f := newTestGateway()
		c := testCatalog()
		c.Version = 2
		c.Routes[4].Stages[0].ResultBytes = 100
		c.Routes[4].Timeout = time.Minute
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List})
		n := 0
		// A runner without an earlier call, or with a late one, keeps them.
		Eventually(func() bool {
			n++
			return freedWithin(g, f, "short"+string(rune('a'+n%26)), 4*nearHold)
		}).WithTimeout(20 * time.Second).Should(BeTrue())
	})

	ginkgo.It("are kept until its pieces are made while there is memory", func() {
		g, f := newTestGateway()
		for _, id := range []string{"a", "b", "c", "d"} {
			Expect(freedWithin(g, f, id, 2*nearHold)).To(BeFalse())
		}
	})
})

var _ = ginkgo.Describe("the use of inputs", func() {
	use := func() *inputUse {
		c := &piecesCall{Items: []int{0, 1}, Inputs: []string{"h1", "h2", "h3"}}
		for _, runner := range []string{"r1", "r1", "r2"} {
			c.addMaker(inputMaker{Service: "s", Runner: runner, Assembler: "vm"})
		}
		u := newInputUse(c)
		return &u
	}

	ginkgo.It("begins with the last piece that is sent, and anew when one comes back", func() {
		u := use()
		Expect(u.send(0)).To(BeFalse())
		Expect(u.send(1)).To(BeTrue())
		u.comeBack(0)
		Expect(u.round).To(Equal(1))
		Expect(u.send(0)).To(BeTrue())
		Expect(u.keep).To(BeFalse())
	})

	ginkgo.It("keeps them when a piece is in two calls", func() {
		u := use()
		u.send(0)
		u.send(0)
		Expect(u.keep).To(BeTrue())
	})

	ginkgo.It("names each maker's results", func() {
		calls := use().freeCalls()
		Expect(calls).To(HaveLen(2))
		Expect(calls[0].Runner).To(Equal("r1"))
		Expect(calls[0].Handles).To(Equal([]string{"h1", "h2"}))
		Expect(calls[1].Runner).To(Equal("r2"))
		Expect(calls[1].Handles).To(Equal([]string{"h3"}))
		Expect(calls[1].Fetched).To(BeTrue())
	})

	// A piece that failed finds inputs gone that were freed in time; holding all
	// others longer would take their makers' memory for nothing.
	ginkgo.It("learns from pieces that did not come back only", func() {
		g, _ := newTestGateway()
		gone := batch.Result{Reason: batch.InputGone}
		w := &pieceWaiter{left: 2, inputs: *use()}
		w.inputs.fetched = true
		w.inputs.comeBack(0)
		w.inputs.sent[0] = true
		w.inputs.round = 1
		g.pieces.noteInputs("s", w, gone)
		Expect(g.holds.growth).To(BeEmpty())
		w.inputs.round = 0
		g.pieces.noteInputs("s", w, gone)
		g.pieces.noteInputs("s", w, gone)
		Expect(g.holds.growth["s"]).To(Equal(holdGrowth))
	})
})
