package gateway

import (
	"bytes"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/buffers"
)

// Guards against memory that is kept for requests that cannot be sent again, and
// against a body that was given back too early.
var _ = ginkgo.DescribeTable("the body of a request is kept exactly as long as it may be sent again", func(route string, replies ...reply) {
	g, f := newTestGateway()
	m := buffers.New(4 << 20)
	c := call(route)
	var err error
	c.Body, err = m.ReadBody(bytes.NewReader(make([]byte, 1<<20)), 1<<20, 1<<20, 0)
	Expect(err).NotTo(HaveOccurred())
	more := make(chan struct{})
	sends := 0
	for i := range replies {
		replies[i].onSent = func() {
			_, ok := c.Body.Hold()
			Expect(ok).To(BeTrue(), "there is a body to send")
			c.Body.Release()
			sends++
		}
	}
	replies[len(replies)-1].silentUntil = more
	f.any = replies
	out := make(chan *fakeResponder, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		out <- serve(g, c)
	}()
	Eventually(m.Used).WithTimeout(10 * time.Second).Should(BeZero())
	close(more)
	var answer *fakeResponder
	Eventually(out).WithTimeout(10 * time.Second).Should(Receive(&answer))
	Expect(answer.status).To(Equal(200))
	Expect(sends).To(Equal(len(replies)))
},
	ginkgo.Entry("a booking", "once", reply{status: 200, body: "ok"}),
	ginkgo.Entry("a booking that was refused before", "once", reply{status: 503, notExecuted: true}, reply{status: 200, body: "ok"}),
	ginkgo.Entry("the last runner of a request that may be repeated", "again", reply{status: 500}, reply{status: 200, body: "ok"}),
	ginkgo.Entry("a stream", "stream", reply{status: 200, body: events(1, 2)}),
	ginkgo.Entry("a stream that was resumed", "resume", reply{status: 200, body: events(1, 2), cut: true}, reply{status: 200, body: events(3, 4)}),
)
