package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"
	"syscall"
)

var (
	errIO    = errors.New("input/output error")
	errEnded = errors.New("the process has ended")
)

// memFS is an in-memory FS that tracks which data is durable and injects
// failures.
type memFS struct {
	files map[string]*memFile
	// durableNames holds the files whose directory entry is durable.
	durableNames  map[string]*memFile
	freeBytes     int // bytes that can still be written
	failSyncs     bool
	failTruncates bool
	// stepsLeft is the number of changes and syncs that the process makes before
	// it ends. All later ones fail without an effect.
	stepsLeft int
}

type memFile struct {
	fs      *memFS
	data    []byte
	durable []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durableNames: map[string]*memFile{}, freeBytes: 1 << 30, stepsLeft: math.MaxInt}
}

// step counts a change or a sync. It fails once the process has ended.
func (m *memFS) step() error {
	if m.stepsLeft <= 0 {
		return errEnded
	}
	m.stepsLeft--
	return nil
}

// ended reports whether the process has ended before a change or a sync.
func (m *memFS) ended() bool { return m.stepsLeft <= 0 }

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
	if err := m.step(); err != nil {
		return nil, err
	}
	if m.freeBytes == 0 {
		return nil, syscall.ENOSPC
	}
	f := &memFile{fs: m}
	m.files[name] = f
	return f, nil
}

func (m *memFS) OpenAppend(name string) (File, error) { return m.files[name], nil }

func (m *memFS) Truncate(name string, size int64) error {
	if m.failTruncates {
		return errIO
	}
	if err := m.step(); err != nil {
		return err
	}
	f := m.files[name]
	f.data = f.data[:size]
	f.durable = slices.Clone(f.data)
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if m.failSyncs {
		return errIO
	}
	if err := m.step(); err != nil {
		return err
	}
	m.durableNames = map[string]*memFile{}
	for name, f := range m.files {
		m.durableNames[name] = f
	}
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return &memFile{}, nil }

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.fs.step(); err != nil {
		return 0, err
	}
	n := min(len(b), f.fs.freeBytes)
	f.fs.freeBytes -= n
	f.data = append(f.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *memFile) Sync() error {
	if f.fs.failSyncs {
		return errIO
	}
	if err := f.fs.step(); err != nil {
		return err
	}
	f.durable = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

// kill returns the file system after a kill of the process, which loses nothing.
func (m *memFS) kill() *memFS {
	after := newMemFS()
	for name, f := range m.files {
		after.files[name] = &memFile{fs: after, data: f.data, durable: f.durable}
		if m.durableNames[name] == f {
			after.durableNames[name] = after.files[name]
		}
	}
	return after
}

// crash returns the file system after a power failure: random blocks of the data
// that was not synced have reached the disk, and so has any subset of the names
// that were created, renamed or removed since the folder was last synced.
func (m *memFS) crash(r *rand.Rand) *memFS {
	after := newMemFS()
	names := slices.Concat(slices.Collect(maps.Keys(m.durableNames)), slices.Collect(maps.Keys(m.files)))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		f := m.durableNames[name]
		if newest := m.files[name]; newest != f && r.IntN(2) == 0 {
			f = newest
		}
		if f == nil {
			continue
		}
		data := append(slices.Clone(f.durable), f.tornTail(r)...)
		g := &memFile{fs: after, data: data, durable: slices.Clone(data)}
		after.files[name], after.durableNames[name] = g, g
	}
	return after
}

// tornTail returns what a power failure leaves of the data after the last sync.
func (f *memFile) tornTail(r *rand.Rand) []byte {
	const block = 16
	tail := slices.Clone(f.data[min(len(f.durable), len(f.data)):])
	for i := 0; i < len(tail); i += block {
		if r.IntN(2) == 0 {
			clear(tail[i:min(i+block, len(tail))])
		}
	}
	if r.IntN(2) == 0 {
		tail = tail[:r.IntN(len(tail)+1)]
	}
	return tail
}
