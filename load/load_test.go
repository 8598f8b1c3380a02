package load

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/standin/content"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

// profile returns a profile of the fake entry VM's pipeline or service.
func profile(k Kind) Profile {
	p := Profile{Kind: k, Weight: 1, Deadline: time.Minute, Target: "notes"}
	if k.service() {
		p.Target, p.Op = "bookings", "book"
		return p
	}
	p.Stages = []string{content.Encode, content.Generate}
	p.MaxTokens = 12
	return p
}

// drive makes a short run against fake entry VMs that share one ledger.
func drive(change func(*Options), kind Kind, entries ...*fakeEntry) *Report {
	l := newLedger()
	o := Options{
		Workspaces:    []Workspace{{Name: "large", Token: "t1", Share: 3}, {Name: "small", Token: "t2", Share: 1}},
		Mix:           []Profile{profile(kind)},
		RatePerSecond: 200, Duration: 200 * time.Millisecond, Seed: 11, Observer: l,
	}
	for i, f := range entries {
		f.name = string(rune('a' + i))
		f.ledger = l
		s, e := f.start()
		ginkgo.DeferCleanup(s.Close)
		o.Entries = append(o.Entries, e)
	}
	if change != nil {
		change(&o)
	}
	report, err := Run(context.Background(), o)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, report.Requests).To(BeNumerically(">", 10))
	return report
}

// only expects that all requests ended in one class.
func only(r *Report, o Outcome) {
	ExpectWithOffset(1, r.Outcomes).To(Equal(map[Outcome]int{o: r.Requests}), strings.Join(r.Notes, "\n"))
}

var kinds = []Kind{KindPipeline, KindStream, KindLongReport, KindChat, KindChatStream, KindLookup, KindBooking, KindRepeat}

