package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"damaskbridge.example/damaskbridge/buffers"
)

// maxEventBytes is the maximum size of one event, and of the comments before the
// first event.
const maxEventBytes = 1 << 20

const (
	// freeEventBytes is the part of each stream's buffers that is not counted.
	freeEventBytes = 32 << 10
	// eventBytesFactor covers a buffer that is copied into a larger one.
	eventBytesFactor = 2
	// maxKeptEventBytes is the size up to which a buffer is kept for later events.
	maxKeptEventBytes = 16 << 10
)

var errEventTooLarge = fmt.Errorf("an event of the stream, or what precedes its first event, exceeds %d bytes", maxEventBytes)

// eventSplitter splits a byte stream into complete server-sent events and drops
// those that were already seen. An empty line ends an event; lines end with LF or
// CR LF. Comments and empty events are passed on, but they are no progress of the
// stream.
type eventSplitter struct {
	pending []byte
	// preamble holds what came before the first event with content: until then
	// the request may still be sent to another runner.
	preamble []byte
	started  bool
	// lastID is the ID of the newest event as sent, lastNumber its numeric value.
	lastID     string
	lastNumber int64
	// unnumbered is true once an event with content came whose ID is no number.
	// After it nobody can tell where the stream stands.
	unnumbered bool
	// resumed is true if the bytes are the answer to a resume, proved once that
	// answer has shown a numbered event.
	resumed bool
	proved  bool
	// account counts pending and preamble.
	account *buffers.Account
}

var (
	errNotTheStream = errors.New("the answer to the resume is not the stream that was broken off")
	errNoProof      = errors.New("the answer to the resume ended without an event of the stream")
)

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// maxEndBytes is the length of the longest end of an event: a line end and an empty line.
const maxEndBytes = len("\n\r\n")

// endOfEvent returns the position behind the first event in b, or -1 if none ends there.
// Its end is looked for from a position on.
func endOfEvent(b []byte, from int) int {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + len("\r\n")
		}
	}
}

// push appends bytes and returns the events that they complete. It drops events
// that were already seen, because a resumed stream may repeat them. progressed
// is true if one of the events has content. It returns a *buffers.FullError if the
// incomplete events find no room.
func (s *eventSplitter) push(b []byte) (events []byte, progressed bool, err error) {
	if err := s.count(len(b)); err != nil {
		return nil, false, err
	}
	// What is pending has no end of an event, but may have the first bytes of one.
	searched := max(len(s.pending)-maxEndBytes+1, 0)
	s.pending = append(s.pending, b...)
	rest := s.pending
	for {
		end := endOfEvent(rest, searched)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[len(event):]
		searched = 0
		content := hasContent(event)
		if s.resumed && !isContinuation(event, content) {
			return events, progressed, errNotTheStream
		}
		s.proved = s.proved || content
		switch {
		case !s.isNew(event, content):
		case content:
			progressed = true
			events = append(append(events, s.takePreamble()...), event...)
		case s.started:
			events = append(events, event...)
		default:
			s.preamble = append(s.preamble, event...)
		}
	}
	if len(rest) < len(s.pending) {
		s.pending = append(s.pending[:0], rest...)
	}
	s.shrink()
	if len(s.pending) > maxEventBytes || len(s.preamble) > maxEventBytes {
		err = errEventTooLarge
	}
	return events, progressed, err
}

// count counts the buffers before they grow by n bytes.
func (s *eventSplitter) count(n int) error {
	return s.account.Resize(eventBytesFactor * int64(len(s.pending)+len(s.preamble)+n))
}

// shrink gives back the memory of a large event that has been passed on.
func (s *eventSplitter) shrink() {
	if cap(s.pending) > max(maxKeptEventBytes, eventBytesFactor*len(s.pending)) {
		s.pending = bytes.Clone(s.pending)
	}
	// What shrinks always finds room.
	_ = s.count(0)
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

func (s *eventSplitter) isNew(event []byte, content bool) bool {
	id := eventID(event)
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.unnumbered = s.unnumbered || content
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

// position returns the ID of the last event, after which the stream may be
// resumed. It is empty if that is not known.
func (s *eventSplitter) position() string {
	if s.unnumbered {
		return ""
	}
	return s.lastID
}

// beginResumedLeg discards an incomplete event and prepares for the answer to a
// resume. Until that has shown an event of the stream, nothing of it is returned.
func (s *eventSplitter) beginResumedLeg() {
	s.pending, s.preamble = nil, nil
	s.shrink()
	s.started, s.resumed, s.proved = false, true, false
}

// checkEnd returns an error if the stream ended inside an event, or if the answer
// to a resume has shown no event of the stream: it may be another runner's error.
func (s *eventSplitter) checkEnd() error {
	if s.hasPartial() {
		return errPartialEvent
	}
	if s.resumed && !s.proved {
		return errNoProof
	}
	return nil
}

// extensionPrefix begins the names of fields that are not part of the standard.
var extensionPrefix = []byte("x-")

// isContinuation reports whether an event may be part of a stream of numbered
// events: it has only fields of events, and a number if it has content.
func isContinuation(event []byte, content bool) bool {
	for line := range bytes.Lines(event) {
		name, _, isField := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if !isField && len(name) > 0 || !isFieldName(name) {
			return false
		}
	}
	if !content {
		return true
	}
	_, err := strconv.ParseInt(eventID(event), 10, 64)
	return err == nil
}

// isFieldName reports whether a line of an event may begin with name. A comment
// has an empty one.
func isFieldName(name []byte) bool {
	switch string(name) {
	case "", "id", "data", "event", "retry":
		return true
	}
	return bytes.HasPrefix(name, extensionPrefix)
}

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
