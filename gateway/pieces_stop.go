package gateway

import (
	"context"
	"errors"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/transport"
)

// assembleForPeer is assemble for another VM. If a stop leaves no time for the
// pieces, their results say so, and the other VM has them assembled elsewhere.
func (p *pieceScheduler) assembleForPeer(ctx context.Context, c *piecesCall) ([]batch.Result, error) {
	plan := p.g.stopPlan.Load()
	if plan != nil && !plan.mayAssemble(time.Now(), time.Duration(c.LeftMS)*time.Millisecond) {
		return p.handBack(c), nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.g.assembling, cancel)()
	results, err := p.assemble(ctx, c)
	if err != nil && p.g.assembling.Err() != nil {
		return p.handBack(c), nil
	}
	return results, err
}

// handBack returns the results with which another VM uses another assembler.
func (p *pieceScheduler) handBack(c *piecesCall) []batch.Result {
	p.g.metrics.recordStopped(stopHandedBack)
	p.g.log.Info().Str("id", c.Request).Str("service", c.Service).Int("pieces", len(c.Items)).
		Msg("gateway: pieces of another VM handed back by a stop")
	return resultsWithout(c, batch.NoRunner)
}

// resultsWithout returns the results of a call of which nothing was run.
func resultsWithout(c *piecesCall, reason batch.Reason) []batch.Result {
	results := make([]batch.Result, len(c.Items))
	for i := range results {
		results[i].Reason = reason
	}
	return results
}

// isAssemblerMissing reports whether a VM did not take a call, so that another one
// can assemble the pieces.
func isAssemblerMissing(ctx context.Context, err error) bool {
	var remote *transport.RemoteError
	return err != nil && ctx.Err() == nil && !errors.As(err, &remote)
}
