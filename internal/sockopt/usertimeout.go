// Package sockopt sets socket options that the standard library does not offer.
package sockopt

import (
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// SetUserTimeout has the kernel end a TCP connection whose sent bytes stay
// unacknowledged for limit, as on a silent cut.
func SetUserTimeout(c syscall.RawConn, limit time.Duration) error {
	var err error
	ctlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if ctlErr != nil {
		return ctlErr
	}
	return err
}
