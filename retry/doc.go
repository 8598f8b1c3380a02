// Package retry decides when a call is retried or hedged, and which result is
// used.
//
// Call is a state machine for one stage of one request: it takes events and
// returns actions for its caller to carry out. A non-idempotent call is retried
// only if provably no upstream executed it. Extra attempts are limited by a
// Budget that all calls of a pool share, so that they can't amplify an overload.
//
// Call and Budget do no I/O and start no goroutines; the current time is passed
// in. They are not safe for concurrent use. SharedBudget wraps a Budget with a
// mutex; a Call belongs to the goroutine of its request.
//
// Example:
//
//	b := retry.NewSharedBudget(retry.DefaultBudgetOptions())
//	c := retry.NewCall(id, "rerank", policy, b)
//	for _, a := range c.Start(now) { ... }        // Dispatch attempt 1
//	c.Sent(1)                                     // before the first byte is written
//	for _, a := range c.Fail(1, retry.Broken, now) { ... }   // Dispatch or End
//	for _, a := range c.Complete(result, now) { ... }        // Win, Cancel the others
//	for _, a := range c.Stalled(1, now) { ... }              // silent: Dispatch a standby beside it
//	for _, a := range c.Tick(now) { ... }         // at c.NextTick(): hedge, takeover or deadline
//	state := c.State()                            // not_run, ran or unknown
package retry
