// Package accept implements the accept loop of a server.
package accept

import (
	"net"
	"time"
)

// retryDelay is the wait after a failed accept, for example when the process has
// no free file descriptor.
const retryDelay = 50 * time.Millisecond

// Loop accepts connections until stopped is closed. It calls handle for each
// connection and onError for each error. It closes a connection that is accepted
// after stopped was closed. As Accept blocks, the caller also has to close the
// listener for Loop to return.
func Loop(l net.Listener, stopped <-chan struct{}, handle func(net.Conn), onError func(error)) {
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
			handle(c)
			continue
		}
		onError(err)
		select {
		case <-stopped:
			return
		case <-time.After(retryDelay):
		}
	}
}
