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

func testSpec() catalog.StageRunner {
	return catalog.StageRunner{Slots: 1, MaxBatch: 4, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultMemoryBytes: 1000, Retention: 4 * time.Second}
}

func newItem(ref uint64, due time.Duration) Item {
	return Item{Ref: ref, Request: fmt.Sprint(ref), ResultBytes: 10, Due: start.Add(due), Deadline: start.Add(10 * time.Second)}
}

func itemRefs(c Call) []uint64 {
	var list []uint64
	for _, i := range c.Items {
		list = append(list, i.Ref)
	}
	return list
}

// successfulResult returns a result for every item of the call.
func successfulResult(c Call) CallResult {
	r := CallResult{}
	for _, i := range c.Items {
		r.Results = append(r.Results, Result{Handle: fmt.Sprint("h", i.Ref)})
	}
	return r
}

// endCall ends a call and expects no unneeded results.
func endCall(a *Assembler, now time.Time, c Call, r CallResult) []EndedItem {
	ended, unneeded := a.Done(now, c, r)
	Expect(unneeded).To(BeEmpty())
	return ended
}

var _ = ginkgo.Describe("an assembler", func() {
	var a *Assembler
	ginkgo.BeforeEach(func() {
		a = NewAssembler(testSpec())
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1"}})
	})

	ginkgo.It("batches items of several requests into one call in order of their due times", func() {
		a.Add(start, newItem(1, 3*time.Second), newItem(2, time.Second), newItem(3, 2*time.Second), newItem(4, 4*time.Second), newItem(5, 5*time.Second))
		calls, ended := a.Next(start)
		Expect(ended).To(BeEmpty())
		Expect(calls).To(HaveLen(1))
		Expect(itemRefs(calls[0])).To(Equal([]uint64{2, 3, 1, 4}))
		again, _ := a.Next(start)
		Expect(again).To(BeEmpty(), "the runner works on one call at a time")
		Expect(endCall(a, start, calls[0], successfulResult(calls[0]))).To(HaveLen(4))
		next, _ := a.Next(start)
		Expect(itemRefs(next[0])).To(Equal([]uint64{5}))
	})

	ginkgo.It("orders a late item behind items that can be on time, but not behind all later ones", func() {
		late := newItem(1, -time.Second)
		a.Add(start, late, newItem(2, time.Second), newItem(3, 1500*time.Millisecond), newItem(4, 2*time.Second), newItem(5, 2200*time.Millisecond))
		calls, _ := a.Next(start)
		Expect(itemRefs(calls[0])).To(Equal([]uint64{2, 3, 4, 5}))
		a.Add(start, newItem(6, 4*time.Second))
		a.Done(start, calls[0], successfulResult(calls[0]))
		next, _ := a.Next(start)
		Expect(itemRefs(next[0])[0]).To(Equal(uint64(1)))
	})

	// Guards against an overloaded queue whose front holds only items that became
	// late while they waited, so that no item is served on time.
	ginkgo.It("demotes an item that becomes late in the queue", func() {
		a.Add(start, newItem(1, time.Second), newItem(2, time.Second), newItem(3, time.Second), newItem(4, time.Second))
		calls, _ := a.Next(start)
		a.Add(start, newItem(5, time.Second))
		now := start.Add(900 * time.Millisecond)
		a.Add(now, newItem(6, 2*time.Second), newItem(7, 2*time.Second), newItem(8, 2*time.Second), newItem(9, 2*time.Second))
		a.Done(now, calls[0], successfulResult(calls[0]))
		calls, _ = a.Next(now)
		Expect(itemRefs(calls[0])).To(Equal([]uint64{6, 7, 8, 9}))
		a.Done(now, calls[0], successfulResult(calls[0]))
		calls, _ = a.Next(now)
		Expect(itemRefs(calls[0])).To(Equal([]uint64{5}))
	})

	ginkgo.It("orders an item by its due time plus its yield time", func() {
		yielding := newItem(1, time.Second)
		yielding.YieldTime = 2 * time.Second
		a.SetSpec(catalog.StageRunner{Slots: 1, MaxBatch: 1, ResultMemoryBytes: 1000})
		a.Add(start, yielding, newItem(2, 2*time.Second))
		calls, _ := a.Next(start)
		Expect(itemRefs(calls[0])).To(Equal([]uint64{2}))
	})

	ginkgo.It("ends an item without a call after its deadline", func() {
		i := newItem(1, time.Second)
		i.Deadline = start.Add(time.Millisecond)
		a.Add(start, i)
		calls, ended := a.Next(start)
		Expect(calls).To(BeEmpty())
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].Result.Reason).To(Equal(Late))
	})

	ginkgo.It("sends a runner no more items than its memory can hold results for, until results are freed", func() {
		s := testSpec()
		s.ResultMemoryBytes = 100
		a.SetSpec(s)
		big := func(ref uint64) Item { i := newItem(ref, time.Second); i.ResultBytes = 40; return i }
		a.Add(start, big(1), big(2), big(3))
		calls, _ := a.Next(start)
		Expect(itemRefs(calls[0])).To(Equal([]uint64{1, 2}))
		a.Done(start, calls[0], successfulResult(calls[0]))
		none, _ := a.Next(start)
		Expect(none).To(BeEmpty())
		a.Release("a1", []string{"h1"})
		next, _ := a.Next(start)
		Expect(itemRefs(next[0])).To(Equal([]uint64{3}))
	})

	ginkgo.It("stops accounting for a result when its retention at the runner ends", func() {
		s := testSpec()
		s.ResultMemoryBytes = 10
		a.SetSpec(s)
		a.Add(start, newItem(1, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], successfulResult(calls[0]))
		Expect(a.UsedBytes("a1")).To(Equal(int64(10)))
		a.Add(start, newItem(2, 9*time.Second))
		later, _ := a.Next(start.Add(s.Retention + time.Millisecond))
		Expect(itemRefs(later[0])).To(Equal([]uint64{2}))
	})

	// A call that timed out may still leave results at the runner. Guards against
	// calls that are refused for lack of memory because those were not accounted.
	ginkgo.It("accounts the results of a lost call while the runner may hold them", func() {
		a.Add(start, newItem(1, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], CallResult{Lost: true})
		Expect(a.UsedBytes("a1")).To(Equal(int64(10)))
		a.Next(start.Add(calls[0].ExpectedDuration + testSpec().Retention + time.Second))
		Expect(a.UsedBytes("a1")).To(BeNumerically("<=", 10))
	})

	ginkgo.It("backs off from a runner after a lost call and sends the items to another one", func() {
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		a.Add(start, newItem(1, time.Second))
		calls, _ := a.Next(start)
		Expect(endCall(a, start, calls[0], CallResult{Lost: true})).To(BeEmpty())
		next, _ := a.Next(start)
		Expect(next[0].Runner).NotTo(Equal(calls[0].Runner))
	})

	ginkgo.It("probes a runner with a single item after a lost call", func() {
		a.Add(start, newItem(1, time.Second), newItem(2, time.Second))
		calls, _ := a.Next(start)
		Expect(calls[0].Items).To(HaveLen(2))
		a.Done(start, calls[0], CallResult{Lost: true})
		now := start.Add(initialBackoff)
		probe, _ := a.Next(now)
		Expect(probe[0].Items).To(HaveLen(1))
		a.Done(now, probe[0], successfulResult(probe[0]))
		next, _ := a.Next(now)
		Expect(next).To(HaveLen(1))
		a.Done(now, next[0], successfulResult(next[0]))
		a.Add(now, newItem(3, time.Second), newItem(4, time.Second))
		whole, _ := a.Next(now)
		Expect(whole[0].Items).To(HaveLen(2))
	})

	ginkgo.It("fails an item after the maximum number of lost calls", func() {
		a.Add(start, newItem(1, time.Second))
		now := start
		for n := 0; ; {
			calls, _ := a.Next(now)
			if len(calls) == 0 {
				now = now.Add(100 * time.Millisecond)
				continue
			}
			n++
			if ended := endCall(a, now, calls[0], CallResult{Lost: true}); len(ended) > 0 {
				Expect(n).To(Equal(maxAttempts))
				Expect(ended[0].Result.Reason).To(Equal(Failed))
				break
			}
		}
	})

	ginkgo.It("sends nothing to a draining runner", func() {
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1", Draining: true}})
		a.Add(start, newItem(1, time.Second))
		calls, _ := a.Next(start)
		Expect(calls).To(BeEmpty())
	})

	ginkgo.It("resets the state of an address when the runner's ID changes", func() {
		a.Add(start, newItem(1, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], successfulResult(calls[0]))
		a.SetRunners([]Runner{{ID: "r9", Addr: "a1"}})
		Expect(a.UsedBytes("a1")).To(BeZero())
	})

	ginkgo.It("counts memory as used for a while after a runner was unexpectedly out of memory", func() {
		s := testSpec()
		s.ResultMemoryBytes = 100
		a.SetSpec(s)
		wide := func(ref uint64) Item { i := newItem(ref, time.Second); i.ResultBytes = 47; return i }
		a.Add(start, wide(1), wide(2))
		calls, _ := a.Next(start)
		Expect(calls[0].Items).To(HaveLen(2))
		a.Done(start, calls[0], CallResult{Results: []Result{{Handle: "h1"}, {Reason: OutOfMemory}}})
		a.Release("a1", []string{"h1"})
		a.Add(start, wide(3))
		next, _ := a.Next(start.Add(time.Second))
		Expect(next[0].Items).To(HaveLen(1))
	})

	ginkgo.It("returns a delay that grows with the queue ahead of the item", func() {
		idle := a.Delay(start, &Item{Due: start.Add(time.Hour)}, 1)
		Expect(idle).To(Equal(220 * time.Millisecond))
		for ref := uint64(1); ref <= 12; ref++ {
			a.Add(start, newItem(ref, time.Second))
		}
		behind := a.Delay(start, &Item{Due: start.Add(time.Hour)}, 1)
		Expect(behind).To(Equal(3*280*time.Millisecond + 220*time.Millisecond))
		urgent := a.Delay(start, &Item{Due: start.Add(500 * time.Millisecond)}, 1)
		Expect(urgent).To(Equal(220 * time.Millisecond))
		a.SetRunners(nil)
		Expect(a.Delay(start, &Item{}, 1)).To(Equal(NoRunnerDelay))
	})

	// Guards against a runner that does not respond and holds its pieces for 2 s or
	// more, until the call times out, while other runners are idle.
	ginkgo.It("sends the items of an overdue call to another runner and uses the first result", func() {
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		a.Add(start, newItem(1, time.Second))
		first, _ := a.Next(start)
		early, _ := a.Next(start.Add(300 * time.Millisecond))
		Expect(early).To(BeEmpty())
		now := start.Add(700 * time.Millisecond)
		second, _ := a.Next(now)
		Expect(itemRefs(second[0])).To(Equal([]uint64{1}))
		Expect(second[0].Runner).NotTo(Equal(first[0].Runner))
		ended, unneeded := a.Done(now, second[0], successfulResult(second[0]))
		Expect(ended).To(HaveLen(1))
		Expect(unneeded).To(BeEmpty())
		ended, unneeded = a.Done(now, first[0], successfulResult(first[0]))
		Expect(ended).To(BeEmpty())
		Expect(unneeded).To(Equal([]Result{{Handle: "h1", Runner: first[0].Runner}}))
	})

	ginkgo.It("does not end an item while another call still holds it", func() {
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		a.Add(start, newItem(1, time.Second))
		first, _ := a.Next(start)
		now := start.Add(700 * time.Millisecond)
		second, _ := a.Next(now)
		Expect(endCall(a, now, first[0], CallResult{Lost: true})).To(BeEmpty())
		Expect(a.QueueLen()).To(BeZero())
		Expect(endCall(a, now, second[0], successfulResult(second[0]))).To(HaveLen(1))
	})

	ginkgo.It("removes an overdue item from the queue when its first call returns a result", func() {
		a.Add(start, newItem(1, time.Second))
		first, _ := a.Next(start)
		none, _ := a.Next(start.Add(700 * time.Millisecond))
		Expect(none).To(BeEmpty())
		Expect(a.QueueLen()).To(Equal(1))
		Expect(endCall(a, start.Add(time.Second), first[0], successfulResult(first[0]))).To(HaveLen(1))
		Expect(a.QueueLen()).To(BeZero())
	})

	ginkgo.It("expects an overdue call to take as long again as it is overdue", func() {
		a.Add(start, newItem(1, time.Second))
		calls, _ := a.Next(start)
		later := start.Add(calls[0].ExpectedDuration + 400*time.Millisecond)
		Expect(a.Delay(later, &Item{Due: start.Add(time.Hour)}, 1)).To(BeNumerically(">=", 400*time.Millisecond))
	})

	ginkgo.It("cancels waiting items and returns their refs", func() {
		a.Add(start, newItem(1, time.Second), newItem(2, time.Second))
		Expect(a.Cancel(map[uint64]bool{2: true, 7: true})).To(Equal([]uint64{2}))
		Expect(a.QueueLen()).To(Equal(1))
	})
})

