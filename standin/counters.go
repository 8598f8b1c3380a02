package standin

// Counters says what a simulator really did.
type Counters struct {
	// Seen counts calls that arrived, also those that were rejected.
	Seen int64 `json:"seen"`
	// Rejected counts calls that were answered with Damask-Not-Executed.
	Rejected int64 `json:"rejected"`
	// Executed counts calls whose work began.
	Executed int64 `json:"executed"`
	// Finished counts calls whose work was completed.
	Finished int64 `json:"finished"`
	// Cancelled counts calls whose work was stopped before it was complete.
	Cancelled int64 `json:"cancelled"`
	// FinishedAfterGone counts calls whose work was completed after their
	// caller had closed the connection.
	FinishedAfterGone int64 `json:"finished_after_gone"`
	// Tokens counts generated tokens.
	Tokens int64 `json:"tokens"`
	// TokensAfterGone counts tokens generated after the caller had gone.
	TokensAfterGone int64 `json:"tokens_after_gone"`
	// PrefillTokens counts prompt tokens that were not in the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	// CachedTokens counts prompt tokens that were in the prefix cache.
	CachedTokens int64 `json:"cached_tokens"`
	// PausedGone counts streams whose caller left while FaultPause held them back.
	PausedGone int64 `json:"paused_gone"`
	// StaleOrders counts orders that were executed although their fencing
	// token was lower than one seen before.
	StaleOrders int64 `json:"stale_orders"`
	// RefusedOrders counts orders rejected for their fencing token or expiry.
	RefusedOrders int64 `json:"refused_orders"`
}

// Add adds o to c.
func (c *Counters) Add(o Counters) {
	c.Seen += o.Seen
	c.Rejected += o.Rejected
	c.Executed += o.Executed
	c.Finished += o.Finished
	c.Cancelled += o.Cancelled
	c.FinishedAfterGone += o.FinishedAfterGone
	c.Tokens += o.Tokens
	c.TokensAfterGone += o.TokensAfterGone
	c.PrefillTokens += o.PrefillTokens
	c.CachedTokens += o.CachedTokens
	c.PausedGone += o.PausedGone
	c.StaleOrders += o.StaleOrders
	c.RefusedOrders += o.RefusedOrders
}
