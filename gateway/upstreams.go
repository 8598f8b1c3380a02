package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
)

// Dispatch is one request to one runner.
type Dispatch struct {
	Call *Call
	// RunnerID is the runner that may execute it, Addr where it listens.
	RunnerID  string
	Addr      string
	Workspace string
	// Left is the time within which an answer is of use.
	Left time.Duration
	// Priority ranks the request at the runner, 0 first; HasPriority says that
	// the runner ranks requests.
	Priority    int
	HasPriority bool
	// Inputs are the results of the final stages; HasInputs says that the
	// route has stages.
	Inputs    []string
	HasInputs bool
	// ResumeAfter has the stream go on after the event with this id.
	ResumeAfter string
	// FetchFrom is the address of a runner from which parts of the prompt can
	// be fetched instead of being read again, "" for none.
	FetchFrom string
	// Fresh asks for a new connection.
	Fresh bool
	// MaxIdle bounds the idle connections to the runner that are kept; a
	// negative number means none.
	MaxIdle int
	// Sent is called once the whole request is written, nil for nobody.
	Sent func()
}

// Answer is a runner's answer.
type Answer struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	Body   io.ReadCloser
	// NotExecuted says that the runner did not run the request.
	NotExecuted bool
	// Misdirected says that another runner has the address.
	Misdirected bool
	// Load is what the runner said of itself, nil if nothing.
	Load *placement.Load
}

// Upstreams speaks to runners. It is safe for concurrent use.
type Upstreams interface {
	// Send sends one request. Its error says by exchange.WasSent whether the
	// runner may have seen it. The end of ctx breaks the answer off.
	Send(ctx context.Context, d *Dispatch) (*Answer, error)
	// RunPieces sends one call to a stage's runner.
	RunPieces(ctx context.Context, c *batch.Call) batch.CallResult
	// FreePieces tells a stage's runner that results are of no more use.
	FreePieces(ctx context.Context, addr string, handles []string) error
}
