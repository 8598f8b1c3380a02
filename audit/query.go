package audit

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"

	"damaskbridge.example/damaskbridge/ids"
)

// part is a readable piece of a segment.
type part struct {
	path     string
	from, to int64
}

// Query gives the durable records of one request in the order of the session.
func (s *Store) Query(id ids.RequestID) ([]Entry, error) {
	var found []Entry
	parts := s.parts(id.Session, func(spans []span) []span { return holding(spans, id.Seq) })
	err := readParts(parts, func(b *encodedBatch) error {
		if b.Session != id.Session {
			return nil
		}
		entries, err := b.of(id.Seq)
		found = append(found, entries...)
		return err
	})
	return Merge(found), err
}

// OpenRequests gives the requests of a session that have a begin and no end
// in this store, in order. The end may be in another control VM's store.
func (s *Store) OpenRequests(session ids.SessionID) ([]ids.RequestID, error) {
	began := make(map[uint64]bool)
	ended := make(map[uint64]bool)
	err := s.Session(session, func(e Entry) {
		switch e.Record.Kind {
		case Begin:
			began[e.Record.Request.Seq] = true
		case End:
			ended[e.Record.Request.Seq] = true
		}
	})
	var open []ids.RequestID
	for seq := range began {
		if !ended[seq] {
			open = append(open, ids.RequestID{Session: session, Seq: seq})
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i].Seq < open[j].Seq })
	return open, err
}

// Session passes each durable record of a session to visit, in stored order.
func (s *Store) Session(session ids.SessionID, visit func(Entry)) error {
	parts := s.parts(session, func(spans []span) []span { return spans })
	return readParts(parts, func(b *encodedBatch) error {
		if b.Session != session {
			return nil
		}
		return b.each(visit)
	})
}

// Sessions lists the sessions that have records.
func (s *Store) Sessions() []ids.SessionID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	seen := make(map[ids.SessionID]struct{})
	for _, seg := range s.segments {
		for id := range seg.sessions() {
			seen[id] = struct{}{}
		}
	}
	all := make([]ids.SessionID, 0, len(seen))
	for id := range seen {
		all = append(all, id)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].String() < all[j].String() })
	return all
}

func (e *encodedBatch) each(visit func(Entry)) error {
	for i := range e.Records {
		entry, err := e.entry(i)
		if err != nil {
			return err
		}
		visit(entry)
	}
	return nil
}

// of gives the entries of one request.
func (e *encodedBatch) of(seq uint64) ([]Entry, error) {
	var found []Entry
	for i, raw := range e.Records {
		have, err := seqOf(raw)
		if err != nil {
			return nil, err
		}
		if have != seq {
			continue
		}
		entry, err := e.entry(i)
		if err != nil {
			return nil, err
		}
		found = append(found, entry)
	}
	return found, nil
}

// sessions gives the sessions with records in the segment and their range of
// sequence numbers.
func (s *segment) sessions() map[ids.SessionID]seqRange {
	if s.index == nil {
		return s.ranges
	}
	all := make(map[ids.SessionID]seqRange, len(s.index.spans))
	for id, spans := range s.index.spans {
		all[id] = rangeOf(spans)
	}
	return all
}

// parts collects the spans of a session that choose picks, over all segments.
func (s *Store) parts(session ids.SessionID, choose func([]span) []span) []part {
	var all []part
	for _, c := range s.candidates(session, choose) {
		spans := c.spans
		if c.inFile {
			spans = spansOf(c.path, c.number, c.size, session)
		}
		for _, sp := range choose(spans) {
			all = append(all, part{path: c.path, from: sp.From, to: sp.To})
		}
	}
	return all
}

// candidate is a segment that may hold wanted records. Its spans are either
// copied from memory or in the index file.
type candidate struct {
	path   string
	number uint64
	size   int64
	spans  []span
	inFile bool
}

func (s *Store) candidates(session ids.SessionID, choose func([]span) []span) []candidate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []candidate
	for _, seg := range s.segments {
		c := candidate{path: seg.path, number: seg.number, size: seg.size, inFile: seg.index == nil}
		if c.inFile {
			r, ok := seg.ranges[session]
			if !ok || len(choose([]span{{Low: r.low, High: r.high}})) == 0 {
				continue
			}
		} else {
			c.spans = append([]span(nil), seg.index.spans[session]...)
		}
		all = append(all, c)
	}
	return all
}

func readParts(parts []part, visit func(*encodedBatch) error) error {
	for _, p := range parts {
		if err := p.read(visit); err != nil {
			return err
		}
	}
	return nil
}

// read passes each batch of the part to visit. A segment that retention has
// deleted since is passed over.
func (p part) read(visit func(*encodedBatch) error) error {
	file, err := os.Open(p.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	buf := make([]byte, p.to-p.from)
	if _, err := file.ReadAt(buf, p.from); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("audit: read segment: %w", err)
	}
	return eachBatch(buf, p, visit)
}
