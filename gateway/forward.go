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

// peerKey identifies the assembler of a service at a VM.
type peerKey struct{ service, vm string }

// peerDelay is the delay that an assembler last reported, increased by the work
// forwarded to it since.
type peerDelay struct {
	delay     time.Duration
	updatedAt time.Time
	queriedAt time.Time
}

// fasterPeer returns the VM of another zone whose assembler would finish the
// pieces clearly earlier, or "" if there is none.
func (p *pieceScheduler) fasterPeer(now time.Time, c *piecesCall, localDelay time.Duration) string {
	t := p.g.Table()
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
	for _, vm := range p.peerAssemblers(c.Service) {
		delay, ok := p.cachedDelay(now, peerKey{c.Service, vm})
		if ok && delay+peerRoundTrip < bestDelay {
			best, bestDelay = vm, delay+peerRoundTrip
		}
	}
	if best != "" {
		p.increaseDelay(peerKey{c.Service, best}, time.Duration(len(c.Items))*s.StageRunner.PieceTime)
	}
	return best
}

// peerAssemblers returns the assembler VM of each other zone with runners of
// the service.
func (p *pieceScheduler) peerAssemblers(service string) []string {
	preferred := p.zones[service]
	byZone := map[string][]string{}
	for _, e := range p.g.state.Load().Entries {
		if e.Zone != preferred && !e.Draining {
			byZone[e.Zone] = append(byZone[e.Zone], e.Addr)
		}
	}
	var list []string
	for zone, names := range byZone {
		if len(p.g.runners.runnersInZone(service, zone)) > 0 {
			list = append(list, placement.PickRendezvous(service, names))
		}
	}
	return list
}

// cachedDelay returns the delay that an assembler last reported and whether the
// report is recent. It starts a new query if one is due.
func (p *pieceScheduler) cachedDelay(now time.Time, key peerKey) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.peers[key]
	if d == nil {
		d = &peerDelay{}
		p.peers[key] = d
	}
	if now.Sub(d.queriedAt) > delayQueryInterval {
		d.queriedAt = now
		go p.queryDelay(key)
	}
	return d.delay, now.Sub(d.updatedAt) < maxDelayAge
}

func (p *pieceScheduler) recordDelay(key peerKey, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.peers[key]
	if d == nil {
		d = &peerDelay{}
		p.peers[key] = d
	}
	d.delay, d.updatedAt = delay, time.Now()
}

// currentDelay returns the last reported delay of a service in the preferred
// zone, or 0 if there is no recent report.
func (p *pieceScheduler) currentDelay(now time.Time, service string) time.Duration {
	at := p.assemblerVM(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.peers[peerKey{service, at}]
	if d == nil || now.Sub(d.updatedAt) > maxDelayAge {
		return 0
	}
	return d.delay
}

// increaseDelay adds forwarded work to the delay of an assembler until its next
// report.
func (p *pieceScheduler) increaseDelay(key peerKey, more time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.peers[key]; d != nil {
		d.delay += more
	}
}

// queryDelay queries the delay of an assembler with a call without pieces.
func (p *pieceScheduler) queryDelay(key peerKey) {
	ctx, cancel := context.WithTimeout(context.Background(), delayQueryTimeout)
	defer cancel()
	// If the query fails, the assembler is not used.
	_, _ = p.runPiecesAt(ctx, key.vm, &piecesCall{Service: key.service, Forwarded: true})
}

// forward runs the pieces at the assembler of another zone.
func (p *pieceScheduler) forward(ctx context.Context, vm string, c *piecesCall) ([]batch.Result, error) {
	forwarded := *c
	forwarded.Forwarded = true
	p.g.metrics.forwarded.Inc()
	return p.runPiecesAt(ctx, vm, &forwarded)
}

// localDelay returns the delay of one additional piece at this VM.
func (p *pieceScheduler) localDelay(ctx context.Context, service string) time.Duration {
	answer := make(chan time.Duration, 1)
	p.post(func(now time.Time) {
		a := p.assembler(service)
		if a == nil {
			answer <- batch.NoRunnerDelay
			return
		}
		// The item is the least urgent one in the queue, so that the reported delay
		// covers all waiting items.
		answer <- a.Delay(now, &batch.Item{Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, 1)
	})
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		return batch.NoRunnerDelay
	case <-p.stopped:
		return batch.NoRunnerDelay
	}
}
