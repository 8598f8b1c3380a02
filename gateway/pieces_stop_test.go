package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an entry VM that stops while it assembles stage calls for others", func() {
	leftRotation := func(left time.Duration) StopPlan {
		return StopPlan{LeftRotation: time.Now().Add(-time.Second), End: time.Now().Add(left)}
	}
	handedBack := func(g *Gateway) func() bool {
		return func() bool {
			var text bytes.Buffer
			g.WriteMetrics(&text)
			return strings.Contains(text.String(), `damask_gateway_stop_requests_total{outcome="handed_back"}`)
		}
	}

	// Guards against stage calls that wait for a VM until it has ended.
	ginkgo.DescribeTable("hands them back, and the other VM assembles them",
		func(alreadyWaiting bool) {
			p := newGatewayPair(map[string]string{"one": "z", "two": "z"})
			assembler := p.gateways["one"].pieces.assemblerVM(poolKey{"encode", "z"})
			other := map[string]string{"one": "two", "two": "one"}[assembler]
			g := p.gateways[assembler]
			plan := leftRotation(3 * time.Second)
			if alreadyWaiting {
				plan = leftRotation(time.Hour)
				release := make(chan struct{})
				p.runners[assembler].release = release
				ginkgo.DeferCleanup(func() { close(release) })
			}
			g.Stop(plan)
			answered := make(chan *fakeResponder)
			go func() {
				defer ginkgo.GinkgoRecover()
				answered <- serve(p.gateways[other], stagedCallWithID("a"))
			}()
			if alreadyWaiting {
				Eventually(func() int { return p.calls(assembler, "encode") }).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
				g.checkStop(plan.End.Add(-refusalMargin))
			}
			var out *fakeResponder
			Eventually(answered).WithTimeout(10 * time.Second).Should(Receive(&out))
			Expect(out.status).To(Equal(200))
			Expect(handedBack(g)()).To(BeTrue())
			Expect(p.calls(other, "encode")).To(BeNumerically(">", 0))
		},
		ginkgo.Entry("calls that wait when its time is over", true),
		ginkgo.Entry("new calls that may not end in time", false),
	)

	// Guards against requests that fail because another zone's VM stops.
	ginkgo.It("hands back calls of another zone, which that zone runs itself", func() {
		p := newGatewayPair(map[string]string{"one": "y", "two": "z"})
		release := make(chan struct{})
		p.runners["one"].release = release
		two := p.gateways["two"]
		two.Stop(leftRotation(3 * time.Second))
		answers := make(chan *fakeResponder, 1000)
		sent := 0
		begin := func() {
			c := stagedCallWithID(fmt.Sprint("a", sent))
			sent++
			go func() {
				defer ginkgo.GinkgoRecover()
				answers <- serve(p.gateways["one"], c)
			}()
		}
		for range 6 {
			begin()
		}
		Eventually(func() bool {
			begin()
			return handedBack(two)()
		}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(BeTrue())
		close(release)
		for range sent {
			var out *fakeResponder
			Eventually(answers).WithTimeout(20 * time.Second).Should(Receive(&out))
			if out.refusal != nil {
				Expect(out.refusal.Reason).NotTo(Equal(StagesFailed), out.refusal.Detail)
			}
		}
	})
})
