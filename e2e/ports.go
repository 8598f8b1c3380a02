package e2e

import (
	"fmt"
	"net"
)

// freePort finds a port of host that is free for TCP and UDP. The programs
// must know each other's addresses before they start, so the port is given up
// again and taken by the program.
func freePort(host string) (string, error) {
	const tries = 20
	for range tries {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", fmt.Errorf("e2e: %w", err)
		}
		addr := l.Addr().String()
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
