package routing

import "time"

// Result says how an attempt ended, as far as it concerns the upstream.
type Result uint8

// Results of an attempt.
const (
	// Success is a complete and valid response.
	Success Result = iota
	// Failure is a broken or invalid response, a 5xx, a stall or a timeout.
	Failure
	// ConnectFailure means that no connection was made.
	ConnectFailure
	// Overloaded is a 429; it says nothing about the upstream's health.
	Overloaded
	// Cancelled means that the VM gave the attempt up, as with a lost hedge.
	// It counts neither for nor against the upstream, but a latency that has
	// already exceeded the upstream's usual one is kept.
	Cancelled
)

// Outcome ends an attempt.
type Outcome struct {
	Result Result
	// Latency must be comparable between the requests of a pool: for engines
	// the time to the first token, else the whole time. For Cancelled it is the
	// time until the cancellation.
	Latency time.Duration
}

// Load is one load report of an upstream.
type Load struct {
	Running, Waiting int
	// At is when the upstream measured, by its own clock. A time in the future
	// is taken as the time of arrival.
	At time.Time
}

// CacheEvent is one entry of GET /cache/events.
type CacheEvent struct {
	Seq    uint64
	Stored bool
	Prefix uint64
	At     time.Time
}
