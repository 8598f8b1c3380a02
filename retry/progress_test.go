package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
)

var _ = Describe("Call with progress", func() {
	// Guards against engines that keep generating for one attempt after another
	// attempt has started to stream.
	It("cancels the other attempt and stops hedges, and continues a stalled stream", func() {
		now := time.Unix(0, 0)
		policy := Policy{Idempotent: true, MaxAttempts: 3, HedgeAfter: time.Second}
		c := NewCall(ids.RequestID{}, "generate", policy, NewSharedBudget(DefaultBudgetOptions()))
		c.Start(now)
		hedges := c.Tick(now.Add(2 * time.Second))
		Expect(hedges).To(HaveLen(1), "no hedge after the hedge time")
		Expect(hedges[0].Reason).To(Equal(Hedge), "no hedge after the hedge time")
		cancels := c.Progress(2)
		Expect(cancels).To(HaveLen(1), "the other attempt is not cancelled")
		Expect(cancels[0].Kind).To(Equal(Cancel), "the other attempt is not cancelled")
		Expect(cancels[0].Attempt).To(Equal(1), "the other attempt is not cancelled")
		at, ok := c.NextTick()
		Expect(ok).To(BeFalse(), "a hedge is due at %v although the stream has begun", at)
		again := c.Stalled(2, now.Add(3*time.Second))
		Expect(again).To(HaveLen(1), "a stalled stream is not continued by another attempt")
		Expect(again[0].Kind).To(Equal(Dispatch), "a stalled stream is not continued by another attempt")
		Expect(again[0].Attempt).To(Equal(3), "a stalled stream is not continued by another attempt")
	})
})
