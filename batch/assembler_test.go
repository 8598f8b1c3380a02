package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/catalog"
)

var start = time.Unix(1_700_000_000, 0)

func spec() catalog.Pieces {
	return catalog.Pieces{Slots: 1, Batch: 4, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, RoomBytes: 1000, Retention: 4 * time.Second}
}

func item(ref uint64, due time.Duration) Item {
	return Item{Ref: ref, Request: fmt.Sprint(ref), ResultBytes: 10, Due: start.Add(due), Deadline: start.Add(10 * time.Second)}
}

func refs(c Call) []uint64 {
	var list []uint64
	for _, i := range c.Items {
		list = append(list, i.Ref)
	}
	return list
}

// made is a call that succeeds for every item.
func made(c Call) CallResult {
	r := CallResult{}
	for _, i := range c.Items {
		r.Results = append(r.Results, Result{Handle: fmt.Sprint("h", i.Ref)})
	}
	return r
}

// done ends a call whose items stand nowhere else.
func done(a *Assembler, now time.Time, c Call, r CallResult) []End {
	ended, surplus := a.Done(now, c, r)
	Expect(surplus).To(BeEmpty())
	return ended
}

var _ = ginkgo.Describe("an assembler", func() {
	var a *Assembler
	ginkgo.BeforeEach(func() {
		a = NewAssembler(spec())
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1"}})
	})

	ginkgo.It("puts items of several requests into one call, those due first", func() {
		a.Add(start, item(1, 3*time.Second), item(2, time.Second), item(3, 2*time.Second), item(4, 4*time.Second), item(5, 5*time.Second))
		calls, ended := a.Next(start)
		Expect(ended).To(BeEmpty())
		Expect(calls).To(HaveLen(1))
		Expect(refs(calls[0])).To(Equal([]uint64{2, 3, 1, 4}))
		again, _ := a.Next(start)
		Expect(again).To(BeEmpty(), "the runner works on one call at a time")
		Expect(done(a, start, calls[0], made(calls[0]))).To(HaveLen(4))
		next, _ := a.Next(start)
		Expect(refs(next[0])).To(Equal([]uint64{5}))
	})

	ginkgo.It("lets an item that is late wait behind those that can be in time, and not for ever", func() {
		late := item(1, -time.Second)
		a.Add(start, late, item(2, time.Second), item(3, 1500*time.Millisecond), item(4, 2*time.Second), item(5, 2200*time.Millisecond))
		calls, _ := a.Next(start)
		Expect(refs(calls[0])).To(Equal([]uint64{2, 3, 4, 5}))
		a.Add(start, item(6, 4*time.Second))
		a.Done(start, calls[0], made(calls[0]))
		next, _ := a.Next(start)
		Expect(refs(next[0])[0]).To(Equal(uint64(1)))
	})

	// Under overload the front of the queue would hold only items that have just
	// become late while they waited, so that nobody is served in time.
	ginkgo.It("moves an item back that has become late in the queue", func() {
		a.Add(start, item(1, time.Second), item(2, time.Second), item(3, time.Second), item(4, time.Second))
		calls, _ := a.Next(start)
		a.Add(start, item(5, time.Second))
		now := start.Add(900 * time.Millisecond)
		a.Add(now, item(6, 2*time.Second), item(7, 2*time.Second), item(8, 2*time.Second), item(9, 2*time.Second))
		a.Done(now, calls[0], made(calls[0]))
		calls, _ = a.Next(now)
		Expect(refs(calls[0])).To(Equal([]uint64{6, 7, 8, 9}))
		a.Done(now, calls[0], made(calls[0]))
		calls, _ = a.Next(now)
		Expect(refs(calls[0])).To(Equal([]uint64{5}))
	})

	ginkgo.It("moves an item that yields back", func() {
		yielding := item(1, time.Second)
		yielding.Yield = 2 * time.Second
		a.SetSpec(catalog.Pieces{Slots: 1, Batch: 1, RoomBytes: 1000})
		a.Add(start, yielding, item(2, 2*time.Second))
		calls, _ := a.Next(start)
		Expect(refs(calls[0])).To(Equal([]uint64{2}))
	})

	ginkgo.It("ends an item whose deadline has passed without a call", func() {
		i := item(1, time.Second)
		i.Deadline = start.Add(time.Millisecond)
		a.Add(start, i)
		calls, ended := a.Next(start)
		Expect(calls).To(BeEmpty())
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].Result.Reason).To(Equal(Late))
	})

	ginkgo.It("sends no more results to a runner than it has memory for, until they are freed", func() {
		s := spec()
		s.RoomBytes = 100
		a.SetSpec(s)
		big := func(ref uint64) Item { i := item(ref, time.Second); i.ResultBytes = 40; return i }
		a.Add(start, big(1), big(2), big(3))
		calls, _ := a.Next(start)
		Expect(refs(calls[0])).To(Equal([]uint64{1, 2}))
		a.Done(start, calls[0], made(calls[0]))
		none, _ := a.Next(start)
		Expect(none).To(BeEmpty())
		a.Free("a1", []string{"h1"})
		next, _ := a.Next(start)
		Expect(refs(next[0])).To(Equal([]uint64{3}))
	})

	ginkgo.It("forgets a result once its runner drops it", func() {
		s := spec()
		s.RoomBytes = 10
		a.SetSpec(s)
		a.Add(start, item(1, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], made(calls[0]))
		Expect(a.Room("a1")).To(Equal(int64(10)))
		a.Add(start, item(2, 9*time.Second))
		later, _ := a.Next(start.Add(s.Retention + time.Millisecond))
		Expect(refs(later[0])).To(Equal([]uint64{2}))
	})

	// A call that timed out may still leave results at the runner: calls sent
	// there as if its memory were free were refused for want of room.
	ginkgo.It("keeps the memory of a lost call's results accounted while the runner may hold them", func() {
		a.Add(start, item(1, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], CallResult{Lost: true})
		Expect(a.Room("a1")).To(Equal(int64(10)))
		a.Next(start.Add(calls[0].Took + spec().Retention + time.Second))
		Expect(a.Room("a1")).To(BeNumerically("<=", 10))
	})

	ginkgo.It("lets a runner alone after a lost call and tries the items at another", func() {
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		a.Add(start, item(1, time.Second))
		calls, _ := a.Next(start)
		Expect(done(a, start, calls[0], CallResult{Lost: true})).To(BeEmpty())
		next, _ := a.Next(start)
		Expect(next[0].Runner).NotTo(Equal(calls[0].Runner))
	})

	ginkgo.It("tries a runner that was silent with one item first", func() {
		a.Add(start, item(1, time.Second), item(2, time.Second))
		calls, _ := a.Next(start)
		Expect(calls[0].Items).To(HaveLen(2))
		a.Done(start, calls[0], CallResult{Lost: true})
		now := start.Add(firstAvoid)
		probe, _ := a.Next(now)
		Expect(probe[0].Items).To(HaveLen(1))
		a.Done(now, probe[0], made(probe[0]))
		next, _ := a.Next(now)
		Expect(next).To(HaveLen(1))
		a.Done(now, next[0], made(next[0]))
		a.Add(now, item(3, time.Second), item(4, time.Second))
		whole, _ := a.Next(now)
		Expect(whole[0].Items).To(HaveLen(2))
	})

	ginkgo.It("gives an item up after several lost calls", func() {
		a.Add(start, item(1, time.Second))
		now := start
		for n := 0; ; {
			calls, _ := a.Next(now)
			if len(calls) == 0 {
				now = now.Add(100 * time.Millisecond)
				continue
			}
			n++
			if ended := done(a, now, calls[0], CallResult{Lost: true}); len(ended) > 0 {
				Expect(n).To(Equal(maxTries))
				Expect(ended[0].Result.Reason).To(Equal(Failed))
				break
			}
		}
	})

	ginkgo.It("sends nothing to a leaving runner", func() {
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1", Draining: true}})
		a.Add(start, item(1, time.Second))
		calls, _ := a.Next(start)
		Expect(calls).To(BeEmpty())
	})

	ginkgo.It("takes another runner at a known address for a new one without results", func() {
		a.Add(start, item(1, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], made(calls[0]))
		a.SetWorkers([]Worker{{ID: "r9", Addr: "a1"}})
		Expect(a.Room("a1")).To(BeZero())
	})

	ginkgo.It("counts memory as taken for a while that a runner did not have", func() {
		s := spec()
		s.RoomBytes = 100
		a.SetSpec(s)
		wide := func(ref uint64) Item { i := item(ref, time.Second); i.ResultBytes = 47; return i }
		a.Add(start, wide(1), wide(2))
		calls, _ := a.Next(start)
		Expect(calls[0].Items).To(HaveLen(2))
		a.Done(start, calls[0], CallResult{Results: []Result{{Handle: "h1"}, {Reason: NoRoom}}})
		a.Free("a1", []string{"h1"})
		a.Add(start, wide(3))
		next, _ := a.Next(start.Add(time.Second))
		Expect(next[0].Items).To(HaveLen(1))
	})

	ginkgo.It("tells a delay that grows with what is ahead", func() {
		idle := a.Delay(start, &Item{Due: start.Add(time.Hour)}, 1)
		Expect(idle).To(Equal(220 * time.Millisecond))
		for ref := uint64(1); ref <= 12; ref++ {
			a.Add(start, item(ref, time.Second))
		}
		behind := a.Delay(start, &Item{Due: start.Add(time.Hour)}, 1)
		Expect(behind).To(Equal(3*280*time.Millisecond + 220*time.Millisecond))
		urgent := a.Delay(start, &Item{Due: start.Add(500 * time.Millisecond)}, 1)
		Expect(urgent).To(Equal(220 * time.Millisecond))
		a.SetWorkers(nil)
		Expect(a.Delay(start, &Item{}, 1)).To(Equal(NoWorkerDelay))
	})

	// A silent runner held its pieces until the call was given up, 2 s and
	// more, while other runners were free.
	ginkgo.It("tries the items of an overdue call elsewhere and uses the first result", func() {
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		a.Add(start, item(1, time.Second))
		first, _ := a.Next(start)
		early, _ := a.Next(start.Add(300 * time.Millisecond))
		Expect(early).To(BeEmpty())
		now := start.Add(700 * time.Millisecond)
		second, _ := a.Next(now)
		Expect(refs(second[0])).To(Equal([]uint64{1}))
		Expect(second[0].Runner).NotTo(Equal(first[0].Runner))
		ended, surplus := a.Done(now, second[0], made(second[0]))
		Expect(ended).To(HaveLen(1))
		Expect(surplus).To(BeEmpty())
		ended, surplus = a.Done(now, first[0], made(first[0]))
		Expect(ended).To(BeEmpty())
		Expect(surplus).To(Equal([]Result{{Handle: "h1", Runner: first[0].Runner}}))
	})

	ginkgo.It("does not end an item whose other call is still under way", func() {
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		a.Add(start, item(1, time.Second))
		first, _ := a.Next(start)
		now := start.Add(700 * time.Millisecond)
		second, _ := a.Next(now)
		Expect(done(a, now, first[0], CallResult{Lost: true})).To(BeEmpty())
		Expect(a.Waiting()).To(BeZero())
		Expect(done(a, now, second[0], made(second[0]))).To(HaveLen(1))
	})

	ginkgo.It("takes an overdue item off the queue when its first call ends after all", func() {
		a.Add(start, item(1, time.Second))
		first, _ := a.Next(start)
		none, _ := a.Next(start.Add(700 * time.Millisecond))
		Expect(none).To(BeEmpty())
		Expect(a.Waiting()).To(Equal(1))
		Expect(done(a, start.Add(time.Second), first[0], made(first[0]))).To(HaveLen(1))
		Expect(a.Waiting()).To(BeZero())
	})

	ginkgo.It("expects an overdue call to take as long again", func() {
		a.Add(start, item(1, time.Second))
		calls, _ := a.Next(start)
		later := start.Add(calls[0].Took + 400*time.Millisecond)
		Expect(a.Delay(later, &Item{Due: start.Add(time.Hour)}, 1)).To(BeNumerically(">=", 400*time.Millisecond))
	})

	ginkgo.It("cancels waiting items and says which", func() {
		a.Add(start, item(1, time.Second), item(2, time.Second))
		Expect(a.Cancel(map[uint64]bool{2: true, 7: true})).To(Equal([]uint64{2}))
		Expect(a.Waiting()).To(Equal(1))
	})
})

