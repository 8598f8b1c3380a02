package gateway

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
)

// A stream has begun and broken off. Whatever answers its resume must show that it
// is the same stream.
var _ = ginkgo.Describe("the answer to a resume", func() {
	broken := reply{status: 200, body: events(1, 2), cut: true}
	head := "HTTP/1.1 503 Service Unavailable\r\nX-Failed: 1\r\n\r\n"
	const oneEvent = "id: 3\ndata: x\n\n"

	notTheStream := []ginkgo.TableEntry{
		ginkgo.Entry("a failure", reply{status: 500, body: "broken"}),
		ginkgo.Entry("an answer without a body", reply{status: 200}),
		ginkgo.Entry("an answer of another status", reply{status: 204}),
		ginkgo.Entry("part of a body", reply{status: 206, body: events(3, 4)}),
		ginkgo.Entry("comments only", reply{status: 200, body: ": still here\n\n"}),
		ginkgo.Entry("text", reply{status: 200, body: "internal error\n\n"}),
		ginkgo.Entry("text without an end", reply{status: 200, body: "internal error"}),
		ginkgo.Entry("events that no runner has signed", reply{status: 200, body: events(3, 4), unsigned: true}),
		ginkgo.Entry("events without numbers", reply{status: 200, body: "data: x\n\ndata: y\n\n"}),
		ginkgo.Entry("a response head", reply{status: 200, body: head + oneEvent}),
		ginkgo.Entry("a response head with other line ends", reply{status: 200, body: "HTTP/1.1 500 Internal Server Error\nX-Error: 1\n\n" + oneEvent}),
		ginkgo.Entry("text inside an event", reply{status: 200, body: "internal error\n" + oneEvent}),
	}

	// Guards against an error's text, or its whole head, in the middle of a stream,
	// and against a stream that ends as if it were complete.
	ginkgo.DescribeTable("does not get into the stream if it is", func(second reply) {
		g, f := newTestGateway()
		f.any = []reply{broken, second}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 2)))
		Expect(out.aborted).To(BeTrue())
	}, notTheStream)

	ginkgo.DescribeTable("is passed by for that of a third runner if it is", func(second reply) {
		g, f := newSilenceGateway(func(c *catalog.Catalog) {
			for i := range c.Routes {
				c.Routes[i].MaxRunners = 3
			}
		})
		f.any = []reply{broken, second, {status: 200, body: events(3, 4)}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 4)))
		Expect(out.aborted).To(BeFalse())
		Expect(f.sends()[2].ResumeAfter).To(Equal("2"))
	}, notTheStream)

	ginkgo.It("may repeat events, have comments between them and other fields", func() {
		g, f := newTestGateway()
		f.any = []reply{broken, {status: 200, body: events(1, 2) + ": still here\n\nx-weight-versions: 5\nevent: token\nid: 3\ndata: HTTP/1.1 200 OK\n\n"}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 2) + ": still here\n\nx-weight-versions: 5\nevent: token\nid: 3\ndata: HTTP/1.1 200 OK\n\n"))
		Expect(out.aborted).To(BeFalse())
	})

	// Guards against a stream that starts over in the middle of the answer.
	ginkgo.It("is not asked for if the events before have no numbers", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: "data: x\n\n", cut: true}, {status: 200, body: "data: x\n\ndata: y\n\n"}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal("data: x\n\n"))
		Expect(out.aborted).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
	})
})
