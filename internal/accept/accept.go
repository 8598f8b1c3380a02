// Package accept takes connections from a listener until it is stopped.
package accept

import (
	"net"
	"time"
)

// pause is the wait after a failed accept, for instance for want of
// descriptors.
const pause = 50 * time.Millisecond

// Loop gives each connection to take, and each error to failed, until stopped is
// closed. A connection that comes after that is closed.
func Loop(l net.Listener, stopped <-chan struct{}, take func(net.Conn), failed func(error)) {
	for {
		c, err := l.Accept()
		select {
		case <-stopped:
			if err == nil {
				_ = c.Close()
			}
			return
		default:
		}
		if err == nil {
			take(c)
			continue
		}
		failed(err)
		select {
		case <-stopped:
			return
		case <-time.After(pause):
		}
	}
}
