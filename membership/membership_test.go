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

var start = time.Unix(1_800_000_000, 0)

// listOf gives a list of live members of one pool.
func listOf(seq uint64, numbers ...int) List {
	l := List{Seq: seq}
	for _, n := range numbers {
		a := fmt.Sprintf("10.0.0.%03d:80", n)
		l.Members = append(l.Members, Member{VM: ids.VMID(a), Address: a, Pool: "p", Region: "lagos", State: ListLive})
	}
	return l
}

func addr(n int) string { return listOf(0, n).Members[0].Address }

func usable(t *Tracker, n int, now time.Time) bool {
	u, ok := t.View().Find("p", addr(n))
	return ok && u.Usable(now)
}

// Guards the bound of 3 s after which no entry VM gives new work to a leaving
// upstream, with a list that lags by up to 20 s, one VM that polls the upstream
// once a second and signs that arrive up to 2 s late.
func TestNoWorkToLeavingUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, tick = 4, 100 * time.Millisecond
		type parcel struct {
			to    int
			due   time.Time
			sent  time.Time
			signs []settings.Sign
		}
		trackers := make([]*Tracker, vms)
		for i := range trackers {
			trackers[i] = NewTracker(DefaultOptions(ids.VMID(fmt.Sprint("vm", i))))
			trackers[i].ApplyList(listOf(1, 1, 2, 3, 4), start)
		}
		leaves := start.Add(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		}).Draw(t, "leaves"))
		lag := time.Duration(rapid.IntRange(0, 20).Draw(t, "lag")) * time.Second
		witness := rapid.IntRange(0, vms-1).Draw(t, "witness")
		delay := rapid.IntRange(0, 2000)
		busy := rapid.Bool().Draw(t, "busy")
		refuses := rapid.IntRange(-1, 30).Draw(t, "refuses")
		var mail []parcel
		seq := uint64(1)
		for step := range 300 {
			now := start.Add(time.Duration(step) * tick)
			draining := !now.Before(leaves)
			if step%10 == 0 {
				if draining {
					trackers[witness].ObserveDraining(addr(1), now)
				} else {
					trackers[witness].ObserveSuccess(addr(1), now)
				}
			}
			if step >= refuses && step < refuses+4 {
				// A VM that fails to connect must still hear that it leaves.
				trackers[(witness+1)%vms].ObserveRefused(addr(1), now)
			}
			if step%5 == 0 {
				for from, tr := range trackers {
					for to := range trackers {
						if to != from {
							d := time.Duration(delay.Draw(t, "delay")) * time.Millisecond
							mail = append(mail, parcel{to, now.Add(d), now, tr.Signs(now)})
						}
					}
				}
			}
			mail = slices.DeleteFunc(mail, func(p parcel) bool {
				if now.Before(p.due) {
					return false
				}
				for i := range p.signs {
					p.signs[i].AgeMS += uint32(now.Sub(p.sent).Milliseconds())
				}
				trackers[p.to].ApplySigns(p.signs, now)
				return true
			})
			if step%20 == 0 {
				seq++
				l := listOf(seq, 1, 2, 3, 4)
				if now.Sub(leaves) >= lag && draining {
					l.Members[0].State = ListLeaving
				}
				for _, tr := range trackers {
					tr.ApplyList(l, now)
				}
			}
			for i, tr := range trackers {
				if busy {
					// Requests under way complete while the upstream drains.
					tr.ObserveSuccess(addr(1), now)
				}
				if now.Sub(leaves) > 3*time.Second && usable(tr, 1, now) {
					t.Fatalf("vm %d uses the upstream %v after it began to leave", i, now.Sub(leaves))
				}
				if !usable(tr, 2, now) {
					t.Fatalf("vm %d lost a live upstream", i)
				}
			}
		}
	})
}

// Guards against losing live upstreams to a faulty list, and against numbers
// that go back.
func TestHealthyUpstreamsSurviveFaultyLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "size")
		all := make([]int, n)
		for i := range all {
			all[i] = i + 1
		}
		tr := NewTracker(DefaultOptions("vm"))
		tr.ApplyList(listOf(10, all...), start)
		now := start
		for range rapid.IntRange(1, 8).Draw(t, "lists") {
			now = now.Add(time.Second)
			keep := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[int]).Draw(t, "keep")
			seq := uint64(rapid.IntRange(5, 30).Draw(t, "seq"))
			if 2*len(keep) > n && seq > tr.seq {
				continue
			}
			tr.ApplyList(listOf(seq, keep...), now)
			for _, i := range all[1:] {
				tr.ObserveSuccess(addr(i), now.Add(time.Millisecond))
			}
			// The first one has failed, which does not prove the list right.
			tr.ObserveRefused(addr(1), now.Add(2*time.Millisecond))
		}
		if got := len(tr.View().Pool("p")); got < n-1 {
			t.Fatalf("%d of %d healthy upstreams left", got, n-1)
		}
	})
}

