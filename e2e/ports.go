package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are taken from below the range from which the kernel takes those of
// outgoing connections, 32768 and up on Linux: a connection could otherwise hold
// the port of a program that has not started yet.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portPicker finds ports for programs. These must know each other's addresses
// before they start, so that a port is free for some time after it was found.
type portPicker struct {
	first, count int
	// given holds the addresses that were found: no two programs get the same one.
	given map[string]bool
}

func newPortPicker() *portPicker {
	return &portPicker{first: firstPort, count: portCount, given: map[string]bool{}}
}

// pick returns an address of host whose port is free for TCP and UDP.
func (p *portPicker) pick(host string) (string, error) {
	start := rand.IntN(p.count)
	for i := range p.count {
		addr := net.JoinHostPort(host, fmt.Sprint(p.first+(start+i)%p.count))
		if !p.given[addr] && isFree(addr) {
			p.given[addr] = true
			return addr, nil
		}
	}
	return "", fmt.Errorf("e2e: no port of %s from %d to %d is free for TCP and UDP", host, p.first, p.first+p.count-1)
}

func isFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}
