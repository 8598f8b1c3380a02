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
	// forwardTo is the assembler to which the call is forwarded, nil if it is
	// served here.
	forwardTo *peerKey
	done      chan struct{}
	inputs    inputUse
}

// endAll ends a call of which nothing was queued.
func (w *pieceWaiter) endAll(reason batch.Reason) {
	for i := range w.results {
		w.results[i] = batch.Result{Reason: reason}
	}
	close(w.done)
}
