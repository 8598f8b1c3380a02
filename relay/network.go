package relay

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// RegionPair identifies a direction between two regions.
type RegionPair struct {
	From ids.Region
	To   ids.Region
}

// connects reports whether p is one of the two directions between a and b.
func (p RegionPair) connects(a, b ids.Region) bool {
	return p == (RegionPair{a, b}) || p == (RegionPair{b, a})
}

// Network simulates the links between regions: it holds their directions and the
// relays that use them. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	directions map[RegionPair]*Direction
	// isolated holds the regions whose directions are cut, also those that are used
	// for the first time later.
	isolated       map[ids.Region]bool
	relays         []relay
	delay          time.Duration
	bytesPerSecond int64
}

// relay is a relay of either protocol.
type relay interface {
	Close()
	// freezeBetween freezes the existing connections between two regions and
	// returns their number.
	freezeBetween(a, b ids.Region) int
}

// NewNetwork returns a network. The delay and the bandwidth in bytes per second
// (0 means no limit) are the initial ones of every direction between different
// regions.
func NewNetwork(delay time.Duration, bytesPerSecond int64) *Network {
	return &Network{directions: map[RegionPair]*Direction{}, isolated: map[ids.Region]bool{}, delay: delay, bytesPerSecond: bytesPerSecond}
}

// Direction returns the direction from one region to another.
func (n *Network) Direction(from, to ids.Region) *Direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := RegionPair{From: from, To: to}
	d, ok := n.directions[p]
	if !ok {
		d = newDirection()
		if from != to {
			d.delay, d.bytesPerSecond = n.delay, n.bytesPerSecond
			d.cut = n.isolated[from] || n.isolated[to]
		}
		n.directions[p] = d
	}
	return d
}

// Cut cuts both directions between two regions.
func (n *Network) Cut(a, b ids.Region) {
	n.Direction(a, b).Cut()
	n.Direction(b, a).Cut()
}

// Restore ends the cut of both directions between two regions.
func (n *Network) Restore(a, b ids.Region) {
	n.Direction(a, b).Restore()
	n.Direction(b, a).Restore()
}

// Isolate cuts all directions between a region and the others.
func (n *Network) Isolate(region ids.Region) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[region] = true
	n.forEachDirection(region, (*Direction).Cut)
}

// Rejoin restores all directions between a region and the others.
func (n *Network) Rejoin(region ids.Region) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, region)
	n.forEachDirection(region, (*Direction).Restore)
}

// forEachDirection runs do on each used direction between a region and the others.
// n.mu is held.
func (n *Network) forEachDirection(region ids.Region, do func(*Direction)) {
	for p, d := range n.directions {
		if p.From != p.To && (p.From == region || p.To == region) {
			do(d)
		}
	}
}

// Freeze permanently stops the traffic of the existing connections between two
// regions in both directions, without closing them; new connections work. It
// returns the number of frozen connections.
func (n *Network) Freeze(a, b ids.Region) int {
	n.mu.Lock()
	relays := append([]relay{}, n.relays...)
	n.mu.Unlock()
	frozen := 0
	for _, r := range relays {
		frozen += r.freezeBetween(a, b)
	}
	return frozen
}

// Bytes returns the number of payload bytes delivered, by direction.
func (n *Network) Bytes() map[RegionPair]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes := make(map[RegionPair]int64, len(n.directions))
	for p, d := range n.directions {
		bytes[p] = d.Bytes()
	}
	return bytes
}

// Close closes all relays.
func (n *Network) Close() {
	n.mu.Lock()
	relays := n.relays
	n.relays = nil
	n.mu.Unlock()
	for _, r := range relays {
		r.Close()
	}
}

func (n *Network) register(r relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays = append(n.relays, r)
}
