package gateway

import (
	"bytes"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/directory"
)

var _ = ginkgo.Describe("a VM that stops", func() {
	// The calls of these tests have a timeout of 5 s.
	const shorterThanTimeout = 3 * time.Second
	// inRotation and leftRotation are stops that began just now and a while ago.
	inRotation := func(left time.Duration) StopPlan {
		return StopPlan{LeftRotation: time.Now().Add(time.Hour), End: time.Now().Add(left)}
	}
	leftRotation := func(left time.Duration) StopPlan {
		return StopPlan{LeftRotation: time.Now().Add(-time.Second), End: time.Now().Add(left)}
	}
	expectRefused := func(f *fakeRunners, out *fakeResponder) {
		ginkgo.GinkgoHelper()
		Expect(out.refusal).NotTo(BeNil())
		Expect(out.refusal.Reason).To(Equal(Stopping))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(out.refusal.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<", 100*time.Millisecond)))
		Expect(f.sends()).To(BeEmpty())
	}
	begin := func(g *Gateway, c *Call) (*fakeResponder, <-chan struct{}) {
		out, done := &fakeResponder{}, make(chan struct{})
		go func() {
			defer close(done)
			g.Serve(ginkgo.GinkgoT().Context(), c, out)
		}()
		return out, done
	}
	awaitEnd := func(done <-chan struct{}) {
		ginkgo.GinkgoHelper()
		Eventually(done).WithTimeout(10 * time.Second).Should(BeClosed())
	}

	// Guards against requests that are passed on late and cut at the end.
	ginkgo.DescribeTable("passes new requests on only if they end in time, and while it is in rotation what may be cut",
		func(route string, passedInRotation bool) {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 1)}}
			g.Stop(leftRotation(time.Hour))
			Expect(g.Ready()).To(BeFalse())
			Expect(serve(g, call(route)).status).To(Equal(200))

			g, f = newTestGateway()
			g.Stop(leftRotation(shorterThanTimeout))
			expectRefused(f, serve(g, call(route)))
			var text bytes.Buffer
			g.WriteMetrics(&text)
			Expect(text.String()).To(ContainSubstring(`damask_gateway_stop_requests_total{outcome="refused"} 1`))

			g, f = newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 1)}}
			g.Stop(inRotation(shorterThanTimeout))
			if out := serve(g, call(route)); passedInRotation {
				Expect(out.status).To(Equal(200))
			} else {
				expectRefused(f, out)
			}
		},
		ginkgo.Entry("may not be repeated", "once", false),
		ginkgo.Entry("may be repeated", "again", true),
		ginkgo.Entry("a stream", "stream", true),
		ginkgo.Entry("a stream that can be resumed", "resume", true),
		ginkgo.Entry("with stages", "staged", true),
	)

	ginkgo.It("refuses requests that wait for the first configuration", func() {
		g, f := newUnconfiguredGateway()
		g.Update(&directory.State{List: &directory.RunnerList{Seq: 1}})
		c := call("once")
		c.Timeout = time.Minute
		out, done := begin(g, c)
		Eventually(func() int { return openCount(g) }).WithTimeout(10 * time.Second).Should(Equal(1))
		plan := inRotation(time.Hour)
		g.Stop(plan)
		g.checkStop(plan.LeftRotation)
		awaitEnd(done)
		expectRefused(f, out)
	})

	// Guards against requests that get neither an answer nor a refusal because they
	// wait for their stages until the process ends.
	ginkgo.It("refuses requests that wait for their stages", func() {
		g, f := newTestGateway()
		f.release = make(chan struct{})
		ginkgo.DeferCleanup(func() { close(f.release) })
		out, done := begin(g, stagedCallWithID("a"))
		Eventually(f.callCount).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
		plan := leftRotation(time.Hour)
		g.Stop(plan)
		g.checkStop(plan.End.Add(-refusalMargin - 1))
		Consistently(done).WithTimeout(10 * time.Millisecond).ShouldNot(BeClosed())
		g.checkStop(plan.End.Add(-refusalMargin))
		awaitEnd(done)
		expectRefused(f, out)
	})

	ginkgo.It("refuses requests whose stages have just ended, and frees their results", func() {
		g, f := newTestGateway()
		plan := leftRotation(refusalMargin)
		f.pieces = func(c *batch.Call) batch.CallResult {
			g.stopPlan.Store(&plan)
			return resultsFor(c)
		}
		expectRefused(f, serve(g, stagedCallWithID("a")))
		Eventually(f.freedCount).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
	})

	// Guards against refusals of requests that have waited and would end in time.
	ginkgo.DescribeTable("sends streams that it has taken while it was in rotation if they usually end in time",
		func(usual time.Duration, sent bool) {
			g, f := newTestGateway()
			f.any = []reply{{status: 200, body: events(1, 1)}}
			g.durations.observe("staged", usual)
			c := stagedCallWithID("a")
			plan := StopPlan{LeftRotation: c.Received.Add(time.Nanosecond), End: c.Received.Add(shorterThanTimeout)}
			g.stopPlan.Store(&plan)
			if out := serve(g, c); sent {
				Expect(out.status).To(Equal(200))
				Expect(g.durations.average("staged")).NotTo(Equal(usual))
			} else {
				expectRefused(f, out)
			}
		},
		ginkgo.Entry("they do", 10*time.Millisecond, true),
		ginkgo.Entry("they do not", 1500*time.Millisecond, false),
	)

	ginkgo.It("does not repeat what may not end in time", func() {
		g, f := newTestGateway()
		c := call("once")
		plan := StopPlan{LeftRotation: c.Received.Add(time.Nanosecond), End: c.Received.Add(shorterThanTimeout)}
		f.any = []reply{{status: 503, notExecuted: true, onSent: func() { g.Stop(plan) }}}
		out := serve(g, c)
		Expect(out.refusal.Reason).To(Equal(Stopping))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("relays a runner's failure that it does not repeat", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 500, body: "failed", onSent: func() { g.Stop(leftRotation(shorterThanTimeout)) }}}
		Expect(serve(g, call("again")).status).To(Equal(500))
	})

	ginkgo.It("leaves a request at a slow runner that may not be sent to another one in time", func() {
		g, f := newTestGateway()
		slow := make(chan struct{})
		f.any = []reply{{status: 200, body: "slow", silentUntil: slow, onSent: func() {
			g.Stop(leftRotation(shorterThanTimeout))
			time.AfterFunc(720*time.Millisecond, func() { close(slow) })
		}}}
		Expect(serve(g, call("again")).body).To(Equal("slow"))
		Expect(f.sends()).To(HaveLen(1))
	})

	// Guards against a request that is sent while the stop refuses it.
	ginkgo.It("sends nothing that it has ended", func() {
		set := openRequests{set: map[*openRequest]struct{}{}}
		o, ctx, done := set.open(ginkgo.GinkgoT().Context(), call("once"))
		defer done()
		plan := leftRotation(time.Hour)
		set.endDue(&plan, plan.End)
		Expect(isStopped(ctx)).To(BeTrue())
		Expect(o.enter(phaseSent)).To(BeFalse())
	})

	ginkgo.DescribeTable("goes on with a stream at another runner while there is time for that",
		func(left time.Duration, sends int) {
			g, f := newTestGateway()
			plan := StopPlan{LeftRotation: time.Now().Add(time.Hour), End: time.Now().Add(left)}
			f.any = []reply{{status: 200, body: events(1, 2), cut: true, onSent: func() { g.stopPlan.Store(&plan) }}, {status: 200, body: events(3, 4)}}
			out := serve(g, call("resume"))
			Expect(f.sends()).To(HaveLen(sends))
			Expect(out.aborted).To(Equal(sends == 1))
		},
		ginkgo.Entry("time left", time.Hour, 2),
		ginkgo.Entry("no time left", refusalMargin, 1),
	)

	// Guards against connections that are cut at the end without a response.
	ginkgo.It("answers at its end what has no response yet, and breaks off streams after that", func() {
		g, f := newTestGateway()
		release := make(chan struct{})
		ginkgo.DeferCleanup(func() { close(release) })
		serveAt := func(route string, r reply) (*fakeResponder, <-chan struct{}) {
			sent := len(f.sends())
			f.mu.Lock()
			f.any = []reply{r}
			f.mu.Unlock()
			out, done := begin(g, call(route))
			Eventually(f.sends).WithTimeout(10 * time.Second).Should(HaveLen(sent + 1))
			return out, done
		}
		once, onceDone := serveAt("once", reply{hang: true})
		again, againDone := serveAt("again", reply{hang: true})
		quiet, quietDone := serveAt("stream", reply{status: 200, silentUntil: release})
		resumable, resumableDone := serveAt("resume", reply{status: 200, body: events(1, 2), silentUntil: release})
		stream, streamDone := serveAt("stream", reply{status: 200, body: events(1, 2), silentUntil: release})
		Eventually(func() int { return begunCount(g) }).WithTimeout(10 * time.Second).Should(Equal(2))
		plan := leftRotation(time.Hour)
		g.Stop(plan)

		g.checkStop(plan.End.Add(-answerMargin))
		for _, done := range []<-chan struct{}{onceDone, againDone, quietDone} {
			awaitEnd(done)
		}
		for _, out := range []*fakeResponder{once, again, quiet} {
			Expect(out.answers).To(Equal(1))
			Expect(out.refusal.Reason).To(Equal(AnswerLost))
			Expect(out.refusal.Executed).To(BeTrue())
		}
		g.checkStop(plan.End.Add(-resumableMargin))
		awaitEnd(resumableDone)
		Expect(resumable.aborted).To(BeTrue())
		Expect(openCount(g)).To(Equal(1))
		g.checkStop(plan.End.Add(-abortMargin))
		awaitEnd(streamDone)
		Expect(stream.aborted).To(BeTrue())
		var text bytes.Buffer
		g.WriteMetrics(&text)
		Expect(text.String()).To(And(
			ContainSubstring(`damask_gateway_stop_requests_total{outcome="unanswered"} 3`),
			ContainSubstring(`damask_gateway_stop_requests_total{outcome="aborted"} 2`)))
	})
})

// Guards against a stop that leaves no time to answer after the VM has left the
// rotation, or that lasts longer than the platform lets it.
var _ = ginkgo.DescribeTable("the times of a stop",
	func(timeToStop, rotation, end time.Duration) {
		now := time.Now()
		Expect(NewStopPlan(now, 2500*time.Millisecond, timeToStop)).To(Equal(StopPlan{LeftRotation: now.Add(rotation), End: now.Add(end)}))
	},
	ginkgo.Entry("usual", 8*time.Second, 2500*time.Millisecond, 8*time.Second-exitMargin),
	ginkgo.Entry("short", 3*time.Second, 1500*time.Millisecond, 3*time.Second-exitMargin),
	ginkgo.Entry("the shortest that the settings allow", time.Second, 500*time.Millisecond, time.Second-exitMargin),
)

// openCount returns the number of requests under way.
func openCount(g *Gateway) int {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	return len(g.open.set)
}

// begunCount returns the number of those whose answer has begun.
func begunCount(g *Gateway) int {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	n := 0
	for o := range g.open.set {
		o.mu.Lock()
		if o.subject.phase == phaseBegun {
			n++
		}
		o.mu.Unlock()
	}
	return n
}
