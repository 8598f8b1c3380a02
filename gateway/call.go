package gateway

import (
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/placement"
)

// Call is one attempt of a caller.
type Call struct {
	// ID names the attempt at the caller and at every runner.
	ID     string
	Method string
	// Target is the request target as sent; Path is its path.
	Target string
	Path   string
	Host   string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty if none was sent.
	Key string
	// Received is when the request's head had arrived.
	Received time.Time
	// Patience is how long the caller waits, 0 if it did not say.
	Patience time.Duration
	Prompt   placement.Prompt
	// Pieces is the number of pieces of each stage, by position.
	Pieces []int
	// PieceKey names the input of the first stages.
	PieceKey string
	// ResumeAfter is the id of the last event that the caller has, "" if none.
	ResumeAfter string
}
