package gateway

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
)

var _ = ginkgo.Describe("a VM whose time to stop is nearly over", func() {
	expectRefused := func(f *fakeRunners, out *fakeResponder) {
		ginkgo.GinkgoHelper()
		Expect(out.refusal).NotTo(BeNil())
		Expect(out.refusal.Reason).To(Equal(Stopping))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(f.sends()).To(BeEmpty())
	}

	// Guards against requests that get neither an answer nor a refusal because they
	// wait for their stages until the process ends.
	ginkgo.It("refuses requests that wait for their stages", func() {
		g, f := newTestGateway()
		f.release = make(chan struct{})
		ginkgo.DeferCleanup(func() { close(f.release) })
		answered := make(chan *fakeResponder)
		go func() {
			defer ginkgo.GinkgoRecover()
			answered <- serve(g, stagedCallWithID("a"))
		}()
		Eventually(f.callCount).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		g.RefuseUnsent()
		var out *fakeResponder
		Eventually(answered).WithTimeout(2 * time.Second).Should(Receive(&out))
		expectRefused(f, out)
	})

	ginkgo.It("refuses requests whose stages have just ended, and frees their results", func() {
		g, f := newTestGateway()
		f.pieces = func(c *batch.Call) batch.CallResult {
			defer g.RefuseUnsent()
			return resultsFor(c)
		}
		expectRefused(f, serve(g, stagedCallWithID("a")))
		Eventually(func() bool { return f.freedCount() > 0 }).WithTimeout(10 * time.Second).Should(BeTrue())
	})

	ginkgo.It("goes on with requests that runners have, and with those without stages", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1), onSent: g.RefuseUnsent}}
		Expect(serve(g, stagedCallWithID("a")).status).To(Equal(200))
		Expect(serve(g, call("stream")).status).To(Equal(200))
	})
})
