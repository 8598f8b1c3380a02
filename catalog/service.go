package catalog

import "time"

// Service is a group of runners that do the same work.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is how many connections one runner takes from all callers.
	MaxConns int
	// Engine is set for services that generate.
	Engine *Engine
	// Pieces is set for services that run stages.
	Pieces *Pieces
}

// Engine describes the runners of a generating service.
type Engine struct {
	// Slots is how many requests one runner batches.
	Slots int
	// KVTokens is how many tokens one runner's memory holds.
	KVTokens int64
}

// Pieces describes the runners of a stage's service.
type Pieces struct {
	// Slots is how many calls one runner works on at a time, Queue how many
	// may wait there.
	Slots int
	Queue int
	// Batch is how many pieces one call may hold.
	Batch int
	// CallTime is the fixed part of a call's time, PieceTime the part of each
	// piece.
	CallTime  time.Duration
	PieceTime time.Duration
	// RoomBytes is the memory of one runner for results.
	RoomBytes int64
	// Retention is how long an unused result is kept after its call.
	Retention time.Duration
}

// Estimate gives the time of a call with n pieces.
func (p *Pieces) Estimate(n int) time.Duration {
	return p.CallTime + time.Duration(n)*p.PieceTime
}
