package catalog

import "time"

// Service is a group of runners that do the same work.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is the maximum number of connections that one runner accepts from
	// all of its clients together.
	MaxConns int
	// WarmUp is set for services whose runners bear little right after a start.
	WarmUp *WarmUp
	// Engine is set for services that generate tokens.
	Engine *Engine
	// StageRunner is set for services that run stages.
	StageRunner *StageRunner
}

// WarmUp describes runners that have just started.
type WarmUp struct {
	// Time is how long a runner stays cold after its start.
	Time time.Duration
	// PerSecond is the rate of requests that a cold runner bears.
	PerSecond float64
}

// Engine describes the runners of a service that generates tokens.
type Engine struct {
	// Slots is the maximum number of requests that one runner batches.
	Slots int
	// KVTokens is the capacity of one runner's KV cache in tokens.
	KVTokens int64
	// MaxReservation is how long a runner keeps room for a request that is to come,
	// 0 if it cannot be asked to.
	MaxReservation time.Duration
}

// StageRunner describes the runners of a service that runs stages. A call to
// such a runner processes a batch of work items, the pieces.
type StageRunner struct {
	// Slots is the number of calls that one runner processes concurrently,
	// MaxQueue the number of further calls that may wait at the runner.
	Slots    int
	MaxQueue int
	// MaxBatch is the maximum number of pieces in one call.
	MaxBatch int
	// CallTime is the fixed part of the duration of a call, PieceTime the part
	// for each piece.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemoryBytes is the memory of one runner for results in bytes.
	ResultMemoryBytes int64
	// Retention is how long an unused result is kept after its call.
	Retention time.Duration
}

// maxEstimate is the longest duration that Estimate returns. Sums of it over the stages
// of a route do not overflow.
const maxEstimate = 24 * time.Hour

// Estimate returns the estimated duration of a call with n pieces, at most maxEstimate.
// n may be any number: callers choose it.
func (r *StageRunner) Estimate(n int) time.Duration {
	estimate := float64(r.CallTime) + float64(max(n, 0))*float64(r.PieceTime)
	return time.Duration(min(estimate, float64(maxEstimate)))
}
