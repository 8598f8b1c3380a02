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
)

// UDP relays packets from callers in one region to a target in another. Each
// caller address has a flow of its own, over which responses return.
type UDP struct {
	socket  *net.UDPConn
	target  *net.UDPAddr
	pairing Pair
	forward *Direction
	back    *Direction

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flow
	closed bool
}

// ListenUDP relays packets that arrive at addr ("ip:port", port 0 allowed)
// over the network's link between two regions. Close, or the network's Close,
// ends it.
func (n *Network) ListenUDP(addr, target string, from, to ids.Region) (*UDP, error) {
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
		socket:  socket,
		target:  remote,
		pairing: Pair{From: from, To: to},
		forward: n.Direction(from, to),
		back:    n.Direction(to, from),
		flows:   map[netip.AddrPort]*flow{},
	}
	n.register(r)
	go r.run()
	return r, nil
}

// Addr gives the address that callers use.
func (r *UDP) Addr() string { return r.socket.LocalAddr().String() }

func (r *UDP) pair() Pair { return r.pairing }

func (r *UDP) run() {
	buf := make([]byte, packetBytes)
	for {
		n, caller, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f := r.flow(caller)
		if f == nil {
			r.forward.drop()
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
		return f
	}
	if r.closed || len(r.flows) >= maxFlows {
		return nil
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	f := &flow{socket: socket, stop: make(chan struct{})}
	f.forward = newPacketQueue(r.forward, f, func(p []byte) error {
		_, err := socket.Write(p)
		return err
	})
	f.back = newPacketQueue(r.back, f, func(p []byte) error {
		_, err := r.socket.WriteToUDPAddrPort(p, caller)
		return err
	})
	r.flows[caller] = f
	go f.readBack()
	return f
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
	forward *packetQueue
	back    *packetQueue
	stop    chan struct{}

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
