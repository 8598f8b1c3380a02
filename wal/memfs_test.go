package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"
)

var (
	errNoSpace = errors.New("no space left on device")
	errIO      = errors.New("input/output error")
)

// memFS is an in-memory FS that tracks which data is durable and injects
// failures.
type memFS struct {
	files map[string]*memFile
	// durableNames holds the files whose directory entry is durable.
	durableNames map[string]*memFile
	freeBytes    int // bytes that can still be written
	failSyncs    bool
}

type memFile struct {
	fs      *memFS
	data    []byte
	durable []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durableNames: map[string]*memFile{}, freeBytes: 1 << 30}
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	sort.Strings(names)
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	f := &memFile{fs: m}
	m.files[name] = f
	return f, nil
}

func (m *memFS) OpenAppend(name string) (File, error) { return m.files[name], nil }

func (m *memFS) Truncate(name string, size int64) error {
	f := m.files[name]
	f.data = f.data[:size]
	f.durable = slices.Clone(f.data)
	return nil
}

func (m *memFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if m.failSyncs {
		return errIO
	}
	m.durableNames = map[string]*memFile{}
	for name, f := range m.files {
		m.durableNames[name] = f
	}
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return &memFile{}, nil }

func (f *memFile) Write(b []byte) (int, error) {
	n := min(len(b), f.fs.freeBytes)
	f.fs.freeBytes -= n
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, errNoSpace
	}
	return n, nil
}

func (f *memFile) Sync() error {
	if f.fs.failSyncs {
		return errIO
	}
	f.durable = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

// crash returns the file system after a power failure: random blocks of the data
// that was not synced have reached the disk.
func (m *memFS) crash(r *rand.Rand) *memFS {
	after := newMemFS()
	for _, name := range slices.Sorted(maps.Keys(m.durableNames)) {
		f := m.durableNames[name]
		tail := slices.Clone(f.data[min(len(f.durable), len(f.data)):])
		const block = 16
		for i := 0; i < len(tail); i += block {
			if r.IntN(2) == 0 {
				clear(tail[i:min(i+block, len(tail))])
			}
		}
		if r.IntN(2) == 0 {
			tail = tail[:r.IntN(len(tail)+1)]
		}
		data := append(slices.Clone(f.durable), tail...)
		g := &memFile{fs: after, data: data, durable: slices.Clone(data)}
		after.files[name], after.durableNames[name] = g, g
	}
	return after
}
