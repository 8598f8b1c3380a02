package retry_test

import (
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/retry"
)

// TestProgressStopsHedges guards against engines that go on working for an
// attempt after another one has begun to stream.
func TestProgressStopsHedges(t *testing.T) {
	now := time.Unix(0, 0)
	policy := retry.Policy{Idempotent: true, MaxAttempts: 3, HedgeAfter: time.Second}
	c := retry.NewCall(ids.RequestID{}, "generate", policy, retry.NewSharedBudget(retry.DefaultBudgetOptions()))
	c.Start(now)
	if got := c.Tick(now.Add(2 * time.Second)); len(got) != 1 || got[0].Reason != retry.Hedge {
		t.Fatalf("no hedge after the hedge time: %v", got)
	}
	got := c.Progress(2)
	if len(got) != 1 || got[0].Kind != retry.Cancel || got[0].Attempt != 1 {
		t.Fatalf("the other attempt is not cancelled: %v", got)
	}
	if at, ok := c.Wake(); ok {
		t.Fatalf("a hedge is due at %v although the stream has begun", at)
	}
	if again := c.Fail(2, retry.Stalled, now.Add(3*time.Second)); len(again) != 1 || again[0].Kind != retry.Dispatch {
		t.Fatalf("a stalled stream is not continued by another attempt: %v", again)
	}
}
