package retry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/problem"
)

var _ = Describe("Call with a silent attempt", func() {
	const overlap = 250 * time.Millisecond
	policy := Policy{Idempotent: true, MaxAttempts: 3, MaxOverlap: overlap, Deadline: start.Add(time.Minute)}
	standby := []Action{{Kind: Dispatch, Attempt: 2, Reason: Standby}}
	takeover := []Action{{Kind: Cancel, Attempt: 1, Reason: TakenOver}}
	stalled := func(p Policy) *Call {
		c := NewCall(id, "generate", p, unlimitedBudget{})
		c.Start(start)
		c.Sent(1)
		Expect(c.Stalled(1, start)).To(Equal(standby))
		return c
	}

	// Guards against a sound attempt that is given up because no other can start.
	DescribeTable("keeps it open without a standby", func(change func(*Policy), budget Limiter, denied int) {
		p := policy
		change(&p)
		c := NewCall(id, "generate", p, budget)
		c.Start(start)
		Expect(c.Stalled(1, start)).To(BeEmpty())
		Expect(c.Counts().StandbyDenied).To(Equal(denied))
		Expect(c.Complete(Result{ReceivedOn: 1, ID: c.AttemptID(1), Valid: true}, start)).To(Equal([]Action{{Kind: Win, Attempt: 1, Reason: Won}}))
	},
		Entry("with the budget spent", func(*Policy) {}, NewSharedBudget(BudgetOptions{Window: time.Second}), 1),
		Entry("with the attempts spent", func(p *Policy) { p.MaxAttempts = 1 }, unlimitedBudget{}, 0),
		Entry("near the deadline", func(p *Policy) { p.MinRemaining = time.Hour }, unlimitedBudget{}, 0),
		Entry("if the call may not be repeated", func(p *Policy) { p.Idempotent = false }, unlimitedBudget{}, 0),
	)

	It("keeps it when the standby fails, and starts another one if the silence lasts", func() {
		c := stalled(policy)
		c.Delivered(2, start)
		Expect(c.Fail(2, NotExecuted, start)).To(BeEmpty())
		Expect(c.Tick(start.Add(overlap))).To(BeEmpty())
		Expect(c.Stalled(1, start.Add(overlap))).To(Equal([]Action{{Kind: Dispatch, Attempt: 3, Reason: Standby}}))
		Expect(c.Fail(3, Refused, start)).To(BeEmpty())
		Expect(c.Stalled(1, start.Add(time.Second))).To(BeEmpty())
		Expect(c.Ended()).To(BeFalse())
	})

	// Guards against two engines that work on one request side by side.
	It("ends it when the standby was not refused within the overlap", func() {
		c := stalled(policy)
		Expect(c.Tick(start.Add(time.Second))).To(BeEmpty(), "the standby has not been delivered")
		c.Delivered(2, start.Add(time.Second))
		c.Delivered(2, start.Add(2*time.Second))
		at, ok := c.NextTick()
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(start.Add(time.Second + overlap)))
		Expect(c.Tick(at.Add(-1))).To(BeEmpty())
		Expect(c.Tick(at)).To(Equal(takeover))
		at, _ = c.NextTick()
		Expect(at).To(Equal(policy.Deadline), "the takeover is due again")
		Expect(c.State()).To(Equal(problem.Unknown))
	})

	It("ends it at the standby's first token, and the standby if it goes on first", func() {
		c := stalled(policy)
		Expect(c.Progress(2)).To(Equal(takeover))
		c = stalled(policy)
		c.Delivered(2, start)
		Expect(c.Progress(1)).To(Equal([]Action{{Kind: Cancel, Attempt: 2, Reason: Lost}}))
		Expect(c.Tick(start.Add(overlap))).To(BeEmpty())
	})

	// Guards against a third attempt beside the two that are open.
	It("sends no hedge beside the standby", func() {
		p := policy
		p.HedgeAfter = time.Second
		c := stalled(p)
		at, _ := c.NextTick()
		Expect(at).To(Equal(policy.Deadline))
		Expect(c.Tick(start.Add(2 * time.Second))).To(BeEmpty())
	})

	It("keeps both until the first result if the policy has no overlap", func() {
		p := policy
		p.MaxOverlap = 0
		c := stalled(p)
		c.Delivered(2, start)
		Expect(c.Tick(start.Add(time.Second))).To(BeEmpty())
		Expect(c.Complete(Result{ReceivedOn: 2, ID: c.AttemptID(2), Valid: true}, start)).To(Equal([]Action{{Kind: Win, Attempt: 2, Reason: Won}, takeover[0]}))
	})

	// Guards against a complete stream that ends as failed, because its attempt was
	// cancelled at the moment of its end.
	It("uses the result of a cancelled attempt while the call goes on", func() {
		c := stalled(policy)
		Expect(c.Progress(2)).To(Equal(takeover))
		Expect(c.Complete(Result{ReceivedOn: 1, ID: c.AttemptID(1), Valid: true}, start)).To(Equal([]Action{{Kind: Win, Attempt: 1, Reason: Won}, {Kind: Cancel, Attempt: 2, Reason: Lost}}))
	})

	It("starts a third attempt only when both open ones are silent", func() {
		c := stalled(policy)
		c.Delivered(2, start)
		Expect(c.Stalled(1, start)).To(BeEmpty())
		Expect(c.Stalled(2, start)).To(Equal([]Action{{Kind: Dispatch, Attempt: 3, Reason: Standby}}))
		Expect(c.Tick(start.Add(overlap))).To(BeEmpty(), "a silent standby takes over")
		c.Delivered(3, start)
		Expect(c.Tick(start.Add(overlap))).To(Equal([]Action{{Kind: Cancel, Attempt: 1, Reason: TakenOver}, {Kind: Cancel, Attempt: 2, Reason: TakenOver}}))
	})
})
