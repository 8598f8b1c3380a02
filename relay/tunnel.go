package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the largest piece of a connection that is sent at once.
	chunkBytes = 16 << 10
	// chunksInFlight bounds what one direction of a connection holds.
	chunksInFlight = 256
)

// tunnel is one relayed connection.
type tunnel struct {
	pairing Pair
	caller  net.Conn
	stop    chan struct{}
	once    sync.Once

	mu     sync.Mutex
	target net.Conn
	frozen bool
	// stopped is closed when the tunnel is frozen.
	stopped chan struct{}
}

func newTunnel(caller net.Conn) *tunnel {
	return &tunnel{caller: caller, stop: make(chan struct{}), stopped: make(chan struct{})}
}

// setTarget is false if the tunnel was closed meanwhile.
func (t *tunnel) setTarget(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.stop:
		_ = c.Close()
		return false
	default:
		t.target = c
		return true
	}
}

func (t *tunnel) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.frozen {
		t.frozen = true
		close(t.stopped)
	}
}

func (t *tunnel) close() {
	t.once.Do(func() { close(t.stop) })
	_ = t.caller.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.target != nil {
		_ = t.target.Close()
	}
}

// reset closes the caller's connection so that it gets a reset.
func (t *tunnel) reset() {
	if tcp, ok := t.caller.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	t.close()
}

// chunk is a piece of a connection on its way. A nil piece is the end.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// pump carries one direction until its end.
func (t *tunnel) pump(from, to net.Conn, d *Direction) {
	chunks := make(chan chunk, chunksInFlight)
	go t.read(from, d, chunks)
	for {
		var c chunk
		select {
		case c = <-chunks:
		case <-t.stop:
			return
		}
		if !t.arrive(c, d) {
			return
		}
		if c.err != nil {
			t.end(to, c.err)
			return
		}
		// Counted first, so that whoever has received the bytes finds them in
		// the count.
		d.arrived(len(c.data))
		if _, err := to.Write(c.data); err != nil {
			t.close()
			return
		}
	}
}

// arrive waits until a chunk is due and its direction works. On a frozen
// tunnel nothing arrives; it is false when the tunnel has been closed.
func (t *tunnel) arrive(c chunk, d *Direction) bool {
	if !waitUntil(c.due, t.stop) || !d.await(t.stop) {
		return false
	}
	select {
	case <-t.stopped:
		<-t.stop
		return false
	default:
		return true
	}
}

// end passes the end of a connection on: an orderly end closes one direction,
// anything else the whole tunnel.
func (t *tunnel) end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	t.reset()
}

func (t *tunnel) read(from net.Conn, d *Direction, chunks chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		now := time.Now()
		if n > 0 && !t.send(chunks, chunk{data: buf[:n], due: d.due(now, n)}) {
			return
		}
		if err != nil {
			t.send(chunks, chunk{err: err, due: d.due(now, 0)})
			return
		}
	}
}

func (t *tunnel) send(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-t.stop:
		return false
	}
}
