package gateway

import (
	"bytes"
	"fmt"
	"strconv"
)

// maxEventBytes is the maximum size of one event, and of the comments before the
// first event.
const maxEventBytes = 1 << 20

var errEventTooLarge = fmt.Errorf("an event of the stream, or what precedes its first event, exceeds %d bytes", maxEventBytes)

// eventSplitter splits a byte stream into complete server-sent events and drops
// those that were already seen. An empty line ends an event. Comments and empty
// events are passed on, but they are no progress of the stream.
type eventSplitter struct {
	pending []byte
	// preamble holds what came before the first event with content: until then
	// the request may still be sent to another runner.
	preamble []byte
	started  bool
	// lastID is the ID of the newest event as sent, lastNumber its numeric value.
	lastID     string
	lastNumber int64
}

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// push appends bytes and returns the events that they complete. It drops events
// that were already seen, because a resumed stream may repeat them. progressed
// is true if one of the events has content.
func (s *eventSplitter) push(b []byte) (events []byte, progressed bool, err error) {
	s.pending = append(s.pending, b...)
	rest := s.pending
	for {
		i := bytes.Index(rest, eventEnd)
		if i < 0 {
			break
		}
		event := rest[:i+len(eventEnd)]
		rest = rest[i+len(eventEnd):]
		switch {
		case !s.isNew(event):
		case hasContent(event):
			progressed = true
			events = append(append(events, s.takePreamble()...), event...)
		case s.started:
			events = append(events, event...)
		default:
			s.preamble = append(s.preamble, event...)
		}
	}
	s.pending = append(s.pending[:0], rest...)
	if len(s.pending) > maxEventBytes || len(s.preamble) > maxEventBytes {
		err = errEventTooLarge
	}
	return events, progressed, err
}

// takePreamble returns what came before the first event with content.
func (s *eventSplitter) takePreamble() []byte {
	b := s.preamble
	s.preamble, s.started = nil, true
	return b
}

// hasContent reports whether an event has an ID or data.
func hasContent(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, idField) || bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
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

// dropPartial discards an incomplete event and what preceded the first one.
func (s *eventSplitter) dropPartial() { s.pending, s.preamble = s.pending[:0], nil }

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
