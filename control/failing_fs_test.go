package control

import (
	"errors"
	"sync/atomic"

	"damaskbridge.example/damaskbridge/wal"
)

// failingFS makes every sync fail once fail is set.
type failingFS struct {
	wal.FS
	fail atomic.Bool
}

func osFS() wal.FS { return wal.OS() }

func (f *failingFS) Create(name string) (wal.File, error) { return f.wrap(f.FS.Create(name)) }

func (f *failingFS) OpenAppend(name string) (wal.File, error) { return f.wrap(f.FS.OpenAppend(name)) }

func (f *failingFS) wrap(file wal.File, err error) (wal.File, error) {
	return &failingFile{File: file, fs: f}, err
}

type failingFile struct {
	wal.File
	fs *failingFS
}

func (f *failingFile) Sync() error {
	if f.fs.fail.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}
