package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
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

// fasterPeer returns the VM of another zone whose assembler would finish the
// pieces clearly earlier, or "" if there is none.
func (o *pieceOwner) fasterPeer(now time.Time, c *piecesCall, localDelay time.Duration) string {
	t := o.g.Table()
	if t == nil {
		return ""
	}
	s := t.Service(c.Service)
	if s == nil || s.StageRunner == nil {
		return ""
	}
	if localDelay < s.StageRunner.Estimate(len(c.Items))+forwardThreshold {
		return ""
	}
	gain := smallResultGain
	if c.ResultBytes*int64(len(c.Items)) >= largeResultBytes {
		gain = largeResultGain
	}
	best, bestDelay := "", localDelay-gain
	for _, vm := range o.peerAssemblers(c.Service) {
		delay, ok := o.peers.cached(now, peerKey{c.Service, vm})
		if ok && delay+peerRoundTrip < bestDelay {
			best, bestDelay = vm, delay+peerRoundTrip
		}
	}
	if best != "" {
		o.peers.increase(peerKey{c.Service, best}, time.Duration(len(c.Items))*s.StageRunner.PieceTime)
	}
	return best
}

// peerAssemblers returns the assembler VM of each other zone with runners of
// the service.
func (o *pieceOwner) peerAssemblers(service string) []string {
	preferred := o.zones[service]
	byZone := map[string][]string{}
	for _, e := range o.g.state.Load().Entries {
		if e.Zone != preferred && !e.Draining {
			byZone[e.Zone] = append(byZone[e.Zone], e.Addr)
		}
	}
	var list []string
	for zone, names := range byZone {
		if len(o.g.runners.runnersInZone(service, zone)) > 0 {
			list = append(list, placement.PickRendezvous(service, names))
		}
	}
	return list
}

// currentDelay returns the last reported delay of a service in the preferred
// zone, or 0 if there is no recent report.
func (p *pieceScheduler) currentDelay(now time.Time, service string) time.Duration {
	return p.peers.recent(now, peerKey{service, p.assemblerVM(service)})
}

// queryDelay queries the delay of an assembler with a call without pieces.
func (p *pieceScheduler) queryDelay(key peerKey) {
	ctx, cancel := context.WithTimeout(context.Background(), delayQueryTimeout)
	defer cancel()
	// If the query fails, the assembler is not used.
	_, _ = p.runPiecesAt(ctx, key.vm, &piecesCall{Service: key.service, Forwarded: true})
}

// forward runs the pieces at the assembler of another zone, or here if that one
// does not take them.
func (p *pieceScheduler) forward(ctx context.Context, vm string, c *piecesCall) ([]batch.Result, error) {
	forwarded := *c
	forwarded.Forwarded = true
	p.g.metrics.forwarded.Inc()
	results, err := p.runPiecesAt(ctx, vm, &forwarded)
	if !isAssemblerMissing(ctx, err) {
		return results, err
	}
	p.g.log.Warn().Err(err).Str("id", c.Request).Str("vm", vm).Str("service", c.Service).Msg("gateway: the assembling VM did not answer")
	p.markUnavailable(vm)
	return p.assemble(ctx, &forwarded)
}

// localDelay returns the delay of one additional piece at this VM. It returns an
// error if ctx ends or the VM stops before that is known.
func (p *pieceScheduler) localDelay(ctx context.Context, service string) (time.Duration, error) {
	answer := make(chan time.Duration, 1)
	p.post(func(o *pieceOwner, now time.Time) { answer <- o.delay(now, service) })
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
func (o *pieceOwner) delay(now time.Time, service string) time.Duration {
	a := o.assembler(service)
	if a == nil {
		return batch.NoRunnerDelay
	}
	// The item is the least urgent one in the queue, so that the delay covers all
	// waiting items.
	return a.Delay(now, &batch.Item{Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, 1)
}
