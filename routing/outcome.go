package routing

import "time"

// Result classifies the end of an attempt for the router.
type Result uint8

// Results of an attempt.
const (
	// Success is a complete and valid response.
	Success Result = iota
	// Failure is a broken or invalid response, a 5xx, a stall or a timeout.
	Failure
	// ConnectFailure means that no connection was established.
	ConnectFailure
	// Overloaded is a 429. It carries no information about the upstream's health.
	Overloaded
	// Cancelled means that the VM abandoned the attempt, as with a hedge that
	// lost. It counts as neither success nor failure, but its latency is
	// recorded if it already exceeds the expected latency of the upstream.
	Cancelled
)

// Outcome describes the end of an attempt.
type Outcome struct {
	Result Result
	// Latency must be comparable between the requests of a pool: the time to the
	// first token for engines, otherwise the whole time. For Cancelled it is the
	// time until the cancellation.
	Latency time.Duration
}

// Load is a load report of an upstream.
type Load struct {
	Running, Waiting int
	// At is the time of the measurement by the upstream's clock. A time in the
	// future is replaced by the time of arrival.
	At time.Time
}

// CacheEvent is one entry of the response to GET /cache/events.
type CacheEvent struct {
	Seq uint64
	// Stored is true if the block was stored and false if it was evicted.
	Stored bool
	// Prefix is the hash of the prompt prefix that ends with the block.
	Prefix uint64
	At     time.Time
}
