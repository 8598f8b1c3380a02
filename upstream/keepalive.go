package upstream

import (
	"net"
	"syscall"
	"time"
)

// keepAlive has the kernel probe a connection without traffic, so that one
// which something in between has lost track of fails within about 4 s although
// the runner is healthy and merely slow.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
	// unacknowledgedLimit is how long sent bytes may stay unacknowledged.
	unacknowledgedLimit = 2 * time.Second
)

// limitUnacknowledged has the kernel fail a connection whose bytes are not
// acknowledged, as on a silent cut.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit.Milliseconds()))
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
