package audit

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func dirOf(path string) string { return filepath.Dir(path) }

// removeSegment deletes a segment and its index file, if it has one.
func removeSegment(path string) error {
	if err := os.Remove(indexPath(path)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return os.Remove(path)
}

// SetRetention changes the retention that Retire applies.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = d
}

// Retire deletes the segments that were sealed longer ago than the retention,
// and gives their number. The active segment stays. The anchor is durable
// before the first file goes, so a crash in between loses no link of the chain.
func (s *Store) Retire() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.options.Now().Add(-s.retention).UnixMilli()
	var old []*segment
	for _, seg := range s.segments {
		if !seg.sealed || seg.sealedUnixMS >= limit {
			break
		}
		old = append(old, seg)
	}
	if len(old) == 0 || len(old) == len(s.segments) {
		return 0, nil
	}
	last := old[len(old)-1]
	next := anchor{First: last.number + 1, Prev: last.end}
	if err := writeAnchor(s.dir, next); err != nil {
		return 0, fmt.Errorf("audit: write anchor: %w", err)
	}
	s.anchor = next
	s.segments = s.segments[len(old):]
	for _, seg := range old {
		if err := removeSegment(seg.path); err != nil {
			return 0, fmt.Errorf("audit: delete segment: %w", err)
		}
	}
	return len(old), syncDir(s.dir)
}
