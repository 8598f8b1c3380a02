package relay

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Pair names a direction between two regions.
type Pair struct {
	From ids.Region
	To   ids.Region
}

// joins says whether the direction is one of those between two regions.
func (p Pair) joins(a, b ids.Region) bool {
	return p == (Pair{a, b}) || p == (Pair{b, a})
}

// Network holds the directions between regions and the relays on them. It is
// safe for concurrent use.
type Network struct {
	mu             sync.Mutex
	directions     map[Pair]*Direction
	relays         []closer
	delay          time.Duration
	bytesPerSecond int64
}

// closer is a relay of either protocol.
type closer interface {
	Close()
	// freezeBetween freezes the present connections between two regions and
	// gives their number.
	freezeBetween(a, b ids.Region) int
}

// NewNetwork makes a network whose directions between different regions begin
// with a delay and a bandwidth in bytes per second (0 means no limit).
func NewNetwork(delay time.Duration, bytesPerSecond int64) *Network {
	return &Network{directions: map[Pair]*Direction{}, delay: delay, bytesPerSecond: bytesPerSecond}
}

// Direction gives the direction from one region to another.
func (n *Network) Direction(from, to ids.Region) *Direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := Pair{From: from, To: to}
	d, ok := n.directions[p]
	if !ok {
		d = newDirection()
		if from != to {
			d.delay, d.bytesPerSecond = n.delay, n.bytesPerSecond
		}
		n.directions[p] = d
	}
	return d
}

// Cut stops both directions between two regions silently.
func (n *Network) Cut(a, b ids.Region) {
	n.Direction(a, b).Cut()
	n.Direction(b, a).Cut()
}

// Restore ends the cut of both directions.
func (n *Network) Restore(a, b ids.Region) {
	n.Direction(a, b).Restore()
	n.Direction(b, a).Restore()
}

// Isolate cuts a region off from all others that the network has seen.
func (n *Network) Isolate(region ids.Region) {
	n.each(region, (*Direction).Cut)
}

// Rejoin ends the isolation of a region.
func (n *Network) Rejoin(region ids.Region) {
	n.each(region, (*Direction).Restore)
}

func (n *Network) each(region ids.Region, do func(*Direction)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, d := range n.directions {
		if p.From != p.To && (p.From == region || p.To == region) {
			do(d)
		}
	}
}

// Freeze stops the present connections between two regions, in both
// directions and for good; new ones work. It gives the number of connections.
func (n *Network) Freeze(a, b ids.Region) int {
	n.mu.Lock()
	relays := append([]closer{}, n.relays...)
	n.mu.Unlock()
	frozen := 0
	for _, r := range relays {
		frozen += r.freezeBetween(a, b)
	}
	return frozen
}

// Bytes gives the payload bytes that arrived, by pair of regions.
func (n *Network) Bytes() map[Pair]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make(map[Pair]int64, len(n.directions))
	for p, d := range n.directions {
		all[p] = d.Bytes()
	}
	return all
}

// Close ends all relays.
func (n *Network) Close() {
	n.mu.Lock()
	relays := n.relays
	n.relays = nil
	n.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

func (n *Network) register(r closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays = append(n.relays, r)
}
