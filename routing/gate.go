package routing

import "time"

// gateState says what may pass to an upstream.
type gateState uint8

const (
	gateOpen gateState = iota
	gateProbe
	gateShut
)

// gate holds requests back for a time that doubles with each failed probe.
type gate struct {
	shut      bool
	until     time.Time
	hold      time.Duration
	probing   bool
	probeEnds time.Time
}

func (g *gate) state(now time.Time) gateState {
	switch {
	case !g.shut:
		return gateOpen
	case now.Before(g.until) || g.probing && now.Before(g.probeEnds):
		return gateShut
	}
	return gateProbe
}

// close shuts the gate; a gate that was shut already doubles its hold.
func (g *gate) close(base, longest time.Duration, now time.Time) {
	if g.shut {
		g.hold = min(2*g.hold, longest)
	} else {
		g.hold = base
	}
	g.shut = true
	g.probing = false
	g.until = now.Add(g.hold)
}

// probe lets one request through.
func (g *gate) probe(timeout time.Duration, now time.Time) {
	g.probing = true
	g.probeEnds = now.Add(timeout)
}

func (g *gate) open() { *g = gate{} }
