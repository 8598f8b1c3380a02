package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
	"damaskbridge.example/damaskbridge/residency"
)

// Pieces are forwarded to another zone's assembler when the runners of the
// preferred zone are so far behind that the extra round trip pays off.
const (
	// forwardThreshold is the delay, beyond that of an idle runner, from which
	// other zones are considered.
	forwardThreshold = 120 * time.Millisecond
	// peerRoundTrip is the round-trip time to another region.
	peerRoundTrip = 60 * time.Millisecond
	// smallResultGain and largeResultGain are how much earlier another zone must
	// finish. The gain is larger for results that are expensive to transfer
	// between zones.
	smallResultGain  = 100 * time.Millisecond
	largeResultGain  = 350 * time.Millisecond
	largeResultBytes = 1_000_000
	// maxDelayAge is the age beyond which a reported delay is ignored.
	// delayQueryInterval is the minimum time between two queries of one
	// assembler.
	maxDelayAge        = 600 * time.Millisecond
	delayQueryInterval = 150 * time.Millisecond
	delayQueryTimeout  = 300 * time.Millisecond
)

// fasterPeer returns the assembler of another zone that would finish the pieces
// clearly earlier, or nil if there is none.
func (o *pieceOwner) fasterPeer(now time.Time, c *piecesCall, localDelay time.Duration) *peerKey {
	t := o.g.Table()
	if t == nil {
		return nil
	}
	s := t.Service(c.Service)
	if s == nil || s.StageRunner == nil {
		return nil
	}
	if localDelay < s.StageRunner.Estimate(len(c.Items))+forwardThreshold {
		return nil
	}
	gain := smallResultGain
	if c.ResultBytes*int64(len(c.Items)) >= largeResultBytes {
		gain = largeResultGain
	}
	var best *peerKey
	bestDelay := localDelay - gain
	for _, peer := range o.peerAssemblers(c) {
		delay, ok := o.peers.cached(now, peer)
		if ok && delay+peerRoundTrip < bestDelay {
			best, bestDelay = &peer, delay+peerRoundTrip
		}
	}
	if best != nil {
		o.peers.increase(*best, time.Duration(len(c.Items))*s.StageRunner.PieceTime)
	}
	return best
}

// peerAssemblers returns the assembler of each other zone whose runners may run the
// pieces of a call.
func (o *pieceOwner) peerAssemblers(c *piecesCall) []peerKey {
	byZone := map[string][]string{}
	for _, e := range o.g.state.Load().Entries {
		if e.Zone != c.Zone && !e.Draining {
			byZone[e.Zone] = append(byZone[e.Zone], e.Addr)
		}
	}
	allowed := residency.Of(c.AllowedRegions)
	var list []peerKey
	for zone, names := range byZone {
		pool := poolKey{c.Service, zone}
		if o.g.runners.zoneEligible(zone, allowed) && len(o.g.runners.inPool(pool)) > 0 {
			list = append(list, peerKey{pool, placement.PickRendezvous(c.Service, names)})
		}
	}
	return list
}

// currentDelay returns the last reported delay of a service in the zone that this
// VM prefers among the allowed regions, or 0 if there is no recent report.
func (p *pieceScheduler) currentDelay(now time.Time, service string, allowed residency.Regions) time.Duration {
	pool := poolKey{service, p.g.runners.preferredZone(service, allowed)}
	return p.peers.recent(now, peerKey{pool, p.assemblerVM(pool)})
}

// queryDelay queries the delay of an assembler with a call without pieces.
func (p *pieceScheduler) queryDelay(key peerKey) {
	ctx, cancel := context.WithTimeout(context.Background(), delayQueryTimeout)
	defer cancel()
	// If the query fails, the assembler is not used.
	_, _ = p.runPiecesAt(ctx, key.vm, &piecesCall{Service: key.pool.service, Zone: key.pool.zone, Forwarded: true})
}

// forward runs the pieces at the assembler of another zone, or here if that one
// does not take them.
func (p *pieceScheduler) forward(ctx context.Context, to peerKey, c *piecesCall) ([]batch.Result, error) {
	forwarded := *c
	forwarded.Forwarded, forwarded.Zone = true, to.pool.zone
	p.g.metrics.forwarded.Inc()
	results, err := p.runPiecesAt(ctx, to.vm, &forwarded)
	if !isAssemblerMissing(ctx, err) {
		return results, err
	}
	p.g.log.Warn().Err(err).Str("id", c.Request).Str("vm", to.vm).Str("service", c.Service).Msg("gateway: the assembling VM did not answer")
	p.markUnavailable(to.vm)
	forwarded.Zone = c.Zone
	return p.assemble(ctx, &forwarded)
}

// localDelay returns the delay of one additional piece at this VM. It returns an
// error if ctx ends or the VM stops before that is known.
func (p *pieceScheduler) localDelay(ctx context.Context, pool poolKey) (time.Duration, error) {
	answer := make(chan time.Duration, 1)
	p.post(func(o *pieceOwner, now time.Time) { answer <- o.delay(now, pool) })
	select {
	case d := <-answer:
		return d, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-p.stopped:
		return 0, errStopping
	}
}

// delay returns the delay of one additional piece at this VM.
func (o *pieceOwner) delay(now time.Time, pool poolKey) time.Duration {
	a := o.assembler(pool)
	if a == nil {
		return batch.NoRunnerDelay
	}
	// The item is the least urgent one in the queue, so that the delay covers all
	// waiting items.
	return a.Delay(now, &batch.Item{Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, 1)
}
