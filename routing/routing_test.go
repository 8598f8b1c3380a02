package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/membership"
	"damaskbridge.example/damaskbridge/residency"
)

var start = time.Unix(1_800_000_000, 0)

func address(n int) string { return fmt.Sprintf("10.0.%d.%d:80", n/250, n%250) }

// newTracker returns a tracker with n live upstreams in one pool, spread over the
// regions.
func newTracker(n int, regions ...ids.Region) *membership.Tracker {
	t := membership.NewTracker(membership.DefaultOptions("vm"))
	l := membership.List{Seq: 1}
	for i := range n {
		m := membership.Member{VM: ids.VMID(address(i)), Address: address(i), Pool: "p", Region: "lagos", State: membership.ListLive}
		if len(regions) > 0 {
			m.Region = regions[i%len(regions)]
		}
		l.Members = append(l.Members, m)
	}
	t.ApplyList(l, start)
	return t
}

func newTestRouter(seed uint64) *Router {
	return NewRouter(DefaultOptions("lagos"), rand.New(rand.NewPCG(seed, 1)))
}

var _ = Describe("a request that may be processed in some regions only", func() {
	// Guards against an upstream of another region that is chosen because it is
	// nearer, or because the allowed ones were tried.
	It("goes to upstreams of these regions, also when all of them were tried", func() {
		tr := newTracker(6, "lagos", "abuja")
		r := newTestRouter(1)
		req := Request{Pool: "p", Allowed: residency.Of([]string{"abuja"})}
		for range 20 {
			choice, err := r.Choose(tr.View(), req, start)
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Upstream.Region).To(Equal(ids.Region("abuja")))
			req.Excluded = append(req.Excluded, choice.Upstream.Address)
			r.Done(choice.Ticket, Outcome{}, start)
		}
	})

	It("has no candidate where no upstream is in these regions", func() {
		_, err := newTestRouter(1).Choose(newTracker(6, "lagos").View(), Request{Pool: "p", Allowed: residency.Of([]string{"abuja"})}, start)
		var none *NoCandidateError
		Expect(errors.As(err, &none)).To(BeTrue())
	})
})

// TestChooseRespectsFiltersAndEjectionLimit guards against ejecting more than half
// of a pool, against choosing upstreams that are leaving, ejected or excluded, and
// against in-flight counts that drift from the attempts in flight.
func TestChooseRespectsFiltersAndEjectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "size")
		tr := newTracker(n)
		r := newTestRouter(rapid.Uint64().Draw(t, "seed"))
		now := start
		var inFlight []Choice
		leaving := map[string]bool{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			a := address(rapid.IntRange(0, n-1).Draw(t, "upstream"))
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
					tr.ObserveDraining(a, now)
					leaving[a] = true
				}
			case 1:
				r.ObserveLoad(a, Load{Running: rapid.IntRange(-1, 50).Draw(t, "running"), At: now}, now)
			case 2, 3, 4, 5:
				if len(inFlight) == 0 {
					continue
				}
				c := inFlight[0]
				inFlight = inFlight[1:]
				result := rapid.SampledFrom([]Result{Success, Failure, Failure, ConnectFailure, Overloaded, Cancelled}).Draw(t, "result")
				r.Done(c.Ticket, Outcome{Result: result, Latency: time.Duration(rapid.IntRange(1, 5000).Draw(t, "latency")) * time.Millisecond}, now)
				r.Done(c.Ticket, Outcome{Result: Failure}, now)
			default:
				req := Request{Pool: "p", Excluded: []string{a}, NoProbe: rapid.Bool().Draw(t, "no probe")}
				blocked := map[string]bool{}
				for _, s := range r.upstreams {
					blocked[s.address] = s.ejection.status(now) == breakerOpen || s.circuit.status(now) == breakerOpen
				}
				c, err := r.Choose(tr.View(), req, now)
				if err != nil {
					continue
				}
				inFlight = append(inFlight, c)
				got := c.Upstream.Address
				switch {
				case leaving[got]:
					t.Fatalf("chose %s, which is leaving", got)
				case blocked[got]:
					t.Fatalf("chose %s, which is ejected or has an open circuit", got)
				case got == a && !c.Reused:
					t.Fatalf("chose %s, which is excluded", got)
				case c.Probe && req.NoProbe:
					t.Fatal("used a request with NoProbe as a probe")
				}
			}
			if p := r.pools["p"]; p != nil && 2*p.ejectedCount() > n {
				t.Fatalf("%d of %d upstreams ejected", p.ejectedCount(), n)
			}
			counted := 0
			for _, s := range r.upstreams {
				counted += len(s.inFlight)
			}
			if counted != len(inFlight) {
				t.Fatalf("%d attempts in flight, want %d", counted, len(inFlight))
			}
		}
	})
}

// TestSubsetIsStable guards against subsets in which more than two upstreams
// change when one upstream is removed from the pool.
func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(65, 500).Draw(t, "size")
		index := rapid.IntRange(0, 900).Draw(t, "index")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		all := newTracker(n).View().Pool("p")
		less := append(append([]*membership.Upstream(nil), all[:gone]...), all[gone+1:]...)
		if c := countAdded(Subset(index, 64, all), Subset(index, 64, less)); c > 2 {
			t.Fatalf("%d upstreams of the subset changed when one was removed, want at most 2", c)
		}
	})
}

