package gateway

import (
	"context"
	"time"

	"damaskbridge.example/damaskbridge/batch"
	"damaskbridge.example/damaskbridge/placement"
)

// Pieces are passed on to another zone's assembler when the own zone's runners
// are so far behind that the way there and back is worth it.
const (
	// spreadFrom is the delay beyond an idle runner's from which other zones
	// are asked.
	spreadFrom = 120 * time.Millisecond
	// wayDelay is the way to another region and back.
	wayDelay = 60 * time.Millisecond
	// smallGain and largeGain are how much earlier another zone must be; more
	// for results that are costly to carry between zones.
	smallGain        = 100 * time.Millisecond
	largeGain        = 350 * time.Millisecond
	largeResultBytes = 1_000_000
	// delayFresh is how long a told delay is used, askEvery how often an
	// assembler is asked at most.
	delayFresh = 600 * time.Millisecond
	askEvery   = 150 * time.Millisecond
	askTimeout = 300 * time.Millisecond
)

// peerKey names the assembler of a service at another VM.
type peerKey struct{ service, vm string }

// peerDelay is what an assembler told, with what was passed on to it since.
type peerDelay struct {
	delay   time.Duration
	at      time.Time
	askedAt time.Time
}

// quicker gives the assembler of another zone at which the pieces would be done
// clearly earlier, "" if there is none.
func (p *pieceServer) quicker(now time.Time, c *piecesCall, own time.Duration) string {
	t := p.g.Table()
	if t == nil {
		return ""
	}
	s := t.Service(c.Service)
	if s == nil || s.Pieces == nil {
		return ""
	}
	if own < s.Pieces.Estimate(len(c.Items))+spreadFrom {
		return ""
	}
	gain := smallGain
	if c.ResultBytes*int64(len(c.Items)) >= largeResultBytes {
		gain = largeGain
	}
	best, bestDelay := "", own-gain
	for _, vm := range p.otherAssemblers(c.Service) {
		delay, ok := p.delayOf(now, peerKey{c.Service, vm})
		if ok && delay+wayDelay < bestDelay {
			best, bestDelay = vm, delay+wayDelay
		}
	}
	if best != "" {
		p.addDelay(peerKey{c.Service, best}, time.Duration(len(c.Items))*s.Pieces.PieceTime)
	}
	return best
}

// otherAssemblers gives the assembling VM of each other zone with runners of
// the service.
func (p *pieceServer) otherAssemblers(service string) []string {
	home := p.zones[service]
	byZone := map[string][]string{}
	for _, e := range p.g.state.Load().Entries {
		if e.Zone != home && !e.Draining {
			byZone[e.Zone] = append(byZone[e.Zone], e.Addr)
		}
	}
	var list []string
	for zone, names := range byZone {
		if len(p.g.runners.stageRunners(service, zone)) > 0 {
			list = append(list, placement.Highest(service, names))
		}
	}
	return list
}

// delayOf gives what an assembler told lately, and asks it again if that is
// due.
func (p *pieceServer) delayOf(now time.Time, key peerKey) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.peers[key]
	if d == nil {
		d = &peerDelay{}
		p.peers[key] = d
	}
	if now.Sub(d.askedAt) > askEvery {
		d.askedAt = now
		go p.askDelay(key)
	}
	return d.delay, now.Sub(d.at) < delayFresh
}

func (p *pieceServer) noteDelay(key peerKey, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.peers[key]
	if d == nil {
		d = &peerDelay{}
		p.peers[key] = d
	}
	d.delay, d.at = delay, time.Now()
}

// knownDelay gives the time that pieces of a service take now in this zone, 0
// if nothing was told lately.
func (p *pieceServer) knownDelay(now time.Time, service string) time.Duration {
	at := p.assemblerVM(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.peers[peerKey{service, at}]
	if d == nil || now.Sub(d.at) > delayFresh {
		return 0
	}
	return d.delay
}

// addDelay counts what was passed on until the assembler tells again.
func (p *pieceServer) addDelay(key peerKey, more time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.peers[key]; d != nil {
		d.delay += more
	}
}

// askDelay asks an assembler for its delay with a call without pieces.
func (p *pieceServer) askDelay(key peerKey) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	// Without an answer the assembler is not used.
	_, _ = p.orderAt(ctx, key.vm, &piecesCall{Service: key.service, Forwarded: true})
}

// forward has the pieces made by another zone's assembler.
func (p *pieceServer) forward(ctx context.Context, vm string, c *piecesCall) ([]batch.Result, error) {
	forwarded := *c
	forwarded.Forwarded = true
	p.g.count.forwarded.Inc()
	return p.orderAt(ctx, vm, &forwarded)
}

// ownDelay gives the time that one piece takes here now.
func (p *pieceServer) ownDelay(ctx context.Context, service string) time.Duration {
	answer := make(chan time.Duration, 1)
	p.post(func(now time.Time) {
		a := p.assembler(service)
		if a == nil {
			answer <- batch.NoWorkerDelay
			return
		}
		// Behind all that waits: what is passed on must not be misled by its
		// own urgency.
		answer <- a.Delay(now, &batch.Item{Due: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, 1)
	})
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		return batch.NoWorkerDelay
	case <-p.ended:
		return batch.NoWorkerDelay
	}
}
