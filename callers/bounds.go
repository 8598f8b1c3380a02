package callers

import (
	"cmp"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
)

// Bounds limit what all connections of a Server together take of the process. The
// zero value sets no bound on connections and memory.
type Bounds struct {
	// MaxConns is the number of connections beyond which one that makes no progress
	// is closed for each new one.
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
	// defaultWriteTimeout is longer than any request may last.
	defaultWriteTimeout = 2 * time.Minute
	// fieldBytes is what net/http and the copies of a head take for a line of it,
	// beside its bytes.
	fieldBytes = 256
	// minStall is how long a connection has made no progress at least before it is
	// closed for a new one.
	minStall = time.Second
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

// makeRoom reports whether a new connection may be taken. If there are too many it
// closes the one that has made no progress for longest. It is called with mu held.
func (s *Server) makeRoom(now time.Time) bool {
	if s.bounds.MaxConns <= 0 || len(s.conns)-s.evicting < s.bounds.MaxConns {
		return true
	}
	victim := s.leastProgress(now)
	if victim == nil {
		s.metrics.connsRefused.Inc()
		s.logShortage(now, "")
		return false
	}
	s.metrics.connsEvicted.Inc()
	s.logShortage(now, victim.address)
	s.evicting++
	victim.evict()
	return true
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

// leastProgress returns the connection that has made no progress for longest, among
// those of the addresses that have most connections, or nil if every one has made
// some. It is called with mu held.
func (s *Server) leastProgress(now time.Time) *conn {
	byAddress := map[string]int{}
	for c := range s.conns {
		byAddress[c.address]++
	}
	var victim *conn
	var since time.Time
	for c := range s.conns {
		progress, evictable := c.lastProgress()
		if !evictable || now.Sub(progress) < minStall {
			continue
		}
		more := 0
		if victim != nil {
			more = cmp.Compare(byAddress[c.address], byAddress[victim.address])
		}
		if victim == nil || more > 0 || more == 0 && progress.Before(since) {
			victim, since = c, progress
		}
	}
	return victim
}

// lastProgress returns when a byte was last read from the client or taken by it, and
// whether the connection may be closed for a new one: its request is not being worked
// on.
func (c *conn) lastProgress() (at time.Time, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted:
		return time.Time{}, false
	case c.state != stateActive || c.framer.phase != phaseHead:
		return c.progressAt, true
	}
	return c.writingSince, !c.writingSince.IsZero()
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
	_ = c.Conn.SetWriteDeadline(time.Now().Add(minStall))
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
