package audit

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// find reads copies completely and returns the entries that match m. It
// searches all copies if m.Copies is set, else only those of stores that may be
// lost. Damage ends the reading of a file, but the entries found before it are
// returned, because their own control VM may not be able to serve them.
func (d *CopyDir) find(m queryMessage) ([]Entry, error) {
	sources, err := os.ReadDir(d.dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var found []Entry
	for _, source := range sources {
		if !m.Copies && !d.mayBeLost(ids.VMID(source.Name()), time.Now()) {
			continue
		}
		dir := filepath.Join(d.dir, source.Name())
		numbers, err := listSegments(dir)
		if err != nil {
			return nil, err
		}
		for _, n := range numbers {
			entries, err := findInSegment(segmentPath(dir, n), m)
			var damage *CorruptError
			if err != nil && !errors.As(err, &damage) {
				return nil, err
			}
			found = append(found, entries...)
		}
	}
	return found, nil
}

func findInSegment(path string, m queryMessage) ([]Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	var found []Entry
	seg := &segment{path: path}
	err = seg.scan(file, func(b *encodedBatch, _, _ int64) error {
		if b.Session != m.Request.Session {
			return nil
		}
		return b.eachEntry(func(e Entry) {
			if m.matches(&e) {
				found = append(found, e)
			}
		})
	})
	return found, err
}
