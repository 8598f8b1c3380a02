package relay

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// TCP relays connections from clients to a target in another region.
type TCP struct {
	network  *Network
	listener net.Listener
	target   string
	regionOf RegionOf
	to       ids.Region

	mu     sync.Mutex
	conns  map[*tcpConn]struct{}
	closed bool
}

// ListenTCP relays connections that arrive at addr ("ip:port"; port 0 picks a
// free port) to target over the network's link between two regions, until Close
// or the network's Close.
func (n *Network) ListenTCP(addr, target string, from, to ids.Region) (*TCP, error) {
	return n.ListenTCPFrom(addr, target, func(netip.AddrPort) (ids.Region, bool) { return from, true }, to)
}

// ListenTCPFrom is like ListenTCP for clients from several regions: regionOf
// returns the region of each client. A connection from an unknown client is
// reset.
func (n *Network) ListenTCPFrom(addr, target string, regionOf RegionOf, to ids.Region) (*TCP, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("relay: %w; use a free address of this machine", err)
	}
	r := &TCP{network: n, listener: l, target: target, regionOf: regionOf, to: to, conns: map[*tcpConn]struct{}{}}
	n.register(r)
	go r.run()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *TCP) Addr() string { return r.listener.Addr().String() }

func (r *TCP) freezeBetween(a, b ids.Region) int {
	n := 0
	for _, c := range r.openConns() {
		if c.pair.connects(a, b) {
			c.freeze()
			n++
		}
	}
	return n
}

// Reset resets the existing connections. New ones work.
func (r *TCP) Reset() {
	for _, c := range r.openConns() {
		c.reset()
	}
}

func (r *TCP) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve relays one connection. It dials the target only after the simulated
// round trip of a TCP handshake, which waits while a direction is cut. As the
// client's own handshake is with the relay, the client observes this delay on
// its first bytes.
func (r *TCP) serve(client net.Conn) {
	c := newTCPConn(client)
	from, known := r.regionOf(client.RemoteAddr().(*net.TCPAddr).AddrPort())
	if !known {
		c.reset()
		return
	}
	c.pair = RegionPair{From: from, To: r.to}
	forward, back := r.network.Direction(from, r.to), r.network.Direction(r.to, from)
	if !r.add(c) {
		c.close()
		return
	}
	defer r.remove(c)
	defer c.close()
	if !sleepUntil(forward.arrivalTime(time.Now(), 0), c.closed) || !forward.waitWhileCut(c.closed) {
		return
	}
	if !sleepUntil(back.arrivalTime(time.Now(), 0), c.closed) || !back.waitWhileCut(c.closed) {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		c.reset()
		return
	}
	if !c.setTarget(target) {
		return
	}
	var forwarders sync.WaitGroup
	forwarders.Go(func() { c.forward(client, target, forward) })
	forwarders.Go(func() { c.forward(target, client, back) })
	forwarders.Wait()
}

func (r *TCP) add(c *tcpConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *TCP) remove(c *tcpConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (r *TCP) openConns() []*tcpConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*tcpConn, 0, len(r.conns))
	for c := range r.conns {
		all = append(all, c)
	}
	return all
}

// Freeze permanently stops the traffic of the existing connections without
// closing them. New connections work.
func (r *TCP) Freeze() {
	for _, c := range r.openConns() {
		c.freeze()
	}
}

// Connections returns the number of open connections.
func (r *TCP) Connections() int { return len(r.openConns()) }

// Close closes the relay and its connections.
func (r *TCP) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	for _, c := range r.openConns() {
		c.close()
	}
}
