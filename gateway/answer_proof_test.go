package gateway

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an answer that is not proved to be the runner's", func() {
	damaged := []ginkgo.TableEntry{
		ginkgo.Entry("an unsigned success", reply{status: 200, body: events(1, 2), unsigned: true}),
		ginkgo.Entry("an unsigned success without a body", reply{status: 200, unsigned: true}),
		ginkgo.Entry("an unsigned 204", reply{status: 204, unsigned: true}),
		ginkgo.Entry("an unsigned success that ends with its connection", reply{status: 200, unsigned: true, endsWithConnection: true}),
		ginkgo.Entry("an unsigned 302", reply{status: 302, unsigned: true}),
		ginkgo.Entry("an unsigned 404", reply{status: 404, body: "not found", unsigned: true}),
		ginkgo.Entry("a success in another encoding", reply{status: 200, body: events(1, 2), encoded: true}),
	}

	// Guards against a success that no runner has given: an empty or short body.
	ginkgo.DescribeTable("does not reach the caller of a request that may run once, if it is", func(r reply) {
		for _, route := range []string{"once", "stream"} {
			g, f := newTestGateway()
			f.any = []reply{r}
			out := serve(g, call(route))
			Expect(out.refusal).NotTo(BeNil(), route)
			Expect(*out.refusal).To(And(HaveField("Reason", AnswerLost), HaveField("Executed", true)))
			Expect(f.sends()).To(HaveLen(1))
		}
	}, damaged)

	ginkgo.DescribeTable("is passed by for that of another runner, if it is", func(r reply) {
		for _, route := range []string{"again", "resume"} {
			g, f := newTestGateway()
			f.any = []reply{r, {status: 200, body: events(1, 2)}}
			out := serve(g, call(route))
			Expect(out.refusal).To(BeNil(), route)
			Expect(out.body).To(Equal(events(1, 2)))
			Expect(f.sends()).To(HaveLen(2))
		}
	}, damaged)

	ginkgo.It("is passed on if it is a failure that promises nothing", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: http.StatusInternalServerError, body: "broken", unsigned: true}}
		Expect(serve(g, call("once")).body).To(Equal("broken"))
	})
})

var _ = ginkgo.Describe("a status that promises that a request has not run", func() {
	statuses := []ginkgo.TableEntry{
		ginkgo.Entry("408", 408), ginkgo.Entry("421", 421), ginkgo.Entry("429", 429), ginkgo.Entry("503", 503),
	}

	// Guards against a caller that sends a request again which may run once and has
	// run: its runner answered with such a status and did not declare anything.
	ginkgo.DescribeTable("is not passed on if the runner has not declared it", func(status int) {
		for _, route := range []string{"once", "again", "stream", "resume"} {
			g, f := newTestGateway()
			f.any = []reply{{status: status, body: "busy"}}
			out := serve(g, call(route))
			Expect(out.refusal).NotTo(BeNil(), route)
			Expect(*out.refusal).To(And(HaveField("Reason", AnswerLost), HaveField("Executed", true)))
		}
	}, statuses)

	ginkgo.DescribeTable("has another runner asked where the request may be repeated", func(status int) {
		for _, route := range []string{"again", "resume"} {
			g, f := newTestGateway()
			f.any = []reply{{status: status, body: "busy"}, {status: 200, body: events(1, 2)}}
			Expect(serve(g, call(route)).body).To(Equal(events(1, 2)), route)
		}
	}, statuses)
})

var _ = ginkgo.Describe("a stream without a length whose connection ends before its first event", func() {
	empty := reply{status: 200, endsWithConnection: true}

	// Guards against a runner that stops after its head, and a caller that gets an
	// empty stream as a complete one.
	ginkgo.It("is not complete", func() {
		for _, body := range []string{"", ": hello\n\n"} {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: body, endsWithConnection: true}}
			out := serve(g, call("stream"))
			Expect(out.refusal).NotTo(BeNil())
			Expect(out.refusal.Executed).To(BeTrue())
		}
	})

	ginkgo.It("is passed by for another runner's", func() {
		g, f := newTestGateway()
		f.any = []reply{empty, {status: 200, body: events(1, 2), endsWithConnection: true}}
		Expect(serve(g, call("resume")).body).To(Equal(events(1, 2)))
	})

	ginkgo.It("is complete if the caller has resumed it", func() {
		g, f := newTestGateway()
		f.any = []reply{empty}
		c := call("resume")
		c.ResumeAfter = "2"
		out := serve(g, c)
		Expect(out.refusal).To(BeNil())
		Expect(out.status).To(Equal(200))
	})
})