var _ = ginkgo.Describe("honesty of the load generator", func() {
	for _, k := range kinds {
		ginkgo.It("accepts right responses of "+string(k), func() {
			r := drive(nil, k, &fakeEntry{}, &fakeEntry{})
			only(r, OK)
			Expect(r.Attainment).To(Equal(1.0))
			Expect(r.Kinds[k].Latency.Count).To(BeEquivalentTo(r.Requests))
			if k.streams() {
				Expect(r.Kinds[k].FirstToken.Count).To(BeEquivalentTo(r.Requests))
				Expect(r.Kinds[k].InterToken.Count).To(BeNumerically(">", r.Requests))
			}
			if k == KindRepeat {
				Expect(r.RepeatsChecked).To(Equal(r.Requests))
				Expect(r.Replayed).To(Equal(r.Requests))
			}
		})

		ginkgo.It("catches the content of another request in "+string(k), func() {
			only(drive(nil, k, &fakeEntry{swap: true}), Wrong)
		})
	}

	for _, k := range []Kind{KindStream, KindChatStream} {
		ginkgo.It("catches a stream cut short in "+string(k), func() {
			only(drive(nil, k, &fakeEntry{cut: 3}), Incomplete)
		})
	}

	for _, k := range []Kind{KindStream, KindChatStream} {
		ginkgo.It("takes the problem that ends a stream as its outcome in "+string(k), func() {
			unknown := problem.New(problem.UpstreamFailed, problem.Unknown, "test")
			only(drive(nil, k, &fakeEntry{cut: 3, fail: unknown}), Unknown)
		})
	}

	ginkgo.It("does not take the refusal of a repetition for that of the request", func() {
		r := drive(nil, KindStream, &fakeEntry{cut: 3}, &fakeEntry{refuse: problem.Draining})
		only(r, Incomplete)
		Expect(r.CheckedRefusals).To(BeNumerically(">", 0))
	})

	ginkgo.It("keeps a refusal as the outcome where no other entry VM can be reached", func() {
		r := drive(func(o *Options) {
			o.Entries = append(o.Entries, Entry{Name: "none", URL: "http://127.0.0.1:1"})
		}, KindBooking, &fakeEntry{refuse: problem.Draining})
		only(r, RefusedTrue)
	})

	ginkgo.It("does not try again after the deadline", func() {
		r := drive(func(o *Options) { o.Mix[0].Deadline = time.Nanosecond }, KindStream, &fakeEntry{cut: 3})
		Expect(r.Tries).To(Equal(r.Requests))
	})

	ginkgo.It("resumes a cut stream and checks the whole", func() {
		r := drive(nil, KindStream, &fakeEntry{cut: 3, resumable: true})
		only(r, OK)
		Expect(r.Resumes).To(Equal(r.Requests))
	})

	ginkgo.It("catches a response after the deadline", func() {
		r := drive(func(o *Options) { o.Mix[0].Deadline = time.Nanosecond }, KindPipeline, &fakeEntry{})
		only(r, Late)
		Expect(r.Attainment).To(BeZero())
	})

	ginkgo.It("catches a key that ran twice although the response says once", func() {
		r := drive(nil, KindBooking, &fakeEntry{runTwice: true})
		only(r, Duplicate)
		Expect(r.DuplicateKeys).To(HaveLen(r.Requests))
	})

	ginkgo.It("catches a booking that was confirmed and never ran", func() {
		r := drive(nil, KindBooking, &fakeEntry{forget: true})
		only(r, Lost)
		Expect(r.LostKeys).To(HaveLen(r.Requests))
	})

	ginkgo.It("catches a repetition that ran again at another entry VM", func() {
		r := drive(nil, KindRepeat, &fakeEntry{noStore: true}, &fakeEntry{noStore: true})
		only(r, Duplicate)
	})

	ginkgo.It("catches a stored response that is not marked as replayed", func() {
		only(drive(nil, KindRepeat, &fakeEntry{noMark: true}, &fakeEntry{noMark: true}), Wrong)
	})

	ginkgo.It("tells true refusals from false ones", func() {
		only(drive(nil, KindPipeline, &fakeEntry{refuse: problem.Overloaded}), RefusedTrue)
		r := drive(nil, KindPipeline, &fakeEntry{refuse: problem.Overloaded, refuseAfter: true})
		only(r, RefusedFalse)
		Expect(r.FalseRefusals).To(Equal(r.Requests))
	})

	ginkgo.It("checks a refusal without a request id by its key, where it has one", func() {
		liar := func() *fakeEntry { return &fakeEntry{refuse: problem.Overloaded, refuseAfter: true, noID: true} }
		only(drive(nil, KindBooking, liar()), RefusedFalse)
		only(drive(nil, KindPipeline, liar()), RefusedUnchecked)
	})

	ginkgo.It("does not count a refusal as true without an observer", func() {
		r := drive(func(o *Options) { o.Observer = nil }, KindPipeline, &fakeEntry{refuse: problem.Overloaded})
		only(r, RefusedUnchecked)
	})

	ginkgo.It("shows a stall in the percentiles of the requests scheduled behind it", func() {
		const stall = 400 * time.Millisecond
		var once sync.Once
		f := &fakeEntry{before: func(*http.Request) { once.Do(func() { <-time.After(stall) }) }}
		r := drive(func(o *Options) { o.MaxInFlight = 1 }, KindLookup, f)
		only(r, OK)
		// All requests are due within 200 ms and none is sent before the stall
		// ends at 400 ms.
		Expect(r.Kinds[KindLookup].Latency.P50).To(BeNumerically(">=", 200))
		Expect(r.ScheduleLag.P50).To(BeNumerically(">=", 200))
	})

	ginkgo.It("counts requests that nobody answers as lost", func() {
		r := drive(func(o *Options) {
			o.Entries = []Entry{{Name: "none", URL: "http://127.0.0.1:1"}}
		}, KindBooking, &fakeEntry{})
		only(r, Lost)
		Expect(r.Tries).To(Equal(3 * r.Requests))
	})
})