// Whatever happens to calls, each item ends exactly once, no call exceeds the
// batch or the runner's slots, and the accounted memory returns to 0.
func TestEveryItemEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
		s.RoomBytes = int64(rapid.IntRange(20, 200).Draw(t, "room"))
		a := NewAssembler(s)
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		now := start
		ended := map[uint64]int{}
		var added uint64
		var open []Call
		count := func(list []End) {
			for _, e := range list {
				ended[e.Item.Ref]++
				if e.Result.Handle != "" {
					a.Free(e.Result.Runner, []string{e.Result.Handle})
				}
			}
		}
		pump := func() {
			calls, late := a.Next(now)
			count(late)
			open = append(open, calls...)
			busy := map[string]int{}
			for _, c := range open {
				busy[c.Runner]++
				if len(c.Items) == 0 || len(c.Items) > s.Batch || busy[c.Runner] > s.Slots {
					t.Fatalf("call of %d items, %d calls at %s", len(c.Items), busy[c.Runner], c.Runner)
				}
			}
		}
		finish := func(result func(Call) CallResult) {
			c := open[0]
			open = open[1:]
			list, surplus := a.Done(now, c, result(c))
			for _, r := range surplus {
				a.Free(r.Runner, []string{r.Handle})
			}
			count(list)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				added++
				i := item(added, 0)
				i.Due = now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, "due")) * time.Millisecond)
				i.Deadline = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "left")) * time.Millisecond)
				a.Add(now, i)
				pump()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				pump()
			},
			"end a call": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no call is under way")
				}
				kind := rapid.SampledFrom([]string{"made", "lost", "refused", "no room"}).Draw(t, "end")
				finish(func(c Call) CallResult {
					switch kind {
					case "lost":
						return CallResult{Lost: true}
					case "refused":
						return CallResult{Refused: true}
					case "no room":
						r := made(c)
						r.Results[0] = Result{Reason: NoRoom}
						return r
					}
					return made(c)
				})
				pump()
			},
		})
		for range 100 {
			now = now.Add(time.Second)
			for len(open) > 0 {
				finish(made)
			}
			pump()
		}
		for ref := uint64(1); ref <= added; ref++ {
			if ended[ref] != 1 {
				t.Fatalf("item %d ended %d times", ref, ended[ref])
			}
		}
		a.Next(now.Add(time.Minute))
		if room := a.Room("a1") + a.Room("a2"); room != 0 {
			t.Fatalf("%d bytes are still accounted", room)
		}
	})
}
