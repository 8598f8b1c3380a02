package gateway

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a request whose caller leaves during its stages", func() {
	// Guards against an unknown delay that is remembered as a long one.
	ginkgo.It("does not make the VM refuse the next ones as late", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		f.release = make(chan struct{})
		ctx, leave := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(ctx, stagedCallWithID("left"), &fakeResponder{})
		}()
		Eventually(f.callCount).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		leave()
		Eventually(ended).WithTimeout(10 * time.Second).Should(BeClosed())
		close(f.release)
		Expect(serve(g, stagedCallWithID("next")).refusal).To(BeNil())
	})
})