// Guards against lost and duplicated ends under random sequences of call
// outcomes: each item ends exactly once, no call exceeds the batch size or the
// runner's slots, and the accounted memory returns to 0.
func TestEveryItemEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSpec()
		s.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
		s.ResultMemoryBytes = int64(rapid.IntRange(20, 200).Draw(t, "room"))
		a := NewAssembler(s)
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1"}, {ID: "r2", Addr: "a2"}})
		now := start
		ended := map[uint64]int{}
		var added uint64
		var open []Call
		countEnds := func(list []EndedItem) {
			for _, e := range list {
				ended[e.Item.Ref]++
				if e.Result.Handle != "" {
					a.Release(e.Result.Runner, []string{e.Result.Handle})
				}
			}
		}
		sendNext := func() {
			calls, expired := a.Next(now)
			countEnds(expired)
			open = append(open, calls...)
			busy := map[string]int{}
			for _, c := range open {
				busy[c.Runner]++
				if len(c.Items) == 0 || len(c.Items) > s.MaxBatch || busy[c.Runner] > s.Slots {
					t.Fatalf("call with %d items, %d calls at runner %s", len(c.Items), busy[c.Runner], c.Runner)
				}
			}
		}
		endFirst := func(result func(Call) CallResult) {
			c := open[0]
			open = open[1:]
			list, unneeded := a.Done(now, c, result(c))
			for _, r := range unneeded {
				a.Release(r.Runner, []string{r.Handle})
			}
			countEnds(list)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				added++
				i := newItem(added, 0)
				i.Due = now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(t, "due")) * time.Millisecond)
				i.Deadline = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "left")) * time.Millisecond)
				a.Add(now, i)
				sendNext()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				sendNext()
			},
			"end a call": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no call is under way")
				}
				outcome := rapid.SampledFrom([]string{"made", "lost", "refused", "no room"}).Draw(t, "end")
				endFirst(func(c Call) CallResult {
					switch outcome {
					case "lost":
						return CallResult{Lost: true}
					case "refused":
						return CallResult{Refused: true}
					case "no room":
						r := successfulResult(c)
						r.Results[0] = Result{Reason: OutOfMemory}
						return r
					}
					return successfulResult(c)
				})
				sendNext()
			},
		})
		for range 100 {
			now = now.Add(time.Second)
			for len(open) > 0 {
				endFirst(successfulResult)
			}
			sendNext()
		}
		for ref := uint64(1); ref <= added; ref++ {
			if ended[ref] != 1 {
				t.Fatalf("item %d ended %d times, want once", ref, ended[ref])
			}
		}
		a.Next(now.Add(time.Minute))
		if used := a.UsedBytes("a1") + a.UsedBytes("a2"); used != 0 {
			t.Fatalf("%d bytes are still accounted after all items have ended", used)
		}
	})
}
