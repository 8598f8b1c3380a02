package retry

import (
	"testing"
	"time"
)

// BenchmarkCall measures a call whose first attempt succeeds.
func BenchmarkCall(b *testing.B) {
	budget := NewSharedBudget(DefaultBudgetOptions())
	p := Policy{Idempotent: true, MaxAttempts: 3, HedgeAfter: time.Second, Deadline: start.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		c := NewCall(id, "s", p, budget)
		c.Start(start)
		c.Sent(1)
		c.Complete(Result{ReceivedOn: 1, ID: c.AttemptID(1), Valid: true}, start)
	}
}
