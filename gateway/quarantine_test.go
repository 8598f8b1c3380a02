package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/directory"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/quarantine"
)

// endedReply is a short stream that ends with its connection.
var endedReply = reply{status: 200, body: events(1, 1), endsWithConnection: true}

// shownByProbe is what a VM knows of a runner after it may have asked it whether it goes
// on.
type shownByProbe struct{ asked, answered, crashed, withdrawn bool }

// certain returns the crashes that are not in doubt.
func certain(crashes []quarantine.Crash) []quarantine.Crash {
	return slices.DeleteFunc(crashes, func(c quarantine.Crash) bool { return c.Doubtful })
}

var _ = ginkgo.Describe("a quarantined prompt part", func() {
	bad := quarantine.PartOf("bad")
	withPart := func(c *Call, id string) *Call {
		c.Prompt = placement.Prompt{Parts: []placement.Part{{ID: "shared", Tokens: 10}, {ID: id, Tokens: 10}, {ID: "own", Tokens: 10}}, Tokens: 30}
		return c
	}
	setQuarantine := func(g *Gateway, parts ...quarantine.Part) {
		next := *g.state.Load()
		next.Quarantined = quarantine.Known{}
		for _, p := range parts {
			next.Quarantined[p] = quarantine.Quarantined{Part: p}
		}
		g.Update(&next)
	}

	setTrial := func(g *Gateway, vm string, number uint32) {
		next := *g.state.Load()
		next.Quarantined = quarantine.Known{bad: {Part: bad, Trial: quarantine.Trial{VM: vm, Number: number}}}
		g.Update(&next)
	}

	ginkgo.It("is refused at once as not executed, unlike other prompts and a last part of that name", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		setQuarantine(g, bad)
		out := serve(g, withPart(call("stream"), "bad"))
		Expect(out.refusal.Reason).To(Equal(PromptQuarantined))
		Expect(out.refusal.Executed).To(BeFalse())
		Expect(out.refusal.RetryAfter).To(BeNumerically(">", 0))
		Expect(f.sends()).To(BeEmpty())
		Expect(serve(g, withPart(call("stream"), "good")).status).To(Equal(200))
		last := call("stream")
		last.Prompt = placement.Prompt{Parts: []placement.Part{{ID: "shared"}, {ID: "bad"}}}
		Expect(serve(g, last).status).To(Equal(200))
	})

	ginkgo.It("is refused before its stages run", func() {
		g, f := newTestGateway()
		setQuarantine(g, bad)
		Expect(serve(g, withPart(stagedCallWithID("a"), "bad")).refusal.Reason).To(Equal(PromptQuarantined))
		Expect(f.callCount()).To(BeZero())
	})

	// Guards against requests that were on their way through their stages when the
	// part was quarantined.
	ginkgo.It("is refused after the stages too", func() {
		g, f := newTestGateway()
		f.pieces = func(c *batch.Call) batch.CallResult {
			setQuarantine(g, bad)
			return resultsFor(c)
		}
		out := serve(g, withPart(stagedCallWithID("a"), "bad"))
		Expect(out.refusal.Reason).To(Equal(PromptQuarantined))
		Expect(f.sends()).To(BeEmpty())
		Eventually(f.freedCount).WithTimeout(10 * time.Second).Should(Equal(6))
	})

	ginkgo.It("does not go on at a second runner", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1), cut: true, onSent: func() { setQuarantine(g, bad) }}, {status: 200, body: events(2, 2)}}
		out := serve(g, withPart(call("resume"), "bad"))
		Expect(out.aborted).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
	})

	ginkgo.It("is reported with each runner that was lost, and its quarantine is contested by an answer", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}, {status: 200, body: events(1, 1), cut: true}, {status: 200, body: events(1, 1)}}
		serve(g, withPart(call("stream"), "bad"))
		serve(g, withPart(call("stream"), "bad"))
		report := g.CrashReport(time.Now(), nil)
		Expect(report.Crashes).To(HaveLen(2))
		for _, c := range report.Crashes {
			Expect(c.Parts).To(ConsistOf(bad, quarantine.PartOf("shared")))
		}
		Expect(serve(g, withPart(call("stream"), "bad")).status).To(Equal(200))
		setQuarantine(g, bad)
		Expect(serve(g, withPart(call("stream"), "bad")).status).To(Equal(200))
		Expect(g.CrashReport(time.Now(), g.state.Load().Quarantined).Answered).To(Equal([]quarantine.Part{bad}))
	})

	// Guards against a part that goes on to end runners because it stands far behind in
	// its prompts.
	ginkgo.It("is reported wherever it stands in a prompt whose other parts were answered", func() {
		g, f := newTestGateway()
		long := func(bad string) *Call {
			c := call("stream")
			for n := range 60 {
				c.Prompt.Parts = append(c.Prompt.Parts, placement.Part{ID: fmt.Sprint("part", n), Tokens: 10})
			}
			c.Prompt.Parts[50].ID = bad
			return c
		}
		f.any = []reply{{status: 200, body: events(1, 1)}, {lost: true}}
		Expect(serve(g, long("sound")).status).To(Equal(200))
		serve(g, long("bad"))
		crashes := g.CrashReport(time.Now(), nil).Crashes
		Expect(crashes).To(HaveLen(1))
		Expect(crashes[0].Parts).To(Equal([]quarantine.Part{bad}))
	})

	// Guards against a runner that breaks off answers and is taken for one that ended.
	ginkgo.It("is no longer reported for a runner that answers again in the same start", func() {
		g, f := newTestGateway()
		kept := time.Now()
		f.any = []reply{{lost: true, connectedAt: kept}}
		crashes := func() []quarantine.Crash { return g.CrashReport(time.Now(), nil).Crashes }
		for range 12 {
			serve(g, withPart(call("stream"), "bad"))
		}
		Expect(crashes()).NotTo(BeEmpty())
		f.any = []reply{{status: 421, misdirected: true, notExecuted: true, connectedAt: kept}}
		serve(g, withPart(call("stream"), "other"))
		Expect(crashes()).NotTo(BeEmpty())
		f.any = []reply{{status: 503, notExecuted: true, connectedAt: kept}}
		Eventually(func() []quarantine.Crash {
			serve(g, withPart(call("stream"), "other"))
			return crashes()
		}).WithTimeout(20 * time.Second).Should(BeEmpty())
	})

	// Guards against crashes that are forgotten because the next process of the runner
	// answers before the list shows it (review/15).
	ginkgo.It("goes on to be reported for a runner that started again under its ID before the list showed it", func() {
		g, f := newTestGateway()
		crashes := func() []quarantine.Crash { return certain(g.CrashReport(time.Now(), nil).Crashes) }
		list := func(started int64) {
			runners := []directory.Runner{{ID: "engines1", Service: "engines", Addr: "engines1:80", Zone: "z", StartedUnixMS: started}}
			g.Update(&directory.State{
				Table: g.Table(), List: &directory.RunnerList{Seq: 2, Runners: runners}, Entries: g.state.Load().Entries,
				ListsAsOf: map[string]time.Time{"z": time.Now()},
			})
		}
		list(1)
		f.any = []reply{{lost: true}, {status: 503, notExecuted: true}}
		serve(g, withPart(call("stream"), "bad"))
		Expect(crashes()).To(HaveLen(1))
		Eventually(func() []quarantine.Crash {
			serve(g, withPart(call("stream"), "other"))
			return crashes()
		}).WithTimeout(20*time.Second).Should(BeEmpty(), "in doubt")
		list(2)
		Expect(crashes()).To(HaveLen(1))
		Expect(crashes()[0].Runner).To(Equal("engines1 engines1:80 1"))
		serve(g, withPart(call("stream"), "other"))
		Expect(crashes()).To(HaveLen(1))
	})

	// Guards against sound parts that are refused because connections broke.
	ginkgo.It("is no longer reported for a runner that answers on a new connection once the list shows the same start", func() {
		g, f := newTestGateway()
		list := func(seq uint64) {
			runners := []directory.Runner{{ID: "engines1", Service: "engines", Addr: "engines1:80", Zone: "z", StartedUnixMS: 1}}
			g.Update(&directory.State{
				Table: g.Table(), List: &directory.RunnerList{Seq: seq, Runners: runners}, Entries: g.state.Load().Entries,
				ListsAsOf: map[string]time.Time{"z": time.Now()},
			})
		}
		list(2)
		f.any = []reply{{lost: true}, {status: 503, notExecuted: true}}
		serve(g, withPart(call("stream"), "bad"))
		Eventually(func() []quarantine.Crash {
			serve(g, withPart(call("stream"), "other"))
			return certain(g.CrashReport(time.Now(), nil).Crashes)
		}).WithTimeout(20 * time.Second).Should(BeEmpty())
		list(3)
		Expect(g.CrashReport(time.Now().Add(time.Minute/2), nil).Crashes).To(BeEmpty())
		Expect(g.evidence.UnsettledRunners()).To(BeEmpty())
	})

	// Guards against a trial that more than one send makes use of.
	ginkgo.It("is sent once if this VM may try it, and not at a second runner", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1), cut: true}, {status: 200, body: events(2, 2)}}
		setTrial(g, "another", 1)
		Expect(serve(g, withPart(call("stream"), "bad")).refusal.Reason).To(Equal(PromptQuarantined))
		setTrial(g, "self", 2)
		Expect(serve(g, withPart(call("resume"), "bad")).aborted).To(BeTrue())
		Expect(f.sends()).To(HaveLen(1))
		Expect(serve(g, withPart(call("stream"), "bad")).refusal.Reason).To(Equal(PromptQuarantined))
		setTrial(g, "self", 3)
		f.any = []reply{{status: 200, body: events(1, 1)}}
		Expect(serve(g, withPart(call("stream"), "bad")).status).To(Equal(200))
		Expect(g.CrashReport(time.Now(), g.state.Load().Quarantined).Answered).To(Equal([]quarantine.Part{bad}))
	})

	// Guards against a trial that is used up by a request which no runner has got.
	ginkgo.It("may be tried by another request if no runner has executed the trial", func() {
		g, f := newTestGateway()
		setTrial(g, "self", 1)
		f.any = []reply{{status: 503, notExecuted: true}}
		Expect(serve(g, withPart(call("stream"), "bad")).refusal.Executed).To(BeFalse())
		Expect(f.sends()).To(HaveLen(1))
		Eventually(func() int {
			f.any = []reply{{status: 200, body: events(1, 1)}}
			return serve(g, withPart(call("stream"), "bad")).status
		}).WithTimeout(10 * time.Second).Should(Equal(200))

		g, f = newTestGateway()
		setTrial(g, "self", 1)
		f.any = []reply{{lost: true}}
		serve(g, withPart(call("stream"), "bad"))
		Expect(serve(g, withPart(call("stream"), "bad")).refusal.Reason).To(Equal(PromptQuarantined))

		g, f = newTestGateway()
		setTrial(g, "self", 1)
		ctx, leave := context.WithCancel(context.Background())
		f.any = []reply{{hang: true, onSent: leave}}
		g.Serve(ctx, withPart(call("stream"), "bad"), &fakeResponder{})
		Expect(serve(g, withPart(call("stream"), "bad")).refusal.Reason).To(Equal(PromptQuarantined), "a runner may execute it")
	})

	// Guards against a service that stays refused because all of its prompts share a part,
	// so that no request shows that the runners go on.
	ginkgo.DescribeTable("has its runners asked whether they go on",
		func(id string, r reply, down bool, want shownByProbe) {
			g, f := newTestGateway()
			update := func() {
				next := *g.state.Load()
				next.ListsAsOf = map[string]time.Time{"z": time.Now()}
				next.List = &directory.RunnerList{Seq: 2, Runners: []directory.Runner{{ID: "engines1", Service: "engines", Addr: "engines1:80", Zone: "z", StartedUnixMS: 1}}}
				g.Update(&next)
			}
			update()
			setTrial(g, "self", 1)
			f.down = down
			f.any = []reply{r}
			serve(g, withPart(call("stream"), id))
			shown := func() shownByProbe {
				update()
				report := g.CrashReport(time.Now(), g.state.Load().Quarantined)
				return shownByProbe{asked: len(f.connected()) > 0, answered: len(report.Answered) > 0, crashed: len(report.Crashes) > 0, withdrawn: len(report.Withdrawn) > 0}
			}
			Eventually(shown).WithTimeout(10 * time.Second).Should(Equal(want))
			Consistently(shown).WithTimeout(500 * time.Millisecond).Should(Equal(want))
		},
		ginkgo.Entry("after an answer that ended with its connection, and they do", "bad", endedReply, false, shownByProbe{asked: true, answered: true}),
		ginkgo.Entry("after such an answer, and they do not", "bad", endedReply, true, shownByProbe{asked: true}),
		ginkgo.Entry("after a loss, and they do", "bad", reply{lost: true}, false, shownByProbe{asked: true, withdrawn: true}),
		ginkgo.Entry("after a loss, and they do not", "bad", reply{lost: true}, true, shownByProbe{asked: true, crashed: true}),
		ginkgo.Entry("but not after an answer without the part", "sound", endedReply, false, shownByProbe{}),
		ginkgo.Entry("nor after a loss without it", "sound", reply{lost: true}, false, shownByProbe{crashed: true}),
	)

	// Guards against a way into an evacuated data centre.
	ginkgo.It("has no runner of an evacuated data centre asked", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}}
		serve(g, withPart(call("stream"), "bad"))
		setQuarantine(g, bad)
		evacuate := func(start bool, revision uint64) {
			next := *g.state.Load()
			next.Evacuations, _ = next.Evacuations.Apply(0, &evacuation.Order{Zone: "z", Start: start, Revision: revision})
			g.Update(&next)
		}
		evacuate(true, 0)
		update := func() []string {
			next := *g.state.Load()
			g.Update(&next)
			return f.connected()
		}
		Consistently(update).WithTimeout(600 * time.Millisecond).Should(BeEmpty())
		evacuate(false, 1)
		Eventually(update).WithTimeout(10 * time.Second).ShouldNot(BeEmpty())
	})

	// Guards against sound parts of long answers that are quarantined in an outage
	// because none of these answers has ended yet.
	ginkgo.It("is contested by an answer that goes on, before its end", func() {
		g, f := newTestGateway()
		answered := func() []quarantine.Part { return g.CrashReport(time.Now(), quarantine.Known{bad: {}}).Answered }
		f.any = []reply{{status: 200, body: events(1, 2), endless: &repeating{text: "data: x\n\n"}, pause: 20 * time.Millisecond}}
		ctx, leave := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			g.Serve(ctx, withPart(call("stream"), "bad"), &fakeResponder{})
		}()
		Eventually(answered).WithTimeout(4 * time.Second).Should(Equal([]quarantine.Part{bad}))
		Expect(ended).NotTo(BeClosed())
		leave()
		Eventually(ended).WithTimeout(10 * time.Second).Should(BeClosed())
	})

	ginkgo.It("may be tried by a request with stages", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1)}}
		setTrial(g, "self", 1)
		Expect(serve(g, withPart(stagedCallWithID("a"), "bad")).status).To(Equal(200))
	})

	// Guards against a crash that looks like the end of an answer without a length.
	ginkgo.It("is not freed by an answer that ends with its connection, nor by one with an error status", func() {
		g, f := newTestGateway()
		f.any = []reply{{status: 200, body: events(1, 1), endsWithConnection: true}, {status: 500, body: "failed"}}
		Expect(serve(g, withPart(call("stream"), "bad")).status).To(Equal(200))
		Expect(serve(g, withPart(call("stream"), "bad")).status).To(Equal(500))
		Expect(g.CrashReport(time.Now(), quarantine.Known{bad: {}}).Answered).To(BeEmpty())
	})

	ginkgo.It("is not reported for a request whose caller has left", func() {
		g, f := newTestGateway()
		ctx, leave := context.WithCancel(context.Background())
		f.any = []reply{{hang: true, onSent: leave}}
		g.Serve(ctx, withPart(call("stream"), "bad"), &fakeResponder{})
		Expect(f.sends()).To(HaveLen(1))
		Expect(g.CrashReport(time.Now(), nil).Crashes).To(BeEmpty())
	})

	ginkgo.It("counts each start of a runner once", func() {
		g, f := newTestGateway()
		f.any = []reply{{lost: true}}
		restart := func(at int64) {
			list := testRunners()
			for i := range list {
				list[i].StartedUnixMS = at
			}
			next := *g.state.Load()
			next.List = &directory.RunnerList{Seq: uint64(at), Runners: list}
			next.Table = catalog.NewTable(testCatalog())
			g.Update(&next)
		}
		for start := range 2 {
			restart(int64(start + 1))
			for n := range 12 {
				c := withPart(call("stream"), "bad")
				c.ID = fmt.Sprint(start, n)
				serve(g, c)
			}
		}
		var starts []string
		for _, c := range g.CrashReport(time.Now(), nil).Crashes {
			Expect(starts).NotTo(ContainElement(c.Runner))
			starts = append(starts, c.Runner)
		}
		Expect(starts).To(ContainElements("engines1 engines1:80 1", "engines1 engines1:80 2"))
	})
})

var _ = ginkgo.Describe("the progress of a stream", func() {
	ginkgo.It("shows once that its answer is sound, some time after the first event", func() {
		var p streamProgress
		now := time.Now()
		Expect(p.event(now)).To(BeFalse())
		Expect(p.event(now.Add(soundAnswerTime - 1))).To(BeFalse())
		Expect(p.event(now.Add(soundAnswerTime))).To(BeTrue())
		Expect(p.event(now.Add(2 * soundAnswerTime))).To(BeFalse())
	})
})
