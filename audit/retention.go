package audit

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"damaskbridge.example/damaskbridge/internal/atomicfile"
)

func segmentDir(path string) string { return filepath.Dir(path) }

// removeSegment deletes a segment and its index file, if it has one.
func removeSegment(path string) error {
	if err := os.Remove(indexPath(path)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return os.Remove(path)
}

// SetRetention sets the retention that DeleteExpired applies.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = d
}

// DeleteExpired deletes the segments whose seal is older than the retention, and
// returns how many it deleted. The active segment is kept. The anchor is
// durable before the first file is deleted, so the chain stays verifiable if a
// crash interrupts the deletion.
func (s *Store) DeleteExpired() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.options.Now().Add(-s.retention).UnixMilli()
	var expired []*segment
	for _, seg := range s.segments {
		if !seg.sealed || seg.sealedUnixMS >= cutoff {
			break
		}
		expired = append(expired, seg)
	}
	if len(expired) == 0 || len(expired) == len(s.segments) {
		return 0, nil
	}
	last := expired[len(expired)-1]
	next := anchor{First: last.number + 1, Prev: last.chainHead}
	if err := writeAnchor(s.dir, next); err != nil {
		return 0, fmt.Errorf("audit: write anchor: %w", err)
	}
	s.anchor = next
	s.segments = s.segments[len(expired):]
	for _, seg := range expired {
		if err := removeSegment(seg.path); err != nil {
			return 0, fmt.Errorf("audit: delete segment: %w", err)
		}
	}
	return len(expired), atomicfile.SyncDir(s.dir)
}
