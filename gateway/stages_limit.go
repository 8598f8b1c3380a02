package gateway

import (
	"errors"
	"strconv"

	"damaskbridge.example/damaskbridge/buffers"
)

const (
	// maxPieces bounds the pieces of one request over all of its stages.
	maxPieces = 16 << 10
	// pieceBytes is what a piece takes in this VM until its request ends: its entries in
	// the call, the queue and the results, and its handle.
	pieceBytes = 512
	// freePieces is the number of pieces of each request that are not counted.
	freePieces = 32
)

// reservePieces takes the room of the request's pieces, until the account is closed. It
// refuses a request that names more of them than this VM serves or has room for.
func (r *request) reservePieces() (*buffers.Account, *Refusal) {
	pieces := 0
	for _, n := range r.call.Pieces[:min(len(r.call.Pieces), len(r.route.Stages))] {
		if n > maxPieces-pieces {
			return nil, &Refusal{Reason: TooManyPieces, Detail: "over " + strconv.Itoa(maxPieces)}
		}
		pieces += max(n, 0)
	}
	account := r.g.opts.Memory.NewAccount(buffers.Pieces, freePieces*pieceBytes)
	var full *buffers.FullError
	if err := account.Resize(int64(pieces) * pieceBytes); errors.As(err, &full) {
		return nil, NewMemoryRefusal(full)
	}
	return account, nil
}
