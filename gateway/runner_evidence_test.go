package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
)

// The rows of the table in docs/design/runner-processes.md.
var _ = ginkgo.Describe("what an attempt shows of a prompt's part", func() {
	part := quarantine.PartOf("part")
	prompt := placement.Prompt{Parts: []placement.Part{{ID: "part", Tokens: 10}, {ID: "own", Tokens: 10}}, Tokens: 20}
	type shown struct{ lost, answered bool }
	neither, lost, answered := shown{}, shown{lost: true}, shown{answered: true}
	shows := func(g *Gateway) shown {
		report := g.CrashReport(time.Now(), quarantine.Known{part: {}})
		return shown{lost: len(report.Crashes) > 0, answered: len(report.Answered) > 0}
	}
	// play serves one request on a route to one runner and returns what it has shown.
	play := func(g *Gateway, f *fakeRunners, route string, r reply) shown {
		f.any = []reply{r}
		c := call(route)
		c.Prompt = prompt
		serve(g, c)
		return shows(g)
	}
	withoutMemory := func(g *Gateway) { g.opts.Memory = buffers.New(0) }

	ginkgo.DescribeTable("at the end of a stream",
		func(r reply, want shown) {
			g, f := newTestGateway()
			Expect(play(g, f, "stream", r)).To(Equal(want))
		},
		ginkgo.Entry("refused connection", reply{notSent: true}, neither),
		ginkgo.Entry("no head", reply{lost: true}, lost),
		ginkgo.Entry("cut before the first event", reply{status: 200, cut: true}, lost),
		ginkgo.Entry("cut after an event", reply{status: 200, body: events(1, 2), cut: true}, lost),
		ginkgo.Entry("cut inside an event", reply{status: 200, body: events(1, 2) + "data: ", cut: true}, lost),
		ginkgo.Entry("orderly end inside an event", reply{status: 200, body: events(1, 2) + "data: "}, lost),
		ginkgo.Entry("own end", reply{status: 200, body: events(1, 2)}, answered),
		ginkgo.Entry("own end without an event", reply{status: 200}, answered),
		ginkgo.Entry("end of the connection after an event", reply{status: 200, body: events(1, 2), endsWithConnection: true}, neither),
		ginkgo.Entry("end of the connection before the first event", reply{status: 200, endsWithConnection: true}, lost),
		ginkgo.Entry("error status", reply{status: 500, body: events(1, 2)}, neither),
		ginkgo.Entry("client error", reply{status: 400, body: events(1, 2)}, neither),
		ginkgo.Entry("not executed", reply{status: 503, notExecuted: true}, neither),
		ginkgo.Entry("misdirected", reply{status: 421, misdirected: true, notExecuted: true}, neither),
		ginkgo.Entry("unsigned", reply{status: 200, body: events(1, 2), unsigned: true}, neither),
		ginkgo.Entry("event too large", reply{status: 200, body: events(1, 2) + "data: " + strings.Repeat("x", 2*maxEventBytes)}, neither),
	)

	// Guards against sound parts that never count as answered because their short streams
	// have neither a length nor chunks (review/12).
	ginkgo.DescribeTable("at the end of a stream that only its connection ends, once the list shows that the runner goes on",
		func(body string, want shown) {
			g, f := newTestGateway()
			list := func(started int64, asOf time.Time) {
				g.Update(&directory.State{
					Table: g.Table(), Entries: g.state.Load().Entries, ListsAsOf: map[string]time.Time{"z": asOf},
					List: &directory.RunnerList{Seq: 2, Runners: []directory.Runner{{ID: "engines1", Service: "engines", Addr: "engines1:80", Zone: "z", StartedUnixMS: started}}},
				})
			}
			list(1, time.Now())
			Expect(play(g, f, "stream", reply{status: 200, body: body, endsWithConnection: true})).To(Equal(shown{lost: want.lost}))
			if !want.lost {
				f.any = []reply{{status: 400}}
				Expect(serve(g, call("stream")).status).To(Equal(400))
			}
			list(1, time.Now())
			Expect(shows(g)).To(Equal(want))
		},
		ginkgo.Entry("outside an event", events(1, 2), answered),
		ginkgo.Entry("inside an event", events(1, 2)+"data: ", lost),
		ginkgo.Entry("before the first event", ": comment\n\n", lost),
	)

	ginkgo.DescribeTable("if a stream goes on for a while and then breaks",
		func(status int, want shown) {
			g, f := newTestGateway()
			goesOn := closedAfter(soundAnswerTime + 100*time.Millisecond)
			Expect(play(g, f, "stream", reply{status: status, body: events(1, 2), silentUntil: goesOn, rest: events(3, 4) + "data: "})).To(Equal(want))
		},
		ginkgo.Entry("success", http.StatusOK, answered),
		ginkgo.Entry("error, which is not passed on as a stream", http.StatusInternalServerError, neither),
	)

	ginkgo.DescribeTable("at the end of a buffered answer",
		func(r reply, want shown) {
			g, f := newTestGateway()
			Expect(play(g, f, "once", r)).To(Equal(want))
		},
		ginkgo.Entry("no head", reply{lost: true}, lost),
		ginkgo.Entry("cut", reply{status: 200, body: "half", cut: true}, lost),
		ginkgo.Entry("own end", reply{status: 200, body: "whole"}, answered),
		ginkgo.Entry("error status", reply{status: 500, body: "whole"}, neither),
		ginkgo.Entry("answer too large", reply{status: 200, body: "x", endless: &repeating{text: strings.Repeat("x", 1<<16)}}, neither),
	)

	// Guards against sound parts that are quarantined because this VM had no memory for
	// answers, or stopped.
	ginkgo.DescribeTable("if this VM has ended the attempt",
		func(route string, r reply) {
			g, f := newTestGateway()
			withoutMemory(g)
			g.answers.memory = g.opts.Memory
			Expect(play(g, f, route, r)).To(Equal(neither))
			Expect(f.sends()).NotTo(BeEmpty())
		},
		ginkgo.Entry("no memory for the head", "stream", reply{status: 200, body: events(1, 2), header: http.Header{"X-Large": {strings.Repeat("x", 2*freeHeadBytes)}}}),
		ginkgo.Entry("no memory for events", "stream", reply{status: 200, body: events(1, 2) + "data: " + strings.Repeat("x", 2*freeEventBytes)}),
		ginkgo.Entry("no memory for the answer", "once", reply{status: 200, body: strings.Repeat("x", 2*freeAnswerBytes)}),
	)

	// Guards against a runner that goes on, with a wrong answer, and counts as crashed.
	ginkgo.DescribeTable("if the answer to a resume is not the stream",
		func(second reply) {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 2), cut: true}, second}
			c := call("resume")
			c.Prompt = prompt
			Expect(serve(g, c).aborted).To(BeTrue())
			Expect(f.sends()).To(HaveLen(2))
			Expect(g.CrashReport(time.Now(), nil).Crashes).To(HaveLen(1), "the first runner's")
		},
		ginkgo.Entry("something else", reply{status: 200, body: "data: other\n\n"}),
		ginkgo.Entry("no event", reply{status: 200, body: ": nothing\n\n"}),
	)

	ginkgo.It("if the VM stops before the first event", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, silentUntil: closedAfter(300 * time.Millisecond), rest: events(1, 2)}}
		time.AfterFunc(100*time.Millisecond, func() {
			g.Stop(NewStopPlan(time.Now(), 0, exitMargin))
		})
		c := call("stream")
		c.Prompt = prompt
		serve(g, c)
		Expect(shows(g)).To(Equal(neither))
	})

	ginkgo.It("if the caller leaves", func() {
		g, f := newTestGateway()
		ctx, leave := context.WithCancel(context.Background())
		f.any = []reply{{hang: true, onSent: leave}}
		c := call("stream")
		c.Prompt = prompt
		g.Serve(ctx, c, &fakeResponder{})
		Expect(shows(g)).To(Equal(neither))
	})
})
