package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/advice"
	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/exchange"
	"damaskbridge.example/damaskbridge/execution"
	"damaskbridge.example/damaskbridge/placement"
)

// Dispatch is one request to one runner.
type Dispatch struct {
	Call *Call
	// RunnerID is the ID of the runner that may execute the request, Addr the
	// address where it listens.
	RunnerID  string
	Addr      string
	Workspace string
	// TimeLeft is the time within which an answer is still useful.
	TimeLeft time.Duration
	// Priority is the priority of the request at the runner, 0 being the highest.
	// HasPriority reports whether the runner supports priorities.
	Priority    int
	HasPriority bool
	// Inputs are the handles of the results of the final stages. HasInputs
	// reports whether the route has stages.
	Inputs    []string
	HasInputs bool
	// ResumeAfter is the ID of the event after which the stream continues, or ""
	// to start from the beginning.
	ResumeAfter string
	// Reservation names the room that the runner keeps for the request, "" for none.
	Reservation string
	// CacheAddr is the address of a runner from which cached parts of the prompt
	// can be fetched instead of being processed again, or "" for none.
	CacheAddr string
	// NewConnection requires a new connection.
	NewConnection bool
	// MaxIdleConns limits the idle connections kept to the runner. A negative
	// number means none.
	MaxIdleConns int
	// OnSent, if not nil, is called once the whole request is written.
	OnSent func()
	// OnConnection, if not nil, is called before the request is written, with the time
	// at which the opening of its connection began.
	OnConnection func(openedAt time.Time)
	// OnStep, if not nil, is called at each step of the exchange, from any goroutine.
	OnStep func(exchange.Step)
}

// Reservation is the room that a runner is asked to keep for a request.
type Reservation struct {
	RunnerID string
	Addr     string
	// Tokens is the size of the prompt and of the longest answer together.
	Tokens int
	// Duration is how long the runner is to keep the room.
	Duration time.Duration
}

// Response is the answer of a runner.
type Response struct {
	Status int
	// Header holds the headers to relay to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Conclusion tells whether the runner may have executed the request.
	Conclusion execution.Rule
	// Signed reports whether the answer bears a runner's signature.
	Signed bool
	// Encoded reports whether the body has a content encoding. Callers ask for none,
	// so such a body is not the runner's own.
	Encoded bool
	// EndsWithConnection reports whether the answer has no length and no chunks, so
	// that only the end of its connection ends it.
	EndsWithConnection bool
	// Advice is what the answer says about later requests.
	Advice advice.Advice
	// record is that of the attempt; the gateway sets it.
	record *attemptRecord
	// Load is the load that the runner reported about itself, or nil if it
	// reported none.
	Load *placement.Load
}

// Upstreams sends requests to runners. It is safe for concurrent use.
type Upstreams interface {
	// Send sends one request. Its error tells through exchange.WasSent whether
	// the runner may have received it. Cancelling ctx also aborts reading the
	// answer.
	Send(ctx context.Context, d *Dispatch) (*Response, error)
	// Reserve asks a runner to keep room for a request. It returns what names the
	// room in a Dispatch, and what the answer says about later requests, also with
	// an error. Nothing is executed.
	Reserve(ctx context.Context, r *Reservation) (handle string, said advice.Advice, err error)
	// Connect opens a connection to a runner and closes it, without a request. It returns
	// when the opening began.
	Connect(ctx context.Context, addr string) (openedAt time.Time, err error)
	// RunPieces sends one call to a stage runner.
	RunPieces(ctx context.Context, c *batch.Call) batch.CallResult
	// FreePieces tells a stage runner that results are no longer needed. It returns
	// what the answer says about later calls, also with an error.
	FreePieces(ctx context.Context, addr string, handles []string) (advice.Advice, error)
}
