package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

const (
	// packetBytes is the largest packet.
	packetBytes = 64 << 10
	// packetsInFlight bounds what one direction of a flow holds; further
	// packets are lost.
	packetsInFlight = 1024
	// maxFlows bounds the callers of one relay; packets of further ones are
	// lost.
	maxFlows = 4096
	// askAgainAfter is how long a flow is silent before its caller's region is
	// asked again: the port may have gone to another caller meanwhile.
	askAgainAfter = time.Second
)

// RegionOf gives the region of a caller's address. It is false if the region
// is not known; a packet is then lost, and the next one asks again.
type RegionOf func(caller netip.AddrPort) (ids.Region, bool)

// UDP relays packets from callers to a target in another region. Each caller
// address has a flow of its own, over which responses return.
type UDP struct {
	network  *Network
	socket   *net.UDPConn
	target   *net.UDPAddr
	regionOf RegionOf
	to       ids.Region

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flow
	closed bool
}

// ListenUDP relays packets that arrive at addr ("ip:port", port 0 allowed)
// over the network's link between two regions. Close, or the network's Close,
// ends it.
func (n *Network) ListenUDP(addr, target string, from, to ids.Region) (*UDP, error) {
	return n.ListenUDPFrom(addr, target, func(netip.AddrPort) (ids.Region, bool) { return from, true }, to)
}

// ListenUDPFrom relays packets as ListenUDP does, for callers of several
// regions at one address. It asks regionOf for each new flow, and again for one
// that was silent for a second.
func (n *Network) ListenUDPFrom(addr, target string, regionOf RegionOf, to ids.Region) (*UDP, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w; give an address as ip:port", err)
	}
	remote, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay: target: %w; give an address as ip:port", err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("relay: %w; give an address of this machine that is free", err)
	}
	r := &UDP{
		network:  n,
		socket:   socket,
		target:   remote,
		regionOf: regionOf,
		to:       to,
		flows:    map[netip.AddrPort]*flow{},
	}
	n.register(r)
	go r.run()
	return r, nil
}

// Addr gives the address that callers use.
func (r *UDP) Addr() string { return r.socket.LocalAddr().String() }

func (r *UDP) run() {
	buf := make([]byte, packetBytes)
	for {
		n, caller, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f := r.flow(caller)
		if f == nil {
			continue
		}
		f.forward.push(buf[:n])
	}
}

// flow gives a caller's flow. It is nil if there can't be another one.
func (r *UDP) flow(caller netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[caller]; ok {
		if !r.hasNewOwner(f, caller) {
			return f
		}
		f.close()
		delete(r.flows, caller)
	}
	from, ok := r.regionOf(caller)
	if !ok || r.closed {
		return nil
	}
	forward, back := r.network.Direction(from, r.to), r.network.Direction(r.to, from)
	if len(r.flows) >= maxFlows {
		forward.drop()
		return nil
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		forward.drop()
		return nil
	}
	f := &flow{socket: socket, pairing: Pair{From: from, To: r.to}, lastAt: time.Now(), stop: make(chan struct{})}
	f.forward = newPacketQueue(forward, f, func(p []byte) error {
		_, err := socket.Write(p)
		return err
	})
	f.back = newPacketQueue(back, f, func(p []byte) error {
		_, err := r.socket.WriteToUDPAddrPort(p, caller)
		return err
	})
	r.flows[caller] = f
	go f.readBack()
	return f
}

// hasNewOwner says whether the address of a flow that was silent has gone to a
// caller of another region.
func (r *UDP) hasNewOwner(f *flow, caller netip.AddrPort) bool {
	now := time.Now()
	silent := now.Sub(f.lastAt)
	f.lastAt = now
	if silent < askAgainAfter {
		return false
	}
	from, ok := r.regionOf(caller)
	return ok && from != f.pairing.From
}

// Freeze stops the present flows for good; callers with another address get
// new ones that work.
func (r *UDP) Freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.freeze()
	}
}

func (r *UDP) freezeBetween(a, b ids.Region) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	frozen := 0
	for _, f := range r.flows {
		if f.pairing.joins(a, b) {
			f.freeze()
			frozen++
		}
	}
	return frozen
}

// Close ends the relay and its flows.
func (r *UDP) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.socket.Close()
	for _, f := range r.flows {
		f.close()
	}
}

// flow is the packets of one caller.
type flow struct {
	socket  *net.UDPConn
	pairing Pair
	forward *packetQueue
	back    *packetQueue
	stop    chan struct{}
	// lastAt is the time of the caller's last packet. UDP.mu guards it.
	lastAt time.Time

	mu     sync.Mutex
	frozen bool
}

func (f *flow) readBack() {
	buf := make([]byte, packetBytes)
	for {
		n, err := f.socket.Read(buf)
		if err != nil {
			select {
			case <-f.stop:
				return
			default:
				// The target refused an earlier packet; the next may arrive.
				time.Sleep(time.Millisecond)
				continue
			}
		}
		f.back.push(buf[:n])
	}
}

func (f *flow) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = true
}

func (f *flow) isFrozen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen
}

func (f *flow) close() {
	close(f.stop)
	_ = f.socket.Close()
}
