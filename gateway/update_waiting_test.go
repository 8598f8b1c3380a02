package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
)

// Guards against requests that get neither an answer nor a refusal because a
// change drops their route, service, key and runners while they wait.
var _ = ginkgo.Describe("a request that waits while a change drops all that it needs", func() {
	dropAll := func(g *Gateway) {
		g.Update(&directory.State{
			Table:   catalog.NewTable(&catalog.Catalog{Version: 2}),
			List:    &directory.RunnerList{Seq: 2},
			Entries: []directory.EntryVM{{Addr: "self", Zone: "z"}},
		})
	}
	callOn := func(route string) *Call {
		if route == "staged" {
			return stagedCallWithID("a")
		}
		return call(route)
	}
	expectRefusal := func(out *fakeResponder, reason Reason, executed bool) {
		ginkgo.GinkgoHelper()
		Expect(out.aborted).To(BeFalse())
		Expect(out.refusal).NotTo(BeNil())
		Expect(out.refusal.Reason).To(Equal(reason))
		Expect(out.refusal.Executed).To(Equal(executed))
	}

	ginkgo.It("is refused as not executed if it waited for the first configuration", func() {
		g, _ := newUnconfiguredGateway()
		time.AfterFunc(10*time.Millisecond, func() { dropAll(g) })
		expectRefusal(serve(g, call("once")), NoRoute, false)
	})

	ginkgo.It("is answered or refused as not executed if it waited for its stages", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 2)}}
		f.pieces = func(c *batch.Call) batch.CallResult {
			dropAll(g)
			return resultsFor(c)
		}
		out := serve(g, stagedCallWithID("a"))
		Expect(out.aborted).To(BeFalse())
		if out.refusal != nil {
			Expect(out.refusal.Executed).To(BeFalse())
		}
	})

	for _, route := range []string{"once", "again", "stream", "resume", "staged"} {
		ginkgo.It("gets the whole answer of its runner on the route "+route, func() {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 3), onSent: func() { dropAll(g) }}}
			out := serve(g, callOn(route))
			Expect(out.aborted).To(BeFalse())
			Expect(out.status).To(Equal(200))
			Expect(out.body).To(Equal(events(1, 3)))
		})

		ginkgo.It("is refused as not executed after its runner's refusal on the route "+route, func() {
			g, f := newTestGateway()
			f.any = []reply{{status: 503, notExecuted: true, onSent: func() { dropAll(g) }}}
			expectRefusal(serve(g, callOn(route)), RunnersFull, false)
		})

		ginkgo.It("is refused as possibly executed after the loss of its answer on the route "+route, func() {
			g, f := newTestGateway()
			f.any = []reply{{lost: true, onSent: func() { dropAll(g) }}}
			expectRefusal(serve(g, callOn(route)), AnswerLost, true)
		})
	}

	ginkgo.It("is refused as not executed if its stages have to run again", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 409, notExecuted: true, onSent: func() { dropAll(g) }}}
		out := serve(g, stagedCallWithID("a"))
		Expect(out.aborted).To(BeFalse())
		Expect(out.refusal).NotTo(BeNil())
		Expect(out.refusal.Executed).To(BeFalse())
	})
})
