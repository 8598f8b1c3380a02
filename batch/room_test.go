package batch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the memory of a runner", func() {
	var a *Assembler
	ginkgo.BeforeEach(func() {
		a = NewAssembler(spec())
		a.SetWorkers([]Worker{{ID: "r1", Addr: "a1"}})
	})

	// make has items made and gives the call.
	makeItems := func(took time.Duration, items ...Item) Call {
		a.Add(start, items...)
		calls, _ := a.Next(start)
		a.Done(start.Add(took), calls[0], made(calls[0]))
		return calls[0]
	}
	sized := func(ref uint64, bytes int64) Item { i := item(ref, time.Second); i.ResultBytes = bytes; return i }

	ginkgo.It("is short when another full call does not fit", func() {
		Expect(a.IsShort("a1")).To(BeFalse())
		makeItems(0, sized(1, 190))
		Expect(a.IsShort("a1")).To(BeFalse())
		makeItems(0, sized(2, 190))
		Expect(a.IsShort("a1")).To(BeTrue())
		Expect(a.IsShort("unknown")).To(BeFalse())
	})

	ginkgo.It("is given back by results that were freed early, once", func() {
		makeItems(0, item(1, time.Second), item(2, time.Second))
		a.Freed("a1", []string{"h1"})
		a.Freed("a1", []string{"h1"})
		Expect(a.Room("a1")).To(Equal(int64(10)))
		Expect(a.Kept("a1", []string{"h1", "h2", "unknown"})).To(Equal([]string{"h2", "unknown"}))
		a.Free("a1", []string{"h1", "h2"})
		Expect(a.Room("a1")).To(BeZero())
		Expect(a.Kept("gone", []string{"h3"})).To(Equal([]string{"h3"}))
	})

	// A runner that two VMs use works on a call after the other VM's.
	ginkgo.It("belongs to a prompt runner while calls end when they are expected to", func() {
		Expect(a.IsPrompt("a1")).To(BeFalse())
		s := spec()
		call := makeItems(s.Estimate(1), item(1, time.Second))
		Expect(a.IsPrompt("a1")).To(BeTrue())
		makeItems(2*call.Took, item(2, time.Second))
		Expect(a.IsPrompt("a1")).To(BeFalse())
		makeItems(call.Took, item(3, time.Second))
		Expect(a.IsPrompt("a1")).To(BeTrue())
		a.Add(start, item(4, time.Second))
		calls, _ := a.Next(start)
		a.Done(start, calls[0], CallResult{Refused: true})
		Expect(a.IsPrompt("a1")).To(BeFalse())
	})
})
