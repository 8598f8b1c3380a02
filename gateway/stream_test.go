package gateway

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString("id: " + string(rune('0'+n)) + "\ndata: x\n\n")
	}
	return b.String()
}

// Guards against a stream that is held back to its end, and then taken for a broken one,
// because its lines end with CR LF.
var _ = ginkgo.Describe("a stream whose lines end with CR LF", func() {
	crlf := func(events string) string { return strings.ReplaceAll(events, "\n", "\r\n") }

	ginkgo.It("is passed on unchanged", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: crlf(events(1, 3))}}
		out := serve(g, call("stream"))
		Expect(out.aborted).To(BeFalse())
		Expect(out.body).To(Equal(crlf(events(1, 3))))
	})

	ginkgo.It("goes on at another runner behind its last whole event", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: crlf(events(1, 2)) + "id: 3\r\ndata: x\r\n", cut: true}, {status: 200, body: crlf(events(2, 4))}}
		out := serve(g, call("resume"))
		Expect(out.aborted).To(BeFalse())
		Expect(out.body).To(Equal(crlf(events(1, 4))))
		Expect(f.sends()[1].ResumeAfter).To(Equal("2"))
	})

	ginkgo.It("gives its events however it is cut into reads", func() {
		text := []byte(crlf(events(1, 2)) + events(3, 4))
		for step := 1; step <= len(text); step++ {
			s := eventSplitter{}
			var all []byte
			for at := 0; at < len(text); at += step {
				passed, _, err := s.push(text[at:min(at+step, len(text))])
				Expect(err).NotTo(HaveOccurred())
				all = append(all, passed...)
			}
			Expect(all).To(Equal(text), "steps of %d", step)
			Expect(s.checkEnd()).To(Succeed())
		}
	})
})

var _ = ginkgo.Describe("a stream", func() {
	ginkgo.It("is relayed completely with the runner's status", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 4)}}
		out := serve(g, call("stream"))
		Expect(out.body).To(Equal(events(1, 4)))
		Expect(out.aborted).To(BeFalse())
	})

	// Guards against a truncated answer that looks complete to the caller.
	ginkgo.DescribeTable("that breaks off is aborted without a partial event",
		func(r reply) {
			g, f := newTestGateway()
			f.any = []reply{r}
			out := serve(g, call("stream"))
			Expect(out.body).To(Equal(events(1, 2)))
			Expect(out.aborted).To(BeTrue())
			Expect(f.sends()).To(HaveLen(1))
		},
		ginkgo.Entry("by a connection error", reply{status: 200, body: events(1, 2) + "id: 3\nda", cut: true}),
		ginkgo.Entry("by a regular end inside an event", reply{status: 200, body: events(1, 2) + "id: 3\nda"}),
	)

	ginkgo.It("is resumed at another runner after its last event, where the route allows it", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 2) + "id: 3\nda", cut: true}, {status: 200, body: events(2, 4)}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 4)))
		Expect(out.aborted).To(BeFalse())
		Expect(f.sends()[1].ResumeAfter).To(Equal("2"))
		Expect(out.from).To(Equal(f.sends()[0].RunnerID), "the answer keeps the headers of its first runner")
	})

	// Guards against a resume that does not count toward the route's limit
	// because the runner was lost before it answered.
	ginkgo.It("is resumed at no more runners than its route allows", func() {
		for _, second := range []reply{{lost: true}, {status: 500}} {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 2), cut: true}, second, {status: 200, body: events(3, 4)}}
			out := serve(g, call("resume"))
			Expect(out.aborted).To(BeTrue())
			Expect(f.sends()).To(HaveLen(2))
		}
	})

	ginkgo.It("starts over at another runner when no event has arrived", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}, {status: 200, body: events(1, 2)}}
		out := serve(g, call("resume"))
		Expect(out.body).To(Equal(events(1, 2)))
		Expect(f.sends()[1].ResumeAfter).To(BeEmpty())
	})

	ginkgo.It("continues after the event that the caller names", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(2, 4)}}
		c := call("resume")
		c.ResumeAfter = "2"
		Expect(serve(g, c).body).To(Equal(events(3, 4)))
		Expect(f.sends()[0].ResumeAfter).To(Equal("2"))
	})
})

var _ = ginkgo.Describe("eventSplitter", func() {
	ginkgo.It("returns complete events, however the bytes are split", func() {
		whole := events(1, 5)
		for size := 1; size < len(whole); size++ {
			s := eventSplitter{}
			var got []byte
			for rest := whole; rest != ""; {
				n := min(size, len(rest))
				complete, progressed, err := s.push([]byte(rest[:n]))
				Expect(err).NotTo(HaveOccurred())
				Expect(progressed).To(Equal(len(complete) > 0))
				got = append(got, complete...)
				rest = rest[n:]
			}
			Expect(string(got)).To(Equal(whole))
			Expect(s.lastID).To(Equal("5"))
			Expect(s.hasPartial()).To(BeFalse())
		}
	})

	ginkgo.It("drops events that were already seen", func() {
		s := eventSplitter{}
		_, _, err := s.push([]byte(events(1, 3)))
		Expect(err).NotTo(HaveOccurred())
		fresh, _, err := s.push([]byte(events(2, 4)))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(fresh)).To(Equal(events(4, 4)))
	})
})
