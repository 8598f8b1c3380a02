package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/placement"
)

var _ = ginkgo.Describe("the inputs of a request", func() {
	stagedCall := func() *Call {
		c := call("staged")
		c.Pieces, c.PieceKey = []int{2, 3, 1}, "pk"
		return c
	}

	// Guards against results that occupy a stage runner's memory, which limits
	// its throughput, while the engine processes the prompt.
	ginkgo.It("are freed while the runner still processes the request", func() {
		g, f := newTestGateway()
		f.any = []reply{{hang: true}}
		c := stagedCall()
		c.Timeout = time.Minute
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			serve(g, c)
		}()
		// The 4 final results are freed early, after the 2 results of the first
		// stage.
		Eventually(f.freedCount).WithTimeout(10 * time.Second).Should(Equal(6))
		Expect(ended).NotTo(BeClosed())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("are recomputed when the runner finds them gone, and kept longer afterwards", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 409, notExecuted: true, after: 10 * sameRegionHold}, {status: 200, body: events(1, 1)}}
		service := g.Table().Route("h", "/staged/x").Pick(0)
		before := g.holds.duration(service, placement.SameZone)
		out := serve(g, stagedCall())
		Expect(out.body).To(Equal(events(1, 1)))
		sent := f.sends()
		Expect(sent).To(HaveLen(2))
		for _, input := range sent[1].Inputs {
			Expect(sent[0].Inputs).NotTo(ContainElement(input))
		}
		Expect(g.holds.duration(service, placement.SameZone)).To(BeNumerically(">", before))
	})

	ginkgo.It("are recomputed for another runner if they were freed", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 503, notExecuted: true, after: 10 * sameRegionHold}, {status: 200, body: events(1, 1)}}
		Expect(serve(g, stagedCall()).body).To(Equal(events(1, 1)))
		sent := f.sends()
		for _, input := range sent[1].Inputs {
			Expect(sent[0].Inputs).NotTo(ContainElement(input))
		}
	})

	ginkgo.It("are reused for another runner if they were not freed", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 503, notExecuted: true}, {status: 200, body: events(1, 1)}}
		Expect(serve(g, stagedCall()).body).To(Equal(events(1, 1)))
		sent := f.sends()
		Expect(sent[1].Inputs).To(Equal(sent[0].Inputs))
	})

	// Guards against freeing inputs that a queued request still needs: a runner
	// fetches them when it dequeues the request.
	ginkgo.It("are kept until the first event when requests wait at the runner", func() {
		g, _ := newTestGateway()
		r := &request{g: g, table: g.Table(), call: stagedCall()}
		r.route = r.table.Route("h", "/staged/x")
		r.service = r.table.Service(r.route.Pick(0))
		r.stages = newStageRun(r.route)
		now := time.Now()
		runner := &placement.RunnerState{Load: placement.Load{Running: 4, Waiting: 1, Slots: 4, At: now}}
		Expect(r.prepareInputRelease(runner, now)).To(BeNil())
		runner.Load.Waiting = 0
		Expect(r.prepareInputRelease(runner, now)).NotTo(BeNil())
	})
})

var _ = ginkgo.Describe("the hold time of inputs", func() {
	ginkgo.It("is longer for another region, grows when it was too short and shrinks slowly", func() {
		h := newInputHoldTimes()
		least := h.duration("s", placement.SameZone)
		Expect(h.duration("s", placement.OtherRegion)).To(BeNumerically(">", least))
		h.recordTooShort("s")
		Expect(h.duration("s", placement.SameZone)).To(Equal(3 * least / 2))
		Expect(h.duration("t", placement.SameZone)).To(Equal(least))
		h.recordSufficient("s")
		Expect(h.duration("s", placement.SameZone)).To(And(BeNumerically(">", 4*least/3), BeNumerically("<", 3*least/2)))
		for range 1000 {
			h.recordSufficient("s")
		}
		Expect(h.duration("s", placement.SameZone)).To(Equal(least))
	})
})
