package wal

import (
	"io"
	"path/filepath"
	"sync"

	"damaskbridge.example/damaskbridge/internal/diskfull"
	"damaskbridge.example/damaskbridge/raft"
)

// defaultSegmentBytes is the size after which a new segment starts. Compact
// removes only whole segments, so it limits the space taken by compacted
// entries.
const defaultSegmentBytes = 8 << 20

// Log is an open write-ahead log in one directory. Its methods are safe for
// concurrent use.
type Log struct {
	fs       FS
	dir      string
	lock     io.Closer
	identity Identity

	// syncMu is held during a sync and acquired before mu. Other goroutines can
	// write during a sync and share the next one.
	syncMu sync.Mutex
	synced int64 // durable bytes of the last segment, guarded by syncMu

	mu           sync.Mutex
	file         File
	segments     []segment
	segmentBytes int64
	rotateAt     int64  // size at which a rotation that found no space is repeated
	epoch        uint64 // number of segments completed since Open
	written      int64  // bytes of the last segment
	syncedCopy   int64  // copy of synced, guarded by mu
	hardState    raft.HardState
	buf          []byte
	failure      error
	syncs        uint64
}

// position is a position in the log that a sync must cover.
type position struct {
	epoch  uint64
	offset int64
}

// Save writes b and returns after it is durable.
func (l *Log) Save(b Batch) error {
	pos, err := l.write(&b)
	if err != nil {
		return err
	}
	return l.sync(pos)
}

func (l *Log) write(b *Batch) (position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return position{}, l.failure
	}
	return l.writeFrame(encodeBatch(b), b)
}

func encodeBatch(b *Batch) []byte {
	var payload []byte
	if b.Reset != nil {
		payload = appendReset(payload, *b.Reset)
	}
	for _, e := range b.Entries {
		payload = appendEntry(payload, e)
	}
	if b.HardState != nil {
		payload = appendHardState(payload, *b.HardState)
	}
	return payload
}

// writeFrame appends a frame to the last segment, without a sync. It is called
// with mu held.
func (l *Log) writeFrame(payload []byte, b *Batch) (position, error) {
	l.buf = appendFrame(l.buf[:0], uint64(l.syncedCopy), payload)
	if _, err := l.file.Write(l.buf); err != nil {
		return position{}, l.undoWrite("writing the log", err)
	}
	if cap(l.buf) > maxRetainedBufferBytes {
		l.buf = nil
	}
	l.written += int64(frameHeaderBytes + len(payload))
	last := &l.segments[len(l.segments)-1]
	last.size = l.written
	for _, e := range b.Entries {
		last.includeIndex(e.Index)
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	return position{epoch: l.epoch, offset: l.written}, nil
}

// maxRetainedBufferBytes limits the buffer that is reused for the next write.
const maxRetainedBufferBytes = 1 << 20

// sync returns after pos is durable. One goroutine syncs on behalf of all that
// have written before; the others find their position already durable.
func (l *Log) sync(pos position) error {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	l.mu.Lock()
	failure, file, written := l.failure, l.file, l.written
	done := pos.epoch < l.epoch || pos.offset <= l.synced
	l.mu.Unlock()
	if done {
		return nil
	}
	if failure != nil {
		return failure
	}
	if err := file.Sync(); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.fail("syncing the log", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synced, l.syncedCopy = written, written
	l.syncs++
	if l.synced < max(l.segmentBytes, l.rotateAt) {
		return nil
	}
	return l.rotate()
}

// rotate completes the last segment and starts a new one. Without space for a
// new one the log goes on in the old one. The caller holds both locks.
func (l *Log) rotate() error {
	if err := l.file.Sync(); err != nil {
		return l.fail("syncing the log", err)
	}
	l.synced, l.syncedCopy = l.written, l.written
	completed := l.file
	err := l.startSegment(l.segments[len(l.segments)-1].number + 1)
	if isFullError(err) {
		l.rotateAt = l.written + l.segmentBytes/rotationsPerSegment
		return nil
	}
	if err != nil {
		return l.fail("starting a segment", err)
	}
	l.epoch++
	if err := completed.Close(); err != nil {
		return l.fail("closing a segment", err)
	}
	return nil
}

// rotationsPerSegment is how often a rotation that finds no space is repeated
// while the old segment grows by the size of a segment.
const rotationsPerSegment = 16

// startSegment creates a segment and makes it durable. It starts with a header
// and the current hard state, so that Compact may remove every older segment.
func (l *Log) startSegment(number uint64) error {
	payload := appendHeader(nil, header{identity: l.identity, segment: number})
	payload = appendHardState(payload, l.hardState)
	buf := appendFrame(nil, 0, payload)
	path := filepath.Join(l.dir, segmentName(number))
	f, err := createFile(l.fs, path, buf)
	if err != nil {
		return l.undoCreate("starting a segment", path, err)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		f.Close()
		return &IOError{Op: "syncing the folder", Err: err}
	}
	size := int64(len(buf))
	l.file = f
	l.segments = append(l.segments, segment{number: number, size: size})
	l.written, l.synced, l.syncedCopy, l.rotateAt = size, size, size, 0
	return nil
}

// fail records the first failure, which every later operation returns. It is
// called with mu held.
func (l *Log) fail(op string, err error) error {
	if l.failure == nil {
		l.failure = ioError(op, err)
	}
	return l.failure
}

// Compact removes the oldest segments whose entries are all at most index. It
// never removes the last segment.
func (l *Log) Compact(index uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return l.failure
	}
	for len(l.segments) > 1 && l.segments[0].compactable(index) {
		err := l.fs.Remove(filepath.Join(l.dir, segmentName(l.segments[0].number)))
		if diskfull.Is(err) {
			return &FullError{Op: "removing a segment", Err: err}
		}
		if err != nil {
			return l.fail("removing a segment", err)
		}
		// A power failure may undo any of several removals that are not synced,
		// and leave a gap between the segments.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail("syncing the folder", err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Err returns the failure that stopped the Log, or ErrClosed after Close, or nil.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}

// Syncs returns the number of syncs that Save has performed.
func (l *Log) Syncs() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.syncs
}

// Bytes returns the total size of all segments.
func (l *Log) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum int64
	for _, s := range l.segments {
		sum += s.size
	}
	return sum
}

// Close writes a close record, syncs the log and closes its files.
func (l *Log) Close() error {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.writeCloseRecord()
	}
	return l.closeFiles()
}

// writeCloseRecord marks the end of the log, see recordClose. It is called with
// both locks held.
func (l *Log) writeCloseRecord() {
	if err := l.file.Sync(); err != nil {
		_ = l.fail("syncing the log", err)
		return
	}
	l.syncedCopy = l.written
	if _, err := l.writeFrame([]byte{byte(recordClose)}, &Batch{}); err != nil {
		return // without space the record is left out, as after a crash
	}
	if err := l.file.Sync(); err != nil {
		_ = l.fail("syncing the log", err)
	}
}

// Abort closes the files without further writes, as a crash would.
func (l *Log) Abort() {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.closeFiles()
}

// closeFiles closes the files and returns the first failure of the Log. It is
// called with both locks held.
func (l *Log) closeFiles() error {
	if l.file == nil {
		return nil
	}
	err := l.failure
	if closeErr := l.file.Close(); err == nil && closeErr != nil {
		err = &IOError{Op: "closing the log", Err: closeErr}
	}
	l.file = nil
	l.failure = ErrClosed
	l.lock.Close()
	return err
}
