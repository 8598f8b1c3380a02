package upstream

import (
	"net"
	"syscall"
	"time"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// keepAlive has the kernel probe a connection without traffic, so that one
// which something in between has lost track of fails within about 4 s although
// the runner is healthy and merely slow.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// unacknowledgedLimit is how long sent bytes may stay unacknowledged.
const unacknowledgedLimit = 2 * time.Second

// limitUnacknowledged has the kernel fail a connection whose bytes are not
// acknowledged, as on a silent cut.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	return sockopt.SetUserTimeout(c, unacknowledgedLimit)
}
