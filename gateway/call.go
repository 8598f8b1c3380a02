package gateway

import (
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
	"damaskbridge.example/damaskbridge/placement"
)

// Call is one attempt of a caller's request.
type Call struct {
	// ID identifies the attempt at the caller and at every runner.
	ID     string
	Method string
	// Target is the request target as received. Path is its path component.
	Target string
	Path   string
	Host   string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	// Body is nil if there is none. The gateway drops it once the request cannot be
	// sent again.
	Body *buffers.Body
	// Key is the caller's API key, or "" if none was sent.
	Key string
	// Received is when the request headers arrived.
	Received time.Time
	// Timeout is how long the caller waits for an answer, or 0 if it did not
	// say.
	Timeout time.Duration
	Prompt  placement.Prompt
	// Pieces holds the number of pieces of each stage, by stage index.
	Pieces []int
	// PieceKey identifies the input of the stages that have no predecessors.
	PieceKey string
	// ResumeAfter is the ID of the last event that the caller received, or "" if
	// there is none.
	ResumeAfter string
}

// maxBodyTime is the longest time in which the body of a request may come.
const maxBodyTime = time.Minute

// BodyDeadline returns when the body of the request is of no more use, or has taken too
// long.
func (c *Call) BodyDeadline() time.Time {
	if c.Timeout > 0 {
		return c.Received.Add(min(c.Timeout, maxBodyTime))
	}
	return c.Received.Add(maxBodyTime)
}

// defaultBodyBytes bounds a caller's body until a configuration sets a limit.
const defaultBodyBytes = 4 << 20

// MaxBodyBytes returns the maximum size of a caller's body in bytes.
func (g *Gateway) MaxBodyBytes() int64 {
	if t := g.Table(); t != nil && t.Limits.MaxBodyBytes > 0 {
		return t.Limits.MaxBodyBytes
	}
	return defaultBodyBytes
}
