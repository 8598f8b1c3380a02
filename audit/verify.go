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

// Stats describes the size of a store.
type Stats struct {
	Segments int    `json:"segments"`
	Records  uint64 `json:"records"`
	Bytes    int64  `json:"bytes"`
	// IndexEntries is the number of index entries in memory: one for each
	// session of a sealed segment, and one for each span of the active segment.
	IndexEntries int `json:"index_entries"`
}

// Stats returns the current size of the store.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var st Stats
	for _, seg := range s.segments {
		st.Segments++
		st.Records += seg.records
		st.Bytes += seg.size
		st.IndexEntries += len(seg.seqBounds)
		if seg.index != nil {
			st.IndexEntries += seg.index.spanCount()
		}
	}
	return st
}

// Verify reads every durable byte again and checks checksums, the hash chain
// and the links between segments. Damage gives a *CorruptError, and an index
// file that does not match its segment an *IndexError.
func (s *Store) Verify() (Report, error) {
	for {
		a, segments := s.snapshotSegments()
		report, err := verifyChain(a, segments)
		if err == nil {
			return report, nil
		}
		// Retry if retention has deleted a segment in the meantime.
		if current, _ := s.snapshotSegments(); current == a {
			return report, err
		}
	}
}

// snapshotSegments copies the fields of each segment that verification and
// replication read without the lock.
func (s *Store) snapshotSegments() (anchor, []segment) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	segments := make([]segment, 0, len(s.segments))
	for _, seg := range s.segments {
		segments = append(segments, segment{number: seg.number, path: seg.path, size: seg.size, sealed: seg.sealed, chainHead: seg.chainHead})
	}
	return s.anchor, segments
}

// VerifyDir verifies the segments in dir, for example those of a copy, without
// opening a store. A torn write is reported as damage.
func VerifyDir(dir string) (Report, error) {
	a, err := readAnchor(dir)
	if err != nil {
		return Report{}, err
	}
	numbers, err := listSegments(dir)
	if err != nil {
		return Report{}, err
	}
	var segments []segment
	for i, n := range numbers {
		path := segmentPath(dir, n)
		info, err := os.Stat(path)
		if err != nil {
			return Report{}, fmt.Errorf("audit: read segment: %w", err)
		}
		segments = append(segments, segment{number: n, path: path, size: info.Size(), sealed: i < len(numbers)-1})
	}
	return verifyChain(a, segments)
}

// verifyChain verifies the durable part of each segment against the anchor and
// the previous segment.
func verifyChain(a anchor, segments []segment) (Report, error) {
	report := Report{First: a.First, Head: a.Prev}
	for i, seg := range segments {
		if want := a.First + uint64(i); seg.number != want {
			return report, missingSegmentError(segmentDir(seg.path), want)
		}
		got, err := verifySegment(seg)
		if err != nil {
			return report, err
		}
		if got.header.Number != seg.number || got.header.Prev != report.Head {
			return report, got.corruptError(0, "the segment does not continue the one before it")
		}
		if seg.sealed && !got.sealed {
			return report, got.corruptError(got.size, "the seal is missing")
		}
		if err := verifyIndex(got); err != nil {
			return report, err
		}
		report.Segments++
		report.Records += got.records
		report.Bytes += got.size
		report.Head = got.chainHead
	}
	return report, nil
}

// verifyIndex compares the index file of a sealed segment, if it has one, with
// the segment. A forged index would hide records from queries.
func verifyIndex(seg *segment) error {
	if !seg.sealed {
		return nil
	}
	got, err := os.ReadFile(indexPath(seg.path))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("audit: read index: %w", err)
	}
	want, err := encodeIndex(newIndexFile(seg))
	if err != nil {
		return err
	}
	if !bytes.Equal(got, want) {
		return &IndexError{Path: indexPath(seg.path)}
	}
	return nil
}

func verifySegment(expected segment) (*segment, error) {
	file, err := os.Open(expected.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, &CorruptError{Path: expected.path, Detail: "the segment is missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	got := &segment{number: expected.number, path: expected.path}
	ignoreBatch := func(*encodedBatch, int64, int64) error { return nil }
	if err := got.scan(io.LimitReader(file, expected.size), ignoreBatch); err != nil {
		return nil, err
	}
	if got.size != expected.size {
		return nil, got.corruptError(got.size, fmt.Sprintf("the segment ends early; it had %d bytes", expected.size))
	}
	return got, nil
}
