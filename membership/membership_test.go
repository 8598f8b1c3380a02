package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

var startTime = time.Unix(1_800_000_000, 0)

// newList returns a list of live members of the pool "p".
func newList(seq uint64, numbers ...int) List {
	l := List{Seq: seq}
	for _, n := range numbers {
		a := fmt.Sprintf("10.0.0.%03d:80", n)
		l.Members = append(l.Members, Member{VM: ids.VMID(a), Address: a, Pool: "p", Region: "lagos", State: ListLive})
	}
	return l
}

func addressOf(n int) string { return newList(0, n).Members[0].Address }

func isUsable(t *Tracker, n int, now time.Time) bool {
	u, ok := t.View().Find("p", addressOf(n))
	return ok && u.Usable(now)
}

// TestNoWorkToLeavingUpstream guards against an entry VM that still sends work
// to an upstream 3 s after it began to drain. The list lags by up to 20 s, only
// one VM polls the upstream, once a second, and its observations arrive up to
// 2 s late.
func TestNoWorkToLeavingUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, tick = 4, 100 * time.Millisecond
		type message struct {
			to           int
			due          time.Time
			sent         time.Time
			observations []settings.Observation
		}
		trackers := make([]*Tracker, vms)
		for i := range trackers {
			trackers[i] = NewTracker(DefaultOptions(ids.VMID(fmt.Sprint("vm", i))))
			trackers[i].ApplyList(newList(1, 1, 2, 3, 4), startTime)
		}
		drainStart := startTime.Add(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		}).Draw(t, "drainStart"))
		lag := time.Duration(rapid.IntRange(0, 20).Draw(t, "lag")) * time.Second
		observer := rapid.IntRange(0, vms-1).Draw(t, "observer")
		delay := rapid.IntRange(0, 2000)
		hasTraffic := rapid.Bool().Draw(t, "hasTraffic")
		refusedFromStep := rapid.IntRange(-1, 30).Draw(t, "refusedFromStep")
		var inFlight []message
		seq := uint64(1)
		for step := range 300 {
			now := startTime.Add(time.Duration(step) * tick)
			draining := !now.Before(drainStart)
			if step%10 == 0 {
				if draining {
					trackers[observer].ObserveDraining(addressOf(1), now)
				} else {
					trackers[observer].ObserveSuccess(addressOf(1), now)
				}
			}
			if step >= refusedFromStep && step < refusedFromStep+4 {
				// A refused connection must not hide a later observation of leaving.
				trackers[(observer+1)%vms].ObserveRefused(addressOf(1), now)
			}
			if step%5 == 0 {
				for from, tr := range trackers {
					for to := range trackers {
						if to != from {
							d := time.Duration(delay.Draw(t, "delay")) * time.Millisecond
							inFlight = append(inFlight, message{to, now.Add(d), now, tr.Observations(now)})
						}
					}
				}
			}
			inFlight = slices.DeleteFunc(inFlight, func(m message) bool {
				if now.Before(m.due) {
					return false
				}
				for i := range m.observations {
					m.observations[i].AgeMS += uint32(now.Sub(m.sent).Milliseconds())
				}
				trackers[m.to].ApplyObservations(m.observations, now)
				return true
			})
			if step%20 == 0 {
				seq++
				l := newList(seq, 1, 2, 3, 4)
				if now.Sub(drainStart) >= lag && draining {
					l.Members[0].State = ListLeaving
				}
				for _, tr := range trackers {
					tr.ApplyList(l, now)
				}
			}
			for i, tr := range trackers {
				if hasTraffic {
					// Requests in flight complete while the upstream drains.
					tr.ObserveSuccess(addressOf(1), now)
				}
				if now.Sub(drainStart) > 3*time.Second && isUsable(tr, 1, now) {
					t.Fatalf("vm %d uses the upstream %v after it began to drain", i, now.Sub(drainStart))
				}
				if !isUsable(tr, 2, now) {
					t.Fatalf("upstream 2 is live, but vm %d does not use it", i)
				}
			}
		}
	})
}

