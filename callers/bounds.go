package callers

import (
	"cmp"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
)

// Bounds limit what all connections of a Server together take of the process. The
// zero value sets no bound on connections and memory.
type Bounds struct {
	// MaxConns is the number of connections beyond which one is closed for each new one.
	MaxConns int
	// WriteTimeout ends a connection whose client takes nothing of a response for so
	// long. It is in force where the handler sets no deadline of its own. 0 stands for
	// the default.
	WriteTimeout time.Duration
	// Memory bounds the heads that are being read or handled, together with whatever
	// else it counts. A head that finds no room is refused.
	Memory *buffers.Memory
}

const (
	// defaultWriteTimeout is longer than a client that reads takes for one write.
	defaultWriteTimeout = 2 * time.Minute
	// fieldBytes is what net/http and the copies of a head take for a line of it,
	// beside its bytes.
	fieldBytes = 256
	// fullTime is how long a server counts as full after it had no place. It is longer
	// than the time between two questions for readiness.
	fullTime = 2 * time.Second
	// refusalWriteTimeout limits the write of a refusal.
	refusalWriteTimeout = time.Second
	// shortageLogInterval is the time between two log lines about a shortage of places.
	shortageLogInterval = 5 * time.Second
	// socketBufferBytes is the size of the kernel's buffers of a connection, each way.
	socketBufferBytes = 64 << 10
)

// SetBounds sets the bounds. It must be called before Start.
func (s *Server) SetBounds(b Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.WriteTimeout = cmp.Or(b.WriteTimeout, defaultWriteTimeout)
	s.bounds = b
}

// makeRoom reports whether a new connection of an address may be taken. If there are too
// many it closes one for it. It is called with mu held.
func (s *Server) makeRoom(now time.Time, address string) bool {
	if s.bounds.MaxConns <= 0 || len(s.conns)-s.evicting < s.bounds.MaxConns {
		return true
	}
	places := s.places[address]
	victim := s.victim(now, places)
	if victim == nil {
		s.metrics.connsRefused.Inc()
		s.logShortage(now, "")
		if places == 0 || s.victim(now, 0) == nil {
			s.fullAt = now
		}
		return false
	}
	s.metrics.connsEvicted.Inc()
	s.logShortage(now, victim.address)
	s.evicting++
	victim.evict()
	return true
}

// IsFull reports whether the server has just had no place for a new client: every place
// is held by a request that is being worked on, or has been for a moment only.
func (s *Server) IsFull(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.fullAt.IsZero() && now.Sub(s.fullAt) < fullTime
}

// logShortage logs that places are short, at most once in shortageLogInterval. address
// is that of the client that lost its place, "" if a new one was refused. It is called
// with mu held.
func (s *Server) logShortage(now time.Time, address string) {
	if now.Sub(s.shortageLoggedAt) < shortageLogInterval {
		return
	}
	s.shortageLoggedAt = now
	s.log.Warn().Str("door", s.listener.Addr().String()).Str("closed", address).Int("connections", len(s.conns)).Int("limit", s.bounds.MaxConns).
		Msg("callers: places for connections are short")
}

// evict closes the connection. One that waits for its next request is only closed if
// nothing of that has arrived.
func (c *conn) evict() {
	c.mu.Lock()
	c.evicted = true
	waits := c.state == stateWaiting
	c.mu.Unlock()
	if waits {
		c.closeIdle()
		return
	}
	_ = c.Conn.Close()
}

// refusedHead is sent to a client whose head finds no room. Nothing of its request was
// executed.
const refusedHead = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseHead refuses a request whose head finds no room.
func (c *conn) refuseHead() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.Conn.Write([]byte(refusedHead))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// end gives back the room of a closed connection's head. It reports whether the
// connection was closed for a new one.
func (c *conn) end() (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	return c.evicted
}
