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
	maxPacketBytes = 64 << 10
	// maxPacketsInFlight limits the packets in transit in one direction of a flow;
	// further packets are dropped.
	maxPacketsInFlight = 1024
	// maxFlows limits the flows of one relay; packets from further client
	// addresses are dropped.
	maxFlows = 4096
	// regionRefreshIdleTime is how long a flow must be idle before its client's
	// region is looked up again, as another client may have taken over the port.
	regionRefreshIdleTime = time.Second
)

// RegionOf returns the region of a client address, and false if it is unknown.
// The relay then drops a packet or resets a connection, and calls RegionOf again
// for the next one.
type RegionOf func(client netip.AddrPort) (ids.Region, bool)

// UDP relays packets from clients to a target in another region. Each client
// address has its own flow, which also carries the responses.
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

// ListenUDP relays packets that arrive at addr ("ip:port"; port 0 picks a free
// port) to target over the network's link between two regions, until Close or
// the network's Close.
func (n *Network) ListenUDP(addr, target string, from, to ids.Region) (*UDP, error) {
	return n.ListenUDPFrom(addr, target, func(netip.AddrPort) (ids.Region, bool) { return from, true }, to)
}

// ListenUDPFrom is like ListenUDP for clients from several regions. It calls
// regionOf for each new flow, and again when a client sends a packet after its
// flow was idle for a second.
func (n *Network) ListenUDPFrom(addr, target string, regionOf RegionOf, to ids.Region) (*UDP, error) {
	local, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w; use the form ip:port", err)
	}
	remote, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay: target: %w; use the form ip:port", err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("relay: %w; use a free address of this machine", err)
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

// Addr returns the address that the relay listens on.
func (r *UDP) Addr() string { return r.socket.LocalAddr().String() }

func (r *UDP) run() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, client, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f := r.flow(client)
		if f == nil {
			continue
		}
		f.toTarget.enqueue(buf[:n])
	}
}

// flow returns a client's flow and creates it if needed. It returns nil if that
// is not possible; the packet is then dropped.
func (r *UDP) flow(client netip.AddrPort) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.flows[client]; ok {
		if !r.regionChanged(f, client) {
			return f
		}
		f.close()
		delete(r.flows, client)
	}
	from, ok := r.regionOf(client)
	if !ok || r.closed {
		return nil
	}
	forward, back := r.network.Direction(from, r.to), r.network.Direction(r.to, from)
	if len(r.flows) >= maxFlows {
		forward.addDrop()
		return nil
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		forward.addDrop()
		return nil
	}
	f := &flow{socket: socket, pair: RegionPair{From: from, To: r.to}, lastPacketAt: time.Now(), closed: make(chan struct{})}
	f.toTarget = newPacketQueue(forward, f, func(p []byte) error {
		_, err := socket.Write(p)
		return err
	})
	f.toClient = newPacketQueue(back, f, func(p []byte) error {
		_, err := r.socket.WriteToUDPAddrPort(p, client)
		return err
	})
	r.flows[client] = f
	go f.readResponses()
	return f
}

// regionChanged records a packet of the flow. It reports whether the flow was
// idle before and its address now belongs to a client in another region.
func (r *UDP) regionChanged(f *flow, client netip.AddrPort) bool {
	now := time.Now()
	idle := now.Sub(f.lastPacketAt)
	f.lastPacketAt = now
	if idle < regionRefreshIdleTime {
		return false
	}
	from, ok := r.regionOf(client)
	return ok && from != f.pair.From
}

// Freeze permanently stops the traffic of the existing flows. A client that sends
// from another address gets a new flow, which works.
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
		if f.pair.connects(a, b) {
			f.freeze()
			frozen++
		}
	}
	return frozen
}

// Close closes the relay and its flows.
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

// flow relays the packets of one client address in both directions.
type flow struct {
	socket   *net.UDPConn
	pair     RegionPair
	toTarget *packetQueue
	toClient *packetQueue
	closed   chan struct{}
	// lastPacketAt is the time of the client's last packet. UDP.mu guards it.
	lastPacketAt time.Time

	mu     sync.Mutex
	frozen bool
}

func (f *flow) readResponses() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := f.socket.Read(buf)
		if err != nil {
			select {
			case <-f.closed:
				return
			default:
				// The target's host rejected an earlier packet (ICMP); later ones
				// may arrive.
				time.Sleep(time.Millisecond)
				continue
			}
		}
		f.toClient.enqueue(buf[:n])
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
	close(f.closed)
	_ = f.socket.Close()
}