// TestHealthyUpstreamsSurviveFaultyLists guards against the removal of live
// upstreams because of a list that lacks them or an outdated list that arrives
// late.
func TestHealthyUpstreamsSurviveFaultyLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "size")
		numbers := make([]int, n)
		for i := range numbers {
			numbers[i] = i + 1
		}
		tr := NewTracker(DefaultOptions("vm"))
		tr.ApplyList(newList(10, numbers...), startTime)
		now := startTime
		for range rapid.IntRange(1, 8).Draw(t, "lists") {
			now = now.Add(time.Second)
			keep := rapid.SliceOfDistinct(rapid.SampledFrom(numbers), rapid.ID[int]).Draw(t, "keep")
			seq := uint64(rapid.IntRange(5, 30).Draw(t, "seq"))
			if 2*len(keep) > n && seq > tr.listSeq {
				continue
			}
			tr.ApplyList(newList(seq, keep...), now)
			for _, i := range numbers[1:] {
				tr.ObserveSuccess(addressOf(i), now.Add(time.Millisecond))
			}
			// One failed upstream must not confirm the list while the other
			// missing ones respond.
			tr.ObserveRefused(addressOf(1), now.Add(2*time.Millisecond))
		}
		if got := len(tr.View().Pool("p")); got < n-1 {
			t.Fatalf("%d upstreams remain, want at least the %d healthy ones", got, n-1)
		}
	})
}

