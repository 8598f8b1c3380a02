package batch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the memory accounting of a runner", func() {
	var a *Assembler
	ginkgo.BeforeEach(func() {
		a = NewAssembler(testSpec())
		a.SetRunners([]Runner{{ID: "r1", Addr: "a1"}})
	})

	// runCall adds items, lets their call succeed after took and returns the call.
	runCall := func(took time.Duration, items ...Item) Call {
		a.Add(start, items...)
		calls, _ := a.Next(start)
		a.Done(start.Add(took), calls[0], successfulResult(calls[0]))
		return calls[0]
	}
	sized := func(ref uint64, bytes int64) Item { i := newItem(ref, time.Second); i.ResultBytes = bytes; return i }

	ginkgo.It("reports a shortage when another full call does not fit", func() {
		Expect(a.IsLowOnMemory("a1")).To(BeFalse())
		runCall(0, sized(1, 190))
		Expect(a.IsLowOnMemory("a1")).To(BeFalse())
		runCall(0, sized(2, 190))
		Expect(a.IsLowOnMemory("a1")).To(BeTrue())
		Expect(a.IsLowOnMemory("unknown")).To(BeFalse())
	})

	ginkgo.It("releases results that were freed early exactly once", func() {
		runCall(0, newItem(1, time.Second), newItem(2, time.Second))
		a.MarkFreed("a1", []string{"h1"})
		a.MarkFreed("a1", []string{"h1"})
		Expect(a.UsedBytes("a1")).To(Equal(int64(10)))
		Expect(a.WithoutFreed("a1", []string{"h1", "h2", "unknown"})).To(Equal([]string{"h2", "unknown"}))
		a.Release("a1", []string{"h1", "h2"})
		Expect(a.UsedBytes("a1")).To(BeZero())
		Expect(a.WithoutFreed("gone", []string{"h3"})).To(Equal([]string{"h3"}))
	})

	// If two VMs use a runner, a call may have to wait for one of the other VM.
	ginkgo.It("reports a runner as on time while its calls end within the expected time", func() {
		Expect(a.IsOnTime("a1")).To(BeFalse())
		s := testSpec()
		call := runCall(s.Estimate(1), newItem(1, time.Second))
		Expect(a.IsOnTime("a1")).To(BeTrue())
		runCall(2*call.ExpectedDuration, newItem(2, time.Second))
		Expect(a.IsOnTime("a1")).To(BeFalse())
		runCall(call.ExpectedDuration, newItem(3, time.Second))
		Expect(a.IsOnTime("a1")).To(BeTrue())
		a.Add(start, newItem(4, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], CallResult{Refused: true})
		Expect(a.IsOnTime("a1")).To(BeFalse())
	})
})
