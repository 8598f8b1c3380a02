package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxChunkBytes = 16 << 10
	// maxChunksInFlight limits the data in transit in one direction of a
	// connection.
	maxChunksInFlight = 256
)

// tcpConn is one relayed connection, with a socket to the client and one to the
// target.
type tcpConn struct {
	pair      RegionPair
	client    net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu     sync.Mutex
	target net.Conn
	frozen bool
	// frozenCh is closed when the connection is frozen.
	frozenCh chan struct{}
}

func newTCPConn(client net.Conn) *tcpConn {
	return &tcpConn{client: client, closed: make(chan struct{}), frozenCh: make(chan struct{})}
}

// setTarget stores the connection to the target. If the relayed connection has
// been closed meanwhile, it closes target and returns false.
func (t *tcpConn) setTarget(target net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.closed:
		_ = target.Close()
		return false
	default:
		t.target = target
		return true
	}
}

func (t *tcpConn) freeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.frozen {
		t.frozen = true
		close(t.frozenCh)
	}
}

func (t *tcpConn) close() {
	t.closeOnce.Do(func() { close(t.closed) })
	_ = t.client.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.target != nil {
		_ = t.target.Close()
	}
}

// reset closes the connection such that the client receives a TCP reset.
func (t *tcpConn) reset() {
	if tcp, ok := t.client.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	t.close()
}

// chunk is data in transit or, if err is set, the end of the stream.
type chunk struct {
	data      []byte
	arrivesAt time.Time
	err       error
}

// forward relays one direction until it ends.
func (t *tcpConn) forward(from, to net.Conn, d *Direction) {
	chunks := make(chan chunk, maxChunksInFlight)
	go t.read(from, d, chunks)
	for {
		var c chunk
		select {
		case c = <-chunks:
		case <-t.closed:
			return
		}
		if !t.waitForArrival(c, d) {
			return
		}
		if c.err != nil {
			t.endStream(to, c.err)
			return
		}
		// Counted before the write, so that the count already includes the bytes
		// when the receiver has read them.
		d.addBytes(len(c.data))
		if _, err := to.Write(c.data); err != nil {
			t.close()
			return
		}
	}
}

// waitForArrival blocks until the chunk's arrival time has passed and the
// direction is not cut, or for as long as the connection is frozen. It returns
// false if the connection is closed.
func (t *tcpConn) waitForArrival(c chunk, d *Direction) bool {
	if !sleepUntil(c.arrivesAt, t.closed) || !d.waitWhileCut(t.closed) {
		return false
	}
	select {
	case <-t.frozenCh:
		<-t.closed
		return false
	default:
		return true
	}
}

// endStream relays the end of one direction: EOF closes only that direction, any
// other error resets the connection.
func (t *tcpConn) endStream(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	t.reset()
}

func (t *tcpConn) read(from net.Conn, d *Direction, chunks chan<- chunk) {
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := from.Read(buf)
		now := time.Now()
		if n > 0 && !t.enqueue(chunks, chunk{data: buf[:n], arrivesAt: d.arrivalTime(now, n)}) {
			return
		}
		if err != nil {
			t.enqueue(chunks, chunk{err: err, arrivesAt: d.arrivalTime(now, 0)})
			return
		}
	}
}

func (t *tcpConn) enqueue(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-t.closed:
		return false
	}
}
