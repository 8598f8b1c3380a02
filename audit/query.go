package audit

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"

	"damaskbridge.example/damaskbridge/ids"
)

// segmentRange is a byte range of a segment file.
type segmentRange struct {
	path     string
	from, to int64
}

// Query returns the durable records of one request in the order of the session.
func (s *Store) Query(id ids.RequestID) ([]Entry, error) {
	var found []Entry
	ranges := s.findRanges(id.Session, func(spans []span) []span { return spansContaining(spans, id.Seq) })
	err := readRanges(ranges, func(b *encodedBatch) error {
		if b.Session != id.Session {
			return nil
		}
		entries, err := b.entriesOf(id.Seq)
		found = append(found, entries...)
		return err
	})
	return Merge(found), err
}

// OpenRequests returns the requests of a session that have a begin record but
// no end record in this store, ordered by sequence number. Another control VM's
// store may have the end record.
func (s *Store) OpenRequests(session ids.SessionID) ([]ids.RequestID, error) {
	began := make(map[uint64]bool)
	ended := make(map[uint64]bool)
	err := s.VisitSession(session, func(e Entry) {
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

// VisitSession calls visit with each durable record of a session, in stored
// order.
func (s *Store) VisitSession(session ids.SessionID, visit func(Entry)) error {
	ranges := s.findRanges(session, func(spans []span) []span { return spans })
	return readRanges(ranges, func(b *encodedBatch) error {
		if b.Session != session {
			return nil
		}
		return b.eachEntry(visit)
	})
}

// Sessions returns the sessions that have records.
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

func (e *encodedBatch) eachEntry(visit func(Entry)) error {
	for i := range e.Records {
		entry, err := e.entry(i)
		if err != nil {
			return err
		}
		visit(entry)
	}
	return nil
}

// entriesOf returns the entries of one request.
func (e *encodedBatch) entriesOf(seq uint64) ([]Entry, error) {
	var found []Entry
	for i, raw := range e.Records {
		got, err := recordSeq(raw)
		if err != nil {
			return nil, err
		}
		if got != seq {
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

// sessions returns the sessions with records in the segment and the bounds of
// their sequence numbers.
func (s *segment) sessions() map[ids.SessionID]seqBounds {
	if s.index == nil {
		return s.seqBounds
	}
	all := make(map[ids.SessionID]seqBounds, len(s.index.spans))
	for id, spans := range s.index.spans {
		all[id] = seqBoundsOf(spans)
	}
	return all
}

// findRanges returns the ranges, over all segments, of the session's spans that
// choose selects.
func (s *Store) findRanges(session ids.SessionID, choose func([]span) []span) []segmentRange {
	var all []segmentRange
	for _, c := range s.candidateSegments(session, choose) {
		spans := c.spans
		if c.indexOnDisk {
			spans = readSpans(c.path, c.number, c.size, session)
		}
		for _, sp := range choose(spans) {
			all = append(all, segmentRange{path: c.path, from: sp.From, to: sp.To})
		}
	}
	return all
}

// candidateSegment is a segment that may hold the wanted records. Its spans are
// either copied from memory or read from the index file.
type candidateSegment struct {
	path        string
	number      uint64
	size        int64
	spans       []span
	indexOnDisk bool
}

func (s *Store) candidateSegments(session ids.SessionID, choose func([]span) []span) []candidateSegment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []candidateSegment
	for _, seg := range s.segments {
		c := candidateSegment{path: seg.path, number: seg.number, size: seg.size, indexOnDisk: seg.index == nil}
		if c.indexOnDisk {
			r, ok := seg.seqBounds[session]
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

func readRanges(ranges []segmentRange, visit func(*encodedBatch) error) error {
	for _, r := range ranges {
		if err := r.read(visit); err != nil {
			return err
		}
	}
	return nil
}

// read calls visit with each batch of the range. It skips a segment that
// retention has deleted in the meantime.
func (r segmentRange) read(visit func(*encodedBatch) error) error {
	file, err := os.Open(r.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	buf := make([]byte, r.to-r.from)
	if _, err := file.ReadAt(buf, r.from); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("audit: read segment: %w", err)
	}
	return eachBatch(buf, r, visit)
}
