package upstream

import (
	"net"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// keepAlive makes the kernel probe connections without traffic. If a network
// device on the path has dropped its state of a connection, the connection fails
// within about 4 s, while one to a slow but healthy runner stays open.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// unacknowledgedTimeout is how long sent bytes may remain unacknowledged.
const unacknowledgedTimeout = 2 * time.Second

// setUnacknowledgedTimeout makes the kernel fail a connection whose sent bytes are
// not acknowledged, as when the network drops all packets.
func setUnacknowledgedTimeout(_, _ string, c syscall.RawConn) error {
	return sockopt.SetUserTimeout(c, unacknowledgedTimeout)
}
