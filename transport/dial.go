package transport

import (
	"errors"
	"net"
	"os"
	"time"
)

// dialAttemptTimeout is longer than a round trip between regions and shorter
// than the second after which a lost SYN packet is sent again. VMs that start
// together after a power loss connect to each other before all of them are up.
const dialAttemptTimeout = 300 * time.Millisecond

// dialInAttempts calls attempt with the time that it may take, and again if it
// times out, for at most limit in all.
func dialInAttempts(limit time.Duration, attempt func(timeout time.Duration) (net.Conn, error)) (net.Conn, error) {
	for left := limit; ; left -= dialAttemptTimeout {
		conn, err := attempt(min(left, dialAttemptTimeout))
		if err == nil || left <= dialAttemptTimeout || !isTimeout(err) {
			return conn, err
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}
