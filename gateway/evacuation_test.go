package gateway

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/evacuation"
)

// order applies an order of an evacuation at both VMs.
func (p *gatewayPair) order(zone string, start bool) {
	for _, g := range p.gateways {
		next := *g.state.Load()
		next.Evacuations, _ = next.Evacuations.Apply(time.Now().UnixMilli(), &evacuation.Order{Zone: zone, Start: start, Revision: next.Evacuations.Revision(zone)})
		g.Update(&next)
	}
}

var _ = ginkgo.Describe("an evacuated data centre", func() {
	ok := reply{status: 200, body: events(1, 2)}

	// Guards against a way to a runner on which the evacuation is not asked for. The
	// VM is in the evacuated data centre z.
	ginkgo.DescribeTable("gets nothing more",
		func(route string, first reply) {
			p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
			p.order("z", true)
			p.runners["two"].any = []reply{first, ok}
			c := call(route)
			c.Pieces, c.PieceKey = []int{2, 3, 1}, "pk"
			Expect(serve(p.gateways["two"], c).status).To(Equal(200))
			Expect(p.reached()).To(Equal(map[string]bool{"y": true}))
		},
		ginkgo.Entry("a request that runs once", "once", ok),
		ginkgo.Entry("a repeat after a lost answer", "again", reply{lost: true}),
		ginkgo.Entry("a repeat after silence", "again", reply{hang: true}),
		ginkgo.Entry("a stream", "stream", ok),
		ginkgo.Entry("a stream that is resumed", "resume", reply{status: 200, body: events(1, 1), cut: true}),
		ginkgo.Entry("a stream with a standby", "resume", reply{status: 200, body: events(1, 1), silentUntil: make(chan struct{})}),
		ginkgo.Entry("a stream with stages", "staged", ok),
	)

	ginkgo.It("is used again after its end", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		p.order("z", true)
		p.order("z", false)
		Expect(serve(p.gateways["two"], call("once")).status).To(Equal(200))
		Expect(p.reached()).To(Equal(map[string]bool{"z": true}))
	})

	// Guards against an evacuation that cuts off what its runners work on.
	ginkgo.It("ends what it works on", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		goOn := make(chan struct{})
		p.runners["two"].any = []reply{{status: 200, body: events(1, 1), silentUntil: goOn, rest: events(2, 3)}}
		begun := make(chan *fakeResponder, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			begun <- serve(p.gateways["two"], call("stream"))
		}()
		Eventually(func() int { return len(p.runners["two"].sends()) }).Should(Equal(1))
		p.order("z", true)
		close(goOn)
		var out *fakeResponder
		Eventually(begun).WithTimeout(10 * time.Second).Should(Receive(&out))
		Expect(out.body).To(Equal(events(1, 3)))
		Expect(out.aborted).To(BeFalse())
	})

	// Guards against pieces that wait in the queue of an evacuated pool until they
	// are late.
	ginkgo.DescribeTable("has its waiting pieces run elsewhere",
		func(vm string) {
			p := newGatewayPair(map[string]string{"one": "z", "two": "z"})
			// All runners of y belong to no VM; z's work on calls that do not end.
			list := p.gateways["one"].state.Load().List.Runners
			for _, r := range testRunners() {
				r.ID, r.Addr, r.Zone = r.ID+"y", "y"+r.Addr, "y"
				list = append(list, r)
			}
			for _, g := range p.gateways {
				next := *g.state.Load()
				next.List = &directory.RunnerList{Seq: 2, Runners: list}
				g.Update(&next)
			}
			release := make(chan struct{})
			ginkgo.DeferCleanup(func() { close(release) })
			for _, f := range p.runners {
				f.pieces = func(c *batch.Call) batch.CallResult {
					if c.Runner[:1] == "z" {
						<-release
					}
					return resultsFor(c)
				}
			}
			answers := make(chan *fakeResponder, 20)
			for i := range 12 {
				go func() {
					defer ginkgo.GinkgoRecover()
					answers <- serve(p.gateways[vm], stagedCallWithID(fmt.Sprint(vm, i)))
				}()
			}
			Eventually(func() int { return p.calls("one", "encode") + p.calls("two", "encode") }).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 3))
			p.order("z", true)
			served := 0
			Eventually(func() int {
				select {
				case out := <-answers:
					if out.status == 200 {
						served++
					}
				default:
				}
				return served
			}).WithTimeout(10 * time.Second).WithPolling(time.Millisecond).Should(BeNumerically(">=", 5))
		},
		ginkgo.Entry("those of the assembling VM or of the other one", "one"),
		ginkgo.Entry("those of the other one or of the assembling VM", "two"),
	)

	// Guards against stages that run, and requests that wait, for a service that has
	// runners nowhere else.
	ginkgo.It("has requests refused at once that need it", func() {
		p := newGatewayPair(map[string]string{"one": "z", "two": "z"})
		p.order("z", true)
		for _, route := range []string{"once", "staged"} {
			c := call(route)
			c.Pieces = []int{2, 3, 1}
			out := serve(p.gateways["one"], c)
			Expect(out.refusal.Reason).To(Equal(ZoneEvacuated))
			Expect(out.refusal.Executed).To(BeFalse())
			Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(p.reached()).To(BeEmpty())
	})

	// Guards against the release of results as a call to evacuated runners.
	ginkgo.It("has no results freed", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		p.order("z", true)
		p.gateways["two"].freeAtRunner("zencode1:80", []string{"h"})
		Expect(p.reached()).To(BeEmpty())
	})
})
