package callers

import "time"

const (
	// minStall is how long a connection has made no progress at least before it is
	// closed for a new one of an address with no more places.
	minStall = time.Second
	// minReception is how long its request has been received at least before that, if
	// bytes of it still come.
	minReception = 2 * time.Second
	// minExcess is how many places more its address holds than that of the new one at
	// least, if neither of both is the case.
	minExcess = 2
)

// holder is a connection that may have to give its place to a new one.
type holder struct {
	conn *conn
	// places is the number of places that the connection's address holds.
	places int
	// progressAt is when a byte was last read from the client or taken by it, and
	// receivingSince when its request began to arrive that is not complete, zero if
	// there is none.
	progressAt     time.Time
	receivingSince time.Time
	// answering means that a response is being written, which is lost with the
	// connection.
	answering bool
}

// mayLose reports whether the connection may be closed for one of an address that holds
// a number of places. An address never takes a place of one that holds fewer.
func (h *holder) mayLose(now time.Time, places int) bool {
	switch {
	case h.places < places:
		return false
	case h.places >= places+minExcess && !h.answering:
		return true
	}
	return now.Sub(h.progressAt) >= minStall || !h.receivingSince.IsZero() && now.Sub(h.receivingSince) >= minReception
}

// losesBefore reports whether the connection is closed sooner than another one: that of
// the address with most places, and of these the one that has kept its place without
// need for longest.
func (h *holder) losesBefore(other *holder) bool {
	if h.places != other.places {
		return h.places > other.places
	}
	return h.since().Before(other.since())
}

// since returns since when the connection has made no progress, or received its request.
func (h *holder) since() time.Time {
	if !h.receivingSince.IsZero() && h.receivingSince.Before(h.progressAt) {
		return h.receivingSince
	}
	return h.progressAt
}

// victim returns the connection that is closed for a new one of an address that holds a
// number of places, or nil if none may be. It is called with mu held.
func (s *Server) victim(now time.Time, places int) *conn {
	var first *holder
	for c := range s.conns {
		h, evictable := c.holder()
		if !evictable {
			continue
		}
		h.places = s.places[c.address]
		if h.mayLose(now, places) && (first == nil || h.losesBefore(first)) {
			first = h
		}
	}
	if first == nil {
		return nil
	}
	return first.conn
}

// holder returns what decides about the place of the connection, and whether it may be
// closed for a new one: its request is not being worked on.
func (c *conn) holder() (h *holder, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h = &holder{conn: c, progressAt: c.progressAt}
	switch {
	case c.evicted:
		return nil, false
	case c.state == stateReceiving || c.state == stateActive && c.framer.phase != phaseHead:
		h.receivingSince = c.headBegunAt
		return h, true
	case c.state != stateActive:
		return h, true
	}
	h.progressAt, h.answering = c.writingSince, true
	return h, !c.writingSince.IsZero()
}