// countAdded returns the number of upstreams in b that are not in a.
func countAdded(a, b []*membership.Upstream) int {
	in := map[string]bool{}
	for _, u := range a {
		in[u.Address] = true
	}
	n := 0
	for _, u := range b {
		if !in[u.Address] {
			n++
		}
	}
	return n
}

var _ = Describe("Router", func() {
	var r *Router
	var tr *membership.Tracker
	choose := func(req Request, now time.Time) Choice {
		req.Pool = "p"
		c, err := r.Choose(tr.View(), req, now)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	find := func(n int, now time.Time) Explanation {
		for _, e := range r.Explain(tr.View(), Request{Pool: "p"}, now) {
			if e.Address == address(n) {
				return e
			}
		}
		Fail("Explain does not include the upstream")
		return Explanation{}
	}
	serve := func(n int, result Result, latency time.Duration, now time.Time) {
		var others []string
		for i := range tr.View().Pool("p") {
			if i != n {
				others = append(others, address(i))
			}
		}
		c := choose(Request{Excluded: others}, now)
		Expect(c.Upstream.Address).To(Equal(address(n)))
		r.Done(c.Ticket, Outcome{Result: result, Latency: latency}, now)
	}
	BeforeEach(func() {
		r, tr = newTestRouter(1), newTracker(4)
	})

	It("corrects a lagging load report by the requests sent since and discounts it by age", func() {
		c := choose(Request{}, start)
		s := r.upstreams[c.Upstream.Address]
		at := start.Add(100 * time.Millisecond)
		r.ObserveLoad(s.address, Load{Running: 4, At: at}, at.Add(time.Millisecond))
		Expect(s.otherLoad).To(Equal(3.0), "one of the four requests is the VM's own")
		Expect(s.correctedLoad(at)).To(Equal(4.0))
		late := s.correctedLoad(at.Add(10 * DefaultReportDecay))
		Expect(late).To(BeNumerically("~", 1+s.pool.meanOtherLoad, 0.01))
	})

	It("lowers the credibility of load reports below its own in-flight count", func() {
		for range 40 {
			choose(Request{}, start)
		}
		s := r.upstreams[address(0)]
		for i := range 5 {
			at := start.Add(time.Duration(i+1) * time.Second)
			r.ObserveLoad(s.address, Load{At: at}, at)
		}
		Expect(s.credibility).To(BeNumerically("<", 0.05))
	})

	It("avoids an upstream that is slower or has just failed, before it is ejected", func() {
		for i := range 5 {
			now := start.Add(time.Duration(i) * time.Second)
			serve(0, Success, 25*time.Millisecond, now)
			for n := 1; n < 4; n++ {
				serve(n, Success, 10*time.Millisecond, now)
			}
		}
		now := start.Add(5 * time.Second)
		serve(1, Failure, time.Millisecond, now)
		for range 30 {
			c := choose(Request{}, now)
			Expect(c.Upstream.Address).To(BeElementOf(address(2), address(3)))
			r.Done(c.Ticket, Outcome{Result: Cancelled}, now)
		}
	})

	It("sends few requests to a returning upstream at first and its full share later", func() {
		count := func(now time.Time) (n int) {
			var tickets []Ticket
			for range 80 {
				c := choose(Request{}, now)
				tickets = append(tickets, c.Ticket)
				if c.Upstream.Address == address(0) {
					n++
				}
			}
			for _, t := range tickets {
				r.Done(t, Outcome{Result: Cancelled}, now)
			}
			return n
		}
		tr.ObserveRefused(address(0), start)
		back := start.Add(membership.DefaultRefusedBackoff)
		Expect(count(back)).To(BeNumerically("~", 4, 3))
		Expect(count(back.Add(membership.DefaultSlowStart))).To(BeNumerically("~", 20, 5))
	})

	It("ejects an upstream after consecutive failures, probes it with backoff and re-admits it", func() {
		for range DefaultEjectFailures {
			serve(0, Failure, time.Millisecond, start)
		}
		Expect(find(0, start).Dropped).To(Equal("ejected"))
		due := start.Add(DefaultEjectBase)
		probe := choose(Request{}, due)
		Expect(probe.Probe).To(BeTrue())
		Expect(choose(Request{}, due).Probe).To(BeFalse(), "only one probe at a time")
		r.Done(probe.Ticket, Outcome{Result: Failure}, due)
		Expect(find(0, due.Add(DefaultEjectBase)).Dropped).To(Equal("ejected"), "the backoff doubles")
		due = due.Add(2 * DefaultEjectBase)
		probe = choose(Request{}, due)
		r.Done(probe.Ticket, Outcome{Result: Success, Latency: time.Millisecond}, due)
		Expect(find(0, due).Dropped).To(BeEmpty())
		Expect(find(0, due).Costs).To(ContainElement(HaveField("Scorer", "trust")))
	})

	It("ejects an upstream that is much slower than the median", func() {
		for i := range 15 {
			now := start.Add(time.Duration(i) * time.Second)
			for n := 1; n < 4; n++ {
				serve(n, Success, 10*time.Millisecond, now)
			}
			if find(0, now).Dropped == "" {
				serve(0, Success, 100*time.Millisecond, now)
			}
		}
		Expect(r.Counts().Ejections).To(BeEquivalentTo(1))
	})

	It("does not eject upstreams of another region because of the round trip", func() {
		tr = newTracker(6, "lagos", "lagos", "abuja")
		for i := range 15 {
			for n := range 6 {
				latency := 5 * time.Millisecond
				if n%3 == 2 {
					latency = 65 * time.Millisecond
				}
				serve(n, Success, latency, start.Add(time.Duration(i)*time.Second))
			}
		}
		Expect(r.Counts().Ejections).To(BeZero())
	})

	It("opens the circuit after connect failures and returns the time until the probe", func() {
		tr = newTracker(1)
		for range DefaultConnectFailures {
			c := choose(Request{}, start)
			r.Done(c.Ticket, Outcome{Result: ConnectFailure}, start)
		}
		_, err := r.Choose(tr.View(), Request{Pool: "p"}, start)
		var none *NoCandidateError
		Expect(errors.As(err, &none)).To(BeTrue())
		Expect(none.RetryAfter).To(Equal(DefaultCircuitBase))
		Expect(none.Dropped).To(HaveKeyWithValue("circuit", 1))
	})

	It("prefers the region of the data, the cached prefix and the loaded model", func() {
		tr = newTracker(4, "lagos", "abuja")
		for range 20 {
			c := choose(Request{DataRegion: "abuja", Bytes: 1 << 20}, start)
			Expect(c.Upstream.Region).To(BeEquivalentTo("abuja"))
			r.Done(c.Ticket, Outcome{Result: Cancelled}, start)
		}
		prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
		var events []CacheEvent
		for i, p := range prefix {
			events = append(events, CacheEvent{Seq: uint64(i + 1), Stored: true, Prefix: p, At: start})
		}
		r.ObserveCache(address(2), events)
		for range 20 {
			c := choose(Request{Prefix: prefix}, start)
			Expect(c.Upstream.Address).To(Equal(address(2)))
			r.Done(c.Ticket, Outcome{Result: Cancelled}, start)
		}
		for n := range 4 {
			r.ObserveModels(address(n), []string{fmt.Sprint("m", n)}, nil)
		}
		Expect(choose(Request{Model: "m3"}, start).Upstream.Address).To(Equal(address(3)))
	})

	It("lowers the confidence in cached prefixes after a gap in the events", func() {
		p := newPrefixIndex(8, DefaultPrefixDecay)
		p.apply([]CacheEvent{{Seq: 1, Stored: true, Prefix: 7, At: start}})
		Expect(p.expectedMatch([]uint64{7, 8}, start)).To(Equal(1.0))
		p.apply([]CacheEvent{{Seq: 5, Stored: true, Prefix: 9, At: start}})
		Expect(p.expectedMatch([]uint64{7}, start)).To(BeNumerically("~", gapFactor, 1e-6))
		p.apply([]CacheEvent{{Seq: 6, Prefix: 7, At: start}})
		Expect(p.expectedMatch([]uint64{7}, start)).To(BeZero())
	})

	It("serves concurrent callers of a ConcurrentRouter while the view changes", func() {
		router := NewConcurrentRouter(DefaultOptions("lagos"), rand.New(rand.NewPCG(1, 1)))
		views := membership.NewConcurrentTracker(membership.DefaultOptions("vm"))
		var members []membership.Member
		for _, u := range tr.View().Pool("p") {
			members = append(members, membership.Member{VM: u.VM, Address: u.Address, Pool: "p", Region: u.Region, State: membership.ListLive})
		}
		views.ApplyList(membership.List{Seq: 1, Members: members}, start)
		var wg sync.WaitGroup
		for n := range 4 {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range 200 {
					now := start.Add(time.Duration(i) * time.Millisecond)
					c, err := router.Choose(views.View(), Request{Pool: "p"}, now)
					Expect(err).NotTo(HaveOccurred())
					views.ObserveSuccess(c.Upstream.Address, now)
					if n == 0 && i == 100 {
						views.ObserveDraining(address(0), now)
					}
					router.Done(c.Ticket, Outcome{Latency: time.Millisecond}, now)
				}
			})
		}
		wg.Wait()
		Expect(router.Counts().Choices).To(BeEquivalentTo(800))
	})

	It("removes upstreams that have left the view", func() {
		choose(Request{}, start)
		tr.ApplyList(membership.List{Seq: 2, Members: nil}, start)
		tr.ObserveRefused(address(0), start)
		tr.ApplyList(membership.List{Seq: 3}, start)
		_, err := r.Choose(tr.View(), Request{Pool: "p"}, start)
		Expect(err).To(HaveOccurred())
		Expect(len(r.upstreams)).To(BeNumerically("<=", 1), "only an upstream with an attempt in flight is kept")
	})
})
