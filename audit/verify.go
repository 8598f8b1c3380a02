package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
)

// Report is the result of a verification.
type Report struct {
	Segments int    `json:"segments"`
	First    uint64 `json:"first_segment"`
	Records  uint64 `json:"records"`
	Bytes    int64  `json:"bytes"`
	// Head is the chain hash after the last record. An auditor who noted an
	// earlier head can tell that the chain was extended, not rewritten.
	Head [32]byte `json:"head"`
}

// Stats are the sizes of a store.
type Stats struct {
	Segments int    `json:"segments"`
	Records  uint64 `json:"records"`
	Bytes    int64  `json:"bytes"`
	// IndexEntries is the number of index entries in memory: one for each
	// session of a sealed segment, more of the active one.
	IndexEntries int `json:"index_entries"`
}

// Stats gives the present sizes.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var st Stats
	for _, seg := range s.segments {
		st.Segments++
		st.Records += seg.records
		st.Bytes += seg.size
		st.IndexEntries += len(seg.ranges)
		if seg.index != nil {
			st.IndexEntries += seg.index.size()
		}
	}
	return st
}

// Verify reads every durable byte again and checks checksums, the hash chain
// and the links between segments. Damage gives a *CorruptError.
func (s *Store) Verify() (Report, error) {
	for {
		a, views := s.views()
		report, err := verifyChain(a, views)
		if err == nil {
			return report, nil
		}
		// Retention may have deleted a segment during the verification.
		if now, _ := s.views(); now == a {
			return report, err
		}
	}
}

// views copies what a reader outside of the lock needs of each segment.
func (s *Store) views() (anchor, []segment) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	views := make([]segment, 0, len(s.segments))
	for _, seg := range s.segments {
		views = append(views, segment{number: seg.number, path: seg.path, size: seg.size, sealed: seg.sealed, end: seg.end})
	}
	return s.anchor, views
}

// VerifyDir checks the segments in dir without opening a store, for instance
// those of a copy. A torn tail is reported as damage.
func VerifyDir(dir string) (Report, error) {
	a, err := readAnchor(dir)
	if err != nil {
		return Report{}, err
	}
	numbers, err := listSegments(dir)
	if err != nil {
		return Report{}, err
	}
	var views []segment
	for i, n := range numbers {
		path := segmentPath(dir, n)
		info, err := os.Stat(path)
		if err != nil {
			return Report{}, fmt.Errorf("audit: read segment: %w", err)
		}
		views = append(views, segment{number: n, path: path, size: info.Size(), sealed: i < len(numbers)-1})
	}
	return verifyChain(a, views)
}

// verifyChain checks the durable part of each segment against the anchor and
// against the segment before it.
func verifyChain(a anchor, views []segment) (Report, error) {
	report := Report{First: a.First, Head: a.Prev}
	for i, v := range views {
		if want := a.First + uint64(i); v.number != want {
			return report, missingSegment(dirOf(v.path), want)
		}
		got, err := verifySegment(v)
		if err != nil {
			return report, err
		}
		if got.header.Number != v.number || got.header.Prev != report.Head {
			return report, got.corrupt(0, "the segment does not continue the one before it")
		}
		if v.sealed && !got.sealed {
			return report, got.corrupt(got.size, "the seal is missing")
		}
		if err := verifyIndex(got); err != nil {
			return report, err
		}
		report.Segments++
		report.Records += got.records
		report.Bytes += got.size
		report.Head = got.end
	}
	return report, nil
}

// verifyIndex compares the index file of a sealed segment, if it has one, with
// the segment: a false index would hide records from queries.
func verifyIndex(got *segment) error {
	if !got.sealed {
		return nil
	}
	have, err := os.ReadFile(indexPath(got.path))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("audit: read index: %w", err)
	}
	want, err := encodeIndex(indexOf(got))
	if err != nil {
		return err
	}
	if !bytes.Equal(have, want) {
		return &IndexError{Path: indexPath(got.path)}
	}
	return nil
}

func verifySegment(v segment) (*segment, error) {
	file, err := os.Open(v.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, &CorruptError{Path: v.path, Detail: "the segment is missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	got := &segment{number: v.number, path: v.path}
	keepNothing := func(*encodedBatch, int64, int64) error { return nil }
	if err := got.scan(io.LimitReader(file, v.size), keepNothing); err != nil {
		return nil, err
	}
	if got.size != v.size {
		return nil, got.corrupt(got.size, fmt.Sprintf("the segment ends early; it had %d bytes", v.size))
	}
	return got, nil
}
