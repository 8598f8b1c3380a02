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
	parts := s.parts(func(x *sparseIndex) []span { return x.find(id) })
	err := readParts(parts, func(b *encodedBatch) error {
		if b.Session != id.Session {
			return nil
		}
		return b.each(func(e Entry) {
			if e.Record.Request.Seq == id.Seq {
				found = append(found, e)
			}
		})
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
	parts := s.parts(func(x *sparseIndex) []span { return x.all(session) })
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
		for id := range seg.index.spans {
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

// parts collects what choose picks from the index of each segment.
func (s *Store) parts(choose func(*sparseIndex) []span) []part {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []part
	for _, seg := range s.segments {
		for _, sp := range choose(seg.index) {
			all = append(all, part{path: seg.path, from: sp.from, to: sp.to})
		}
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
