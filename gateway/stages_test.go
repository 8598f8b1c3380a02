package gateway

import (
	"fmt"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("stages", func() {
	stagedCall := func() *Call {
		c := call("staged")
		c.Pieces, c.PieceKey = []int{2, 3, 1}, "pk"
		return c
	}

	ginkgo.It("receive the key or the results of their predecessors, and the engine receives all final results", func() {
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

	// The results of the first run were freed at the first event.
	ginkgo.It("run again when a stream is resumed at another runner", func() {
		g, f := newTestGateway()
		c := testCatalog()
		c.Version = 2
		c.Routes[4].RetryPolicy = catalog.RetryFromEvent
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

	ginkgo.It("that fail when run again do not report the request as not executed", func() {
		g, f := newTestGateway()
		c := testCatalog()
		c.Version = 2
		c.Routes[4].RetryPolicy = catalog.RetryFromEvent
		g.Update(&directory.State{Table: catalog.NewTable(c), List: g.state.Load().List})
		f.any = []reply{{lost: true}, {status: 409, notExecuted: true}}
		f.pieces = failAfter(3)
		out := serve(g, stagedCall())
		Expect(out.refusal.Executed).To(BeTrue())
	})

	ginkgo.It("without pieces are skipped", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		c := stagedCall()
		c.Pieces = []int{0, 0, 1}
		serve(g, c)
		Expect(f.sends()[0].Inputs).To(HaveLen(1))
	})

	ginkgo.It("that fail cause a refusal as not executed", func() {
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

	// Guards against queues that hold requests which will be late anyway: under
	// peak load they delay all later requests too.
	ginkgo.It("that are predicted to be late cause an immediate refusal of a first attempt, but not of a retry", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		serve(g, stagedCall())
		g.pieces.peers.record(peerKey{poolKey{"encode", "z"}, "self"}, 3*time.Second)
		out := serve(g, stagedCall())
		Expect(out.refusal.Reason).To(Equal(StagesLate))
		Expect(out.refusal.RetryAfter).To(BeNumerically(">=", minPredictedRetry))
		Expect(f.sends()).To(HaveLen(1))
		g.pieces.peers.record(peerKey{poolKey{"encode", "z"}, "self"}, 1500*time.Millisecond)
		back := stagedCall()
		back.Timeout = 4 * time.Second
		Expect(serve(g, back).body).To(Equal(events(1, 1)))
	})

	ginkgo.It("of shorter branches start together with the last stage of the longest chain", func() {
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

	ginkgo.It("of shorter branches wait while the longest chain has more work left", func() {
		g, _ := newTestGateway()
		r := &request{g: g, table: g.Table(), call: stagedCall()}
		r.call.Pieces[1] = 30
		r.route = r.table.Route("h", "/staged/x")
		Expect(r.startsTooEarly(0, []bool{false, false, false})).To(BeFalse())
		Expect(r.startsTooEarly(2, []bool{true, false, false})).To(BeTrue())
		Expect(r.startsTooEarly(2, []bool{true, true, false})).To(BeFalse(), "starts with the last stage of the longest chain, however long that stage is")
	})
})

// failAfter returns a handler that lets the given number of stage calls succeed
// and all later ones fail.
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
