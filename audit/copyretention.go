package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"damaskbridge.example/damaskbridge/internal/atomicfile"
)

// initCopyAnchor writes the anchor of a new copy whose source had already
// deleted its oldest segments.
func initCopyAnchor(dir string, c Chunk) error {
	if c.Segment == initialAnchor.First || c.Offset != 0 {
		return nil
	}
	numbers, err := listSegments(dir)
	if err != nil || len(numbers) > 0 {
		return err
	}
	h, err := decodeSegmentHeader(c.Data)
	if err != nil {
		return fmt.Errorf("audit: the first chunk of segment %d has no header: %w", c.Segment, err)
	}
	return writeAnchor(dir, anchor{First: c.Segment, Prev: h.Prev})
}

// decodeSegmentHeader decodes the header at the start of a segment.
func decodeSegmentHeader(b []byte) (segmentHeader, error) {
	var h segmentHeader
	f, err := readFrame(bytes.NewReader(b))
	if err != nil {
		return h, err
	}
	if f.kind != frameHeader {
		return h, &frameError{"the first frame is no header"}
	}
	return h, decMode.Unmarshal(f.body, &h)
}

// maxHeaderFrameBytes is an upper bound for the size of a header frame.
const maxHeaderFrameBytes = 256

func readSegmentHeader(path string) (segmentHeader, error) {
	file, err := os.Open(path)
	if err != nil {
		return segmentHeader{}, err
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	buf := make([]byte, maxHeaderFrameBytes)
	n, err := file.ReadAt(buf, 0)
	if n == 0 {
		return segmentHeader{}, err
	}
	return decodeSegmentHeader(buf[:n])
}

// DeleteExpired deletes the copied segments that were sealed before now minus the
// retention, and returns how many it deleted. The last segment of each source
// is kept.
func (d *CopyDir) DeleteExpired(now time.Time, retention time.Duration) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sources, err := os.ReadDir(d.dir)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, source := range sources {
		n, err := deleteExpiredCopies(filepath.Join(d.dir, source.Name()), now.Add(-retention).UnixMilli())
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// deleteExpiredCopies deletes the segments whose successor was created before
// limit, in Unix milliseconds, and returns how many it deleted. The successor's
// header has both that time and the chain hash for the anchor.
func deleteExpiredCopies(dir string, cutoff int64) (int, error) {
	numbers, err := listSegments(dir)
	if err != nil {
		return 0, err
	}
	expired := 0
	var next anchor
	for expired+1 < len(numbers) {
		h, err := readSegmentHeader(segmentPath(dir, numbers[expired+1]))
		if err != nil {
			return 0, fmt.Errorf("audit: read header of copy: %w", err)
		}
		if h.CreatedUnixMS >= cutoff {
			break
		}
		next = anchor{First: numbers[expired+1], Prev: h.Prev}
		expired++
	}
	if expired == 0 {
		return 0, nil
	}
	if err := writeAnchor(dir, next); err != nil {
		return 0, err
	}
	for _, n := range numbers[:expired] {
		if err := os.Remove(segmentPath(dir, n)); err != nil {
			return 0, err
		}
	}
	return expired, atomicfile.SyncDir(dir)
}
