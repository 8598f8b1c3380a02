package gateway

import (
	"bytes"
	"strconv"
)

// eventSplitter cuts a stream into whole events and checks their order. An
// event ends with an empty line.
type eventSplitter struct {
	pending []byte
	// lastID is the id of the newest event, as sent; last is its number.
	lastID string
	last   int64
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// push takes bytes and gives the whole events that they complete. Events that
// were seen before are left out: a resumed stream may repeat one.
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
	if s.lastID != "" && n <= s.last {
		return false
	}
	s.lastID, s.last = id, n
	return true
}

// resumeAfter notes that the caller has the events up to an id.
func (s *eventSplitter) resumeAfter(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID, s.last = id, n
	}
}

// dropPartial forgets an event that was cut off.
func (s *eventSplitter) dropPartial() { s.pending = s.pending[:0] }

// hasPartial says that the stream stands within an event.
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
