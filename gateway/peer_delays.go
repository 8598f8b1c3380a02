package gateway

import (
	"sync"
	"time"
)

// peerKey identifies the assembler of a pool at a VM.
type peerKey struct {
	pool poolKey
	vm   string
}

// peerDelay is the delay that an assembler last reported, increased by the work
// forwarded to it since.
type peerDelay struct {
	delay     time.Duration
	updatedAt time.Time
	queriedAt time.Time
}

// peerDelays holds the delays of assemblers by service and VM. It is safe for
// concurrent use.
type peerDelays struct {
	// query asks an assembler for its delay and records it.
	query func(peerKey)

	mu     sync.Mutex
	delays map[peerKey]*peerDelay
}

func newPeerDelays(query func(peerKey)) *peerDelays {
	return &peerDelays{query: query, delays: map[peerKey]*peerDelay{}}
}

// entry returns the delay of an assembler and creates it if necessary. The
// caller holds mu.
func (p *peerDelays) entry(key peerKey) *peerDelay {
	d := p.delays[key]
	if d == nil {
		d = &peerDelay{}
		p.delays[key] = d
	}
	return d
}

// cached returns the delay that an assembler last reported and whether the
// report is recent. It starts a new query if one is due.
func (p *peerDelays) cached(now time.Time, key peerKey) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.entry(key)
	if now.Sub(d.queriedAt) > delayQueryInterval {
		d.queriedAt = now
		go p.query(key)
	}
	return d.delay, now.Sub(d.updatedAt) < maxDelayAge
}

// record stores the delay that an assembler reported.
func (p *peerDelays) record(key peerKey, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.entry(key)
	d.delay, d.updatedAt = delay, time.Now()
}

// recent returns the last reported delay, or 0 if there is no recent report.
func (p *peerDelays) recent(now time.Time, key peerKey) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.delays[key]
	if d == nil || now.Sub(d.updatedAt) > maxDelayAge {
		return 0
	}
	return d.delay
}

// increase adds forwarded work to the delay of an assembler until its next
// report.
func (p *peerDelays) increase(key peerKey, more time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.delays[key]; d != nil {
		d.delay += more
	}
}