var _ = Describe("Tracker", func() {
	var t *Tracker
	BeforeEach(func() {
		t = NewTracker(DefaultOptions("vm0"))
		Expect(t.ApplyList(listOf(5, 1, 2, 3, 4), start)).To(Equal(ListApplied))
	})

	It("ignores a list with an old number", func() {
		Expect(t.ApplyList(listOf(5, 1), start)).To(Equal(ListOld))
		Expect(t.View().Pool("p")).To(HaveLen(4))
	})

	It("keeps the upstreams of a list that empties until two lists and own observation agree", func() {
		now := start.Add(time.Second)
		Expect(t.ApplyList(listOf(6), now)).To(Equal(ListSuspect))
		t.ObserveRefused(addr(1), now)
		Expect(t.View().Pool("p")).To(HaveLen(4), "one list alone is not enough")
		Expect(usable(t, 2, now)).To(BeTrue())
		Expect(t.ApplyList(listOf(7), now.Add(time.Second))).To(Equal(ListApplied))
		Expect(t.View().Pool("p")).To(BeEmpty())
	})

	It("keeps them if only two lists agree", func() {
		Expect(t.ApplyList(listOf(6, 1), start)).To(Equal(ListSuspect))
		Expect(t.ApplyList(listOf(7, 1), start)).To(Equal(ListSuspect))
		Expect(t.View().Pool("p")).To(HaveLen(4))
		t.ObserveRefused(addr(2), start.Add(time.Second))
		Expect(t.View().Pool("p")).To(HaveLen(1), "own observation confirms the lists")
	})

	It("acts on explicit leaving marks at once, but not if they take the whole pool", func() {
		l := listOf(6, 1, 2, 3, 4)
		for i := range 3 {
			l.Members[i].State = ListLeaving
		}
		Expect(t.ApplyList(l, start)).To(Equal(ListApplied))
		Expect(usable(t, 3, start)).To(BeFalse())
		l.Seq, l.Members[3].State = 7, ListLeaving
		Expect(t.ApplyList(l, start)).To(Equal(ListSuspect))
		Expect(usable(t, 4, start)).To(BeTrue())
	})

	It("still acts on marks of one pool while another pool is suspect", func() {
		other := Member{VM: "o", Address: "o:80", Pool: "q", Region: "lagos", State: ListLive}
		l := listOf(6, 1, 2, 3, 4)
		l.Members = append(l.Members, other)
		Expect(t.ApplyList(l, start)).To(Equal(ListApplied))
		l = listOf(7, 1, 2, 3, 4)
		l.Members[0].State = ListLeaving
		Expect(t.ApplyList(l, start)).To(Equal(ListSuspect))
		Expect(t.View().Pool("q")).To(HaveLen(1))
		Expect(usable(t, 1, start)).To(BeFalse())
	})

	It("removes a single missing upstream at once", func() {
		Expect(t.ApplyList(listOf(6, 1, 2, 3), start)).To(Equal(ListApplied))
		Expect(t.View().Pool("p")).To(HaveLen(3))
	})

	It("holds work back after a refused connection and returns it gradually", func() {
		t.ObserveRefused(addr(1), start)
		Expect(usable(t, 1, start)).To(BeFalse())
		back := start.Add(DefaultRefusedHold)
		u, _ := t.View().Find("p", addr(1))
		Expect(u.Trust(back)).To(Equal(DefaultTrustFloor))
		Expect(u.Trust(back.Add(DefaultSlowStart / 2))).To(BeNumerically("~", 0.5, 0.01))
		Expect(u.Trust(back.Add(DefaultSlowStart))).To(Equal(1.0))
		t.ObserveRefused(addr(1), back)
		Expect(usable(t, 1, back.Add(DefaultRefusedHold))).To(BeFalse(), "the hold doubles")
	})

	It("applies a repeated sign of a refused connection once and not against own success", func() {
		sign := []settings.Sign{{Address: addr(1), State: settings.SignRefused, From: "vm1", AgeMS: 100}}
		t.ApplySigns(sign, start)
		t.ApplySigns(sign, start.Add(50*time.Millisecond))
		Expect(t.Counts().SignsApplied).To(BeEquivalentTo(1))
		t.ObserveSuccess(addr(2), start)
		sign[0].Address = addr(2)
		t.ApplySigns(sign, start)
		Expect(usable(t, 2, start)).To(BeTrue())
	})

	It("takes an upstream back once the list has shown it leaving and live again", func() {
		t.ObserveDraining(addr(1), start)
		t.ApplyList(listOf(6, 1, 2, 3, 4), start.Add(time.Second))
		Expect(usable(t, 1, start.Add(time.Second))).To(BeFalse(), "the list lags")
		l := listOf(7, 1, 2, 3, 4)
		l.Members[0].State = ListLeaving
		t.ApplyList(l, start.Add(2*time.Second))
		t.ApplyList(listOf(8, 1, 2, 3, 4), start.Add(3*time.Second))
		u, _ := t.View().Find("p", addr(1))
		Expect(u.Trust(start.Add(3 * time.Second))).To(Equal(DefaultTrustFloor))
	})

	It("takes a new slow start for upstreams that are already returning", func() {
		s := &Shared{core: t}
		s.ObserveRefused(addr(1), start)
		s.TuneSlowStart(2 * time.Second)
		u, _ := s.View().Find("p", addr(1))
		Expect(u.Trust(start.Add(DefaultRefusedHold + time.Second))).To(BeNumerically("~", 0.5, 0.01))
	})

	It("leaves published views unchanged", func() {
		old := t.View()
		t.ObserveDraining(addr(1), start)
		u, _ := old.Find("p", addr(1))
		Expect(u.Usable(start)).To(BeTrue())
		Expect(json.Marshal(u.State(start))).To(MatchJSON(`"live"`))
		Expect(t.View().Version()).To(Equal(old.Version() + 1))
	})
})

func BenchmarkView12000(b *testing.B) {
	numbers := make([]int, 12000)
	for i := range numbers {
		numbers[i] = i
	}
	l := listOf(1, numbers...)
	b.Run("list", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			t := NewTracker(DefaultOptions("vm"))
			t.ApplyList(l, start)
			t.View()
		}
	})
	b.Run("observation", func(b *testing.B) {
		t := NewTracker(DefaultOptions("vm"))
		t.ApplyList(l, start)
		t.View()
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			t.ObserveRefused(l.Members[i%12000].Address, start.Add(time.Duration(i)*time.Second))
			t.View()
		}
	})
}
