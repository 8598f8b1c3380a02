package wal

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// FS is the file system interface that a Log uses. Tests use it to simulate a
// full disk and failed syncs.
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates or empties a file and opens it for appending.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// Truncate durably shortens a file to size bytes. It fails if the file is
	// shorter.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock, which is held until the result is closed.
	// It fails if another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file of an FS.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}

// OS returns the operating system's file system.
func OS() FS { return osFS{} }

type osFS struct{}

const (
	fileMode = 0o600
	dirMode  = 0o700
)

func (osFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

func (osFS) ReadDir(dir string) ([]string, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, nil
}

func (osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (osFS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

func (osFS) OpenAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

func (osFS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() < size {
		return fmt.Errorf("%s has %d bytes instead of at least %d", name, info.Size(), size)
	}
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

func (osFS) Rename(from, to string) error { return os.Rename(from, to) }

func (osFS) Remove(name string) error { return os.Remove(name) }

func (osFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", dir, err)
	}
	return nil
}

func (osFS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
