package callers

import (
	"net"
	"sync"
)

// feed is a listener whose connections are given to it.
type feed struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newFeed(addr net.Addr) *feed {
	return &feed{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// give hands a connection over, false if the listener is closed.
func (f *feed) give(c net.Conn) bool {
	select {
	case f.conns <- c:
		return true
	case <-f.done:
		return false
	}
}

// Accept gives the next connection.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr is the address of the real listener.
func (f *feed) Addr() net.Addr { return f.addr }
