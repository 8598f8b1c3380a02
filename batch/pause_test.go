package batch

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/catalog"
)

// Guards against calls to a runner that has asked for a pause.
var _ = ginkgo.It("an assembler calls a runner that pauses after its pause", func() {
	start := time.Now()
	a := NewAssembler(catalog.StageRunner{Slots: 1, MaxBatch: 8, CallTime: 10 * time.Millisecond, Retention: time.Second})
	a.SetRunners([]Runner{{ID: "a", Addr: "a:1", PausedUntil: start.Add(50 * time.Millisecond)}})
	a.Add(start, Item{Ref: 1, Due: start.Add(time.Second), Deadline: start.Add(time.Second)})
	calls, _ := a.Next(start.Add(49 * time.Millisecond))
	Expect(calls).To(BeEmpty())
	Expect(a.NextWake(start)).To(Equal(start.Add(50 * time.Millisecond)))
	Expect(a.Delay(start, &Item{Deadline: start.Add(time.Second)}, 1)).To(Equal(NoRunnerDelay))
	calls, _ = a.Next(start.Add(50 * time.Millisecond))
	Expect(calls).To(HaveLen(1))
})
