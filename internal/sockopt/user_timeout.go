// Package sockopt sets socket options that the standard library does not offer.
package sockopt

import (
	"syscall"
	"time"
)

// optTCPUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not
// define on all architectures.
const optTCPUserTimeout = 18

// SetUserTimeout makes the kernel close a TCP connection whose sent bytes stay
// unacknowledged for timeout, for example because the network drops all packets.
func SetUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
