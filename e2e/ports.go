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

// freePort finds a port of host that is free for TCP and UDP. The programs
// must know each other's addresses before they start, so the port is given up
// again and taken by the program.
func freePort(host string) (string, error) {
	const tries = 20
	for range tries {
		addr := net.JoinHostPort(host, fmt.Sprint(firstPort+rand.IntN(portCount)))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return addr, nil
	}
	return "", fmt.Errorf("e2e: no port of %s is free for TCP and UDP", host)
}
