package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// beginCopy writes the anchor of a copy whose source had deleted older segments
// before the first one was copied.
func beginCopy(dir string, c Chunk) error {
	if c.Segment == newChain.First || c.Offset != 0 {
		return nil
	}
	numbers, err := listSegments(dir)
	if err != nil || len(numbers) > 0 {
		return err
	}
	h, err := decodeHeader(c.Data)
	if err != nil {
		return fmt.Errorf("audit: the first chunk of segment %d has no header: %w", c.Segment, err)
	}
	return writeAnchor(dir, anchor{First: c.Segment, Prev: h.Prev})
}

// decodeHeader reads the header at the start of a segment.
func decodeHeader(b []byte) (segmentHeader, error) {
	var h segmentHeader
	f, err := readFrame(bytes.NewReader(b))
	if err != nil {
		return h, err
	}
	if f.kind != frameHeader {
		return h, &badFrame{"the first frame is no header"}
	}
	return h, decMode.Unmarshal(f.body, &h)
}

// headerRoom is more than a header frame takes, in bytes.
const headerRoom = 256

func readHeader(path string) (segmentHeader, error) {
	file, err := os.Open(path)
	if err != nil {
		return segmentHeader{}, err
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	buf := make([]byte, headerRoom)
	n, err := file.ReadAt(buf, 0)
	if n == 0 {
		return segmentHeader{}, err
	}
	return decodeHeader(buf[:n])
}

// Retire deletes the copied segments that were sealed before now minus the
// retention, and gives their number. The last segment of each source stays.
func (d *CopyDir) Retire(now time.Time, retention time.Duration) (int, error) {
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
		n, err := retireCopy(filepath.Join(d.dir, source.Name()), now.Add(-retention).UnixMilli())
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// retireCopy deletes segments whose successor was begun before limit. The
// successor's header has both the time and the hash for the anchor.
func retireCopy(dir string, limit int64) (int, error) {
	numbers, err := listSegments(dir)
	if err != nil {
		return 0, err
	}
	old := 0
	var next anchor
	for old+1 < len(numbers) {
		h, err := readHeader(segmentPath(dir, numbers[old+1]))
		if err != nil {
			return 0, fmt.Errorf("audit: read header of copy: %w", err)
		}
		if h.CreatedUnixMS >= limit {
			break
		}
		next = anchor{First: numbers[old+1], Prev: h.Prev}
		old++
	}
	if old == 0 {
		return 0, nil
	}
	if err := writeAnchor(dir, next); err != nil {
		return 0, err
	}
	for _, n := range numbers[:old] {
		if err := os.Remove(segmentPath(dir, n)); err != nil {
			return 0, err
		}
	}
	return old, syncDir(dir)
}
