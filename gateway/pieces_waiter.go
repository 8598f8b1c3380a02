package gateway

import "damaskbridge.example/damaskbridge/batch"

// pieceWaiter collects the results of one piecesCall.
type pieceWaiter struct {
	results  []batch.Result
	firstRef uint64
	pending  int
	// cancelled is set when the request has ended, so that later results are
	// freed.
	cancelled bool
	// forwardTo is the VM to which the call is forwarded, or "" if it is served
	// here.
	forwardTo string
	done      chan struct{}
	inputs    inputUse
}
