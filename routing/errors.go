package routing

import (
	"fmt"
	"time"
)

// NoCandidateError reports that no upstream of the pool can serve the request.
type NoCandidateError struct {
	Pool string
	// PoolSize is the number of upstreams in the source's view of the pool.
	PoolSize int
	// Dropped counts the upstreams by the name of the filter that dropped them.
	Dropped map[string]int
	// RetryAfter is the time until the next probe is due; 0 if none is.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("routing: none of the %d upstreams of pool %q can take the request, dropped by %v; retry after %v or check the pool's upstreams",
		e.PoolSize, e.Pool, e.Dropped, e.RetryAfter)
}
