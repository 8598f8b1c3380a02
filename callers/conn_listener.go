package callers

import (
	"net"
	"sync"
)

// connListener is a net.Listener that accepts the connections passed to deliver.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener(addr net.Addr) *connListener {
	return &connListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// deliver passes a connection to Accept. It returns false if the listener is
// closed.
func (l *connListener) deliver(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and deliver return.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the underlying network listener.
func (l *connListener) Addr() net.Addr { return l.addr }
