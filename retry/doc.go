// Package retry decides when a call is sent again or hedged, and which of its
// results counts.
//
// A Call is the state machine of one stage of one request. It takes events and
// gives actions; the caller carries them out. A non-idempotent call is sent
// again only if provably not a byte of it reached an upstream. Extra attempts
// are paid from a Budget that all calls of a pool share, so that they can't
// amplify an overload.
//
// Call and Budget are pure: time is passed in and they start nothing. They are
// not safe for concurrent use. SharedBudget wraps a Budget with a mutex for
// traffic goroutines; a Call belongs to its request's goroutine.
//
// Example:
//
//	b := retry.NewSharedBudget(retry.DefaultBudgetOptions())
//	c := retry.NewCall(id, "rerank", policy, b)
//	for _, a := range c.Start(now) { ... }        // Dispatch attempt 1
//	c.Sent(1)                                     // before the first byte is written
//	for _, a := range c.Fail(1, retry.Broken, now) { ... }   // Dispatch or End
//	for _, a := range c.Complete(result, now) { ... }        // Win, Cancel the others
//	for _, a := range c.Tick(now) { ... }         // at c.Wake(): hedge or deadline
//	state := c.State()                            // not_run, ran or unknown
package retry