var _ = Describe("Tracker", func() {
	var t *Tracker
	BeforeEach(func() {
		t = NewTracker(DefaultOptions("vm0"))
		Expect(t.ApplyList(newList(5, 1, 2, 3, 4), startTime)).To(Equal(ListApplied))
	})

	It("ignores a list whose sequence number is not higher than the last", func() {
		Expect(t.ApplyList(newList(5, 1), startTime)).To(Equal(ListOutdated))
		Expect(t.View().Pool("p")).To(HaveLen(4))
	})

	It("removes all upstreams of a pool only after two lists and an own observation agree", func() {
		now := startTime.Add(time.Second)
		Expect(t.ApplyList(newList(6), now)).To(Equal(ListSuspect))
		t.ObserveRefused(addressOf(1), now)
		Expect(t.View().Pool("p")).To(HaveLen(4), "a single list does not confirm the removal")
		Expect(isUsable(t, 2, now)).To(BeTrue())
		Expect(t.ApplyList(newList(7), now.Add(time.Second))).To(Equal(ListApplied))
		Expect(t.View().Pool("p")).To(BeEmpty())
	})

	It("keeps the upstreams if two lists agree but no own observation confirms them", func() {
		Expect(t.ApplyList(newList(6, 1), startTime)).To(Equal(ListSuspect))
		Expect(t.ApplyList(newList(7, 1), startTime)).To(Equal(ListSuspect))
		Expect(t.View().Pool("p")).To(HaveLen(4))
		t.ObserveRefused(addressOf(2), startTime.Add(time.Second))
		Expect(t.View().Pool("p")).To(HaveLen(1), "the own observation confirms the lists")
	})

	It("applies listed leaving states immediately, unless no live upstream would remain", func() {
		l := newList(6, 1, 2, 3, 4)
		for i := range 3 {
			l.Members[i].State = ListLeaving
		}
		Expect(t.ApplyList(l, startTime)).To(Equal(ListApplied))
		Expect(isUsable(t, 3, startTime)).To(BeFalse())
		l.Seq, l.Members[3].State = 7, ListLeaving
		Expect(t.ApplyList(l, startTime)).To(Equal(ListSuspect))
		Expect(isUsable(t, 4, startTime)).To(BeTrue())
	})

	It("applies leaving states in one pool while removals in another await confirmation", func() {
		other := Member{VM: "o", Address: "o:80", Pool: "q", Region: "lagos", State: ListLive}
		l := newList(6, 1, 2, 3, 4)
		l.Members = append(l.Members, other)
		Expect(t.ApplyList(l, startTime)).To(Equal(ListApplied))
		l = newList(7, 1, 2, 3, 4)
		l.Members[0].State = ListLeaving
		Expect(t.ApplyList(l, startTime)).To(Equal(ListSuspect))
		Expect(t.View().Pool("q")).To(HaveLen(1))
		Expect(isUsable(t, 1, startTime)).To(BeFalse())
	})

	It("removes a single missing upstream immediately", func() {
		Expect(t.ApplyList(newList(6, 1, 2, 3), startTime)).To(Equal(ListApplied))
		Expect(t.View().Pool("p")).To(HaveLen(3))
	})

	It("backs off after a refused connection and then applies slow start", func() {
		t.ObserveRefused(addressOf(1), startTime)
		Expect(isUsable(t, 1, startTime)).To(BeFalse())
		backoffEnd := startTime.Add(DefaultRefusedBackoff)
		u, _ := t.View().Find("p", addressOf(1))
		Expect(u.Weight(backoffEnd)).To(Equal(DefaultMinWeight))
		Expect(u.Weight(backoffEnd.Add(DefaultSlowStart / 2))).To(BeNumerically("~", 0.5, 0.01))
		Expect(u.Weight(backoffEnd.Add(DefaultSlowStart))).To(Equal(1.0))
		t.ObserveRefused(addressOf(1), backoffEnd)
		Expect(isUsable(t, 1, backoffEnd.Add(DefaultRefusedBackoff))).To(BeFalse(), "the backoff doubles")
	})

	It("applies a repeated observation of a refused connection once and ignores it after an own success", func() {
		observed := []settings.Observation{{Address: addressOf(1), State: settings.ObservedRefused, From: "vm1", AgeMS: 100}}
		t.ApplyObservations(observed, startTime)
		t.ApplyObservations(observed, startTime.Add(50*time.Millisecond))
		Expect(t.Counts().ObservationsApplied).To(BeEquivalentTo(1))
		t.ObserveSuccess(addressOf(2), startTime)
		observed[0].Address = addressOf(2)
		t.ApplyObservations(observed, startTime)
		Expect(isUsable(t, 2, startTime)).To(BeTrue())
	})

	It("restores an upstream with slow start once lists have shown it leaving and then live", func() {
		t.ObserveDraining(addressOf(1), startTime)
		t.ApplyList(newList(6, 1, 2, 3, 4), startTime.Add(time.Second))
		Expect(isUsable(t, 1, startTime.Add(time.Second))).To(BeFalse(), "the list lags")
		l := newList(7, 1, 2, 3, 4)
		l.Members[0].State = ListLeaving
		t.ApplyList(l, startTime.Add(2*time.Second))
		t.ApplyList(newList(8, 1, 2, 3, 4), startTime.Add(3*time.Second))
		u, _ := t.View().Find("p", addressOf(1))
		Expect(u.Weight(startTime.Add(3 * time.Second))).To(Equal(DefaultMinWeight))
	})

	It("applies a new slow-start duration to upstreams that are already in slow start", func() {
		s := &ConcurrentTracker{tracker: t}
		s.ObserveRefused(addressOf(1), startTime)
		s.SetSlowStart(2 * time.Second)
		u, _ := s.View().Find("p", addressOf(1))
		Expect(u.Weight(startTime.Add(DefaultRefusedBackoff + time.Second))).To(BeNumerically("~", 0.5, 0.01))
	})

	It("does not modify published views", func() {
		old := t.View()
		t.ObserveDraining(addressOf(1), startTime)
		u, _ := old.Find("p", addressOf(1))
		Expect(u.Usable(startTime)).To(BeTrue())
		Expect(json.Marshal(u.State(startTime))).To(MatchJSON(`"live"`))
		Expect(t.View().Version()).To(Equal(old.Version() + 1))
	})
})

// BenchmarkView12000 measures building a View of 12,000 upstreams from a list,
// and again after the observation of one upstream.
func BenchmarkView12000(b *testing.B) {
	numbers := make([]int, 12000)
	for i := range numbers {
		numbers[i] = i
	}
	l := newList(1, numbers...)
	b.Run("list", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			t := NewTracker(DefaultOptions("vm"))
			t.ApplyList(l, startTime)
			t.View()
		}
	})
	b.Run("observation", func(b *testing.B) {
		t := NewTracker(DefaultOptions("vm"))
		t.ApplyList(l, startTime)
		t.View()
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			t.ObserveRefused(l.Members[i%12000].Address, startTime.Add(time.Duration(i)*time.Second))
			t.View()
		}
	})
}
