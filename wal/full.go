package wal

import (
	"errors"
	"io/fs"
	"path/filepath"

	"damaskbridge.example/damaskbridge/internal/diskfull"
)

// IsFull reports whether err says that the disk had no space. The operation may
// be repeated.
func IsFull(err error) bool { return isFullError(err) }

func isFullError(err error) bool {
	var full *FullError
	return errors.As(err, &full)
}

// diskError returns a *FullError if err says so and an *IOError otherwise.
func diskError(op string, err error) error {
	if diskfull.Is(err) {
		return &FullError{Op: op, Err: err}
	}
	return ioError(op, err)
}

// ioError returns err itself if it is an *IOError.
func ioError(op string, err error) error {
	var known *IOError
	if errors.As(err, &known) {
		return known
	}
	return &IOError{Op: op, Err: err}
}

// undoWrite cuts off what a failed write to the last segment has left, so that
// the next record follows the last whole one. If the disk was not full or the
// cut fails, the end of the file is not known and the Log stops. It is called
// with mu held.
func (l *Log) undoWrite(op string, err error) error {
	if !diskfull.Is(err) {
		return l.fail(op, err)
	}
	path := filepath.Join(l.dir, segmentName(l.segments[len(l.segments)-1].number))
	if cutErr := l.fs.Truncate(path, l.written); cutErr != nil {
		return l.fail("cutting off a record without space for its end", errors.Join(err, cutErr))
	}
	return &FullError{Op: op, Err: err}
}

// undoCreate durably removes a new segment that could not be completed. If the
// segment came back after a power failure, the records that were written to the
// old one since would be taken for corruption.
func (l *Log) undoCreate(op, path string, err error) error {
	if !diskfull.Is(err) {
		return ioError(op, err)
	}
	if removeErr := l.fs.Remove(path); removeErr != nil && !errors.Is(removeErr, fs.ErrNotExist) {
		return &IOError{Op: "removing a segment without space for its header", Err: errors.Join(err, removeErr)}
	}
	if syncErr := l.fs.SyncDir(l.dir); syncErr != nil {
		return &IOError{Op: "syncing the folder", Err: errors.Join(err, syncErr)}
	}
	return &FullError{Op: op, Err: err}
}

// createFile creates a file with synced content. It closes the file after a
// failure, but does not remove it.
func createFile(fs FS, path string, content []byte) (File, error) {
	f, err := fs.Create(path)
	if err != nil {
		return nil, err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
