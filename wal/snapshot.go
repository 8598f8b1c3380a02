package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"damaskbridge.example/damaskbridge/internal/diskfull"
	"damaskbridge.example/damaskbridge/raft"
)

const (
	snapshotPrefix = "snap-"
	snapshotSuffix = ".dat"
	tempSuffix     = ".tmp"
)

// snapshotName returns a file name. Names sort by index, then term.
func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%s%016x-%016x%s", snapshotPrefix, index, term, snapshotSuffix)
}

func isSnapshotName(name string) bool {
	return strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix)
}

// SaveSnapshot stores s durably and removes older snapshots. It may run while
// other goroutines call Save. After a *FullError it may be repeated.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if err := l.Err(); err != nil {
		return err
	}
	payload, err := cbor.Marshal(s)
	if err != nil {
		return fmt.Errorf("wal: encode snapshot: %w", err)
	}
	name := snapshotName(s.Index, s.Term)
	err = l.writeSnapshot(name, appendFrame(nil, 0, payload))
	if isFullError(err) {
		return err
	}
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.fail("writing a snapshot", err)
	}
	return l.removeOldSnapshots(name)
}

// writeSnapshot makes the file durable under a temporary name before it renames
// it, so that a file with the final name is always complete.
func (l *Log) writeSnapshot(name string, b []byte) error {
	path := filepath.Join(l.dir, name)
	temp := path + tempSuffix
	f, err := createFile(l.fs, temp, b)
	if err == nil {
		err = f.Close()
	}
	if err == nil {
		err = l.fs.Rename(temp, path)
	}
	if diskfull.Is(err) {
		// A file that remains here is removed when the log is opened.
		_ = l.fs.Remove(temp)
		return &FullError{Op: "writing a snapshot", Err: err}
	}
	if err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

func (l *Log) removeOldSnapshots(newest string) error {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return &IOError{Op: "reading the folder", Err: err}
	}
	for _, name := range names {
		if isSnapshotName(name) && name < newest {
			if err := l.removeFile(filepath.Join(l.dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// removeTempFiles removes the files that an interrupted SaveSnapshot left.
func (l *Log) removeTempFiles(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := l.removeFile(filepath.Join(l.dir, name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// ReadSnapshot returns the newest stored snapshot with its data, or nil if there
// is none.
func (l *Log) ReadSnapshot() (*raft.Snapshot, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, &IOError{Op: "reading the folder", Err: err}
	}
	return l.loadSnapshot(names)
}

// loadSnapshot reads the newest snapshot among names, which must be sorted. It
// returns nil if there is none.
func (l *Log) loadSnapshot(names []string) (*raft.Snapshot, error) {
	newest := ""
	for _, name := range names {
		if isSnapshotName(name) {
			newest = name
		}
	}
	if newest == "" {
		return nil, nil
	}
	path := filepath.Join(l.dir, newest)
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return nil, &IOError{Op: "reading a snapshot", Err: err}
	}
	s, err := decodeSnapshot(b)
	if err != nil || snapshotName(s.Index, s.Term) != newest {
		return nil, &DamageError{File: path, Reason: "the snapshot is not valid or does not match its file name"}
	}
	return s, nil
}

func decodeSnapshot(b []byte) (*raft.Snapshot, error) {
	f, err := decodeFrame(b)
	if err != nil {
		return nil, err
	}
	if f.size() != len(b) {
		return nil, errBadFrame
	}
	var s raft.Snapshot
	if err := cbor.Unmarshal(f.payload, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
