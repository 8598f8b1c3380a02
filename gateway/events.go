package gateway

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a byte stream into complete server-sent events and drops
// those that were already seen. An empty line ends an event.
type eventSplitter struct {
	pending []byte
	// lastID is the ID of the newest event as sent, lastNumber its numeric value.
	lastID     string
	lastNumber int64
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// push appends bytes and returns the events that they complete. It drops events
// that were already seen, because a resumed stream may repeat them.
func (s *eventSplitter) push(b []byte) (events []byte) {
	s.pending = append(s.pending, b...)
	rest := s.pending
	for {
		i := bytes.Index(rest, eventEnd)
		if i < 0 {
			break
		}
		event := rest[:i+len(eventEnd)]
		rest = rest[i+len(eventEnd):]
		if s.isNew(event) {
			events = append(events, event...)
		}
	}
	s.pending = append(s.pending[:0], rest...)
	return events
}

func (s *eventSplitter) isNew(event []byte) bool {
	id := eventID(event)
	if id == "" {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.lastID = id
		return true
	}
	if s.lastID != "" && n <= s.lastNumber {
		return false
	}
	s.lastID, s.lastNumber = id, n
	return true
}

// resumeAfter records that the caller already has the events up to id.
func (s *eventSplitter) resumeAfter(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID, s.lastNumber = id, n
	}
}

// dropPartial discards an incomplete event.
func (s *eventSplitter) dropPartial() { s.pending = s.pending[:0] }

// hasPartial reports whether the stream stopped inside an event.
func (s *eventSplitter) hasPartial() bool { return len(s.pending) > 0 }

func eventID(event []byte) string {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}