var _ = ginkgo.Describe("balancer and retries", func() {
	ginkgo.It("repeats at another entry VM what a stale or leaving one refuses", func() {
		r := drive(nil, KindBooking, &fakeEntry{refuse: problem.SettingsStale}, &fakeEntry{})
		only(r, OK)
		Expect(r.Entries["b"].Requests).To(Equal(r.Requests))
		Expect(r.CheckedRefusals).To(BeNumerically(">", 0))
	})

	ginkgo.It("does not repeat a refusal for overload without a time", func() {
		r := drive(nil, KindPipeline, &fakeEntry{refuse: problem.Overloaded})
		Expect(r.Tries).To(Equal(r.Requests))
	})

	ginkgo.It("sends nothing to an entry VM that is not ready", func() {
		b := newBalancer([]Entry{{Name: "a"}, {Name: "b"}}, nil)
		b.entries[1].ready.Store(true)
		for range 4 {
			Expect(b.pick(nil).Name).To(Equal("b"))
		}
		Expect(b.pick(map[*target]bool{b.entries[1]: true}).Name).To(Equal("a"))
	})

	ginkgo.DescribeTable("allows only harmless repetitions", func(k Kind, v verdict, p *problem.Problem, again bool) {
		r := &request{profile: profile(k)}
		if k.keyed() {
			r.key = "key"
		}
		Expect(decide(r, result{verdict: v, problem: p}).again).To(Equal(again))
	},
		ginkgo.Entry("a keyed booking after a broken connection", KindBooking, verdictBroken, nil, true),
		ginkgo.Entry("a cut stream", KindStream, verdictIncomplete, nil, true),
		ginkgo.Entry("a wrong response", KindPipeline, verdictWrong, nil, false),
		ginkgo.Entry("an unknown outcome", KindBooking, verdictProblem, problem.New(problem.OutcomeUnknown, problem.Unknown, ""), false),
		ginkgo.Entry("a key in progress", KindBooking, verdictProblem, problem.New(problem.KeyInProgress, problem.Unknown, ""), true),
		ginkgo.Entry("overload with a time", KindChat, verdictRefused, problem.New(problem.Overloaded, problem.NotRun, "").WithRetryAfter(time.Second), true),
	)
})

var _ = ginkgo.Describe("schedule and settings", func() {
	ginkgo.It("gives the same schedule for the same seed, with bursts and shares", func() {
		o := Options{
			Workspaces:    []Workspace{{Name: "large", Share: 3}, {Name: "small", Share: 1}},
			Mix:           []Profile{profile(KindBooking)},
			RatePerSecond: 1000, Duration: 4 * time.Second, Seed: 5,
			Bursts: []Burst{{Start: 2 * time.Second, Duration: time.Second, Factor: 3}},
		}
		o.setDefaults()
		at := time.UnixMilli(1_700_000_000_000)
		a, b := schedule(o, at), schedule(o, at)
		Expect(a).To(Equal(b))
		large, inBurst := 0, 0
		for _, q := range a {
			if q.workspace.Name == "large" {
				large++
			}
			if q.at >= 2*time.Second && q.at < 3*time.Second {
				inBurst++
			}
			Expect(q.key).To(MatchRegexp(`^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`))
		}
		Expect(float64(large) / float64(len(a))).To(BeNumerically("~", 0.75, 0.03))
		Expect(inBurst).To(BeNumerically("~", 3000, 200))
	})

	ginkgo.It("accepts the example of the program", func() {
		o, err := LoadOptions("../examples/load.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Check()).To(Succeed())
	})

	ginkgo.It("names file and line of an unknown key", func() {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), "load.yaml")
		Expect(os.WriteFile(path, []byte("seed: 1\nrate: 5\n"), 0o600)).To(Succeed())
		_, err := LoadOptions(path)
		Expect(err).To(MatchError(And(ContainSubstring("load.yaml"), ContainSubstring("[2:1]"), ContainSubstring("rate"))))
	})

	ginkgo.It("writes the cost by stage and the traffic between regions", func() {
		r := drive(func(o *Options) { o.Entries[0].Region = "a" }, KindPipeline, &fakeEntry{})
		Expect(r.CrossRegionBytes).To(BeEquivalentTo(7 * r.Requests))
		Expect(*r.Stages["draft"]).To(Equal(StageSummary{Calls: r.Requests, Attempts: r.Requests, CostUnits: float64(2 * r.Requests), OtherRegion: r.Requests}))
		var b strings.Builder
		Expect(r.WriteTable(&b)).To(Succeed())
		Expect(b.String()).To(ContainSubstring("draft"))
	})
})
