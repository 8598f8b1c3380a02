package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"damaskbridge.example/damaskbridge/internal/diskfull"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
	lockName      = "lock"
	// maxHeaderOnlySegmentBytes is the maximum size of a segment of which only
	// the first frame was written. A larger one without a valid first frame is
	// corrupt, not torn.
	maxHeaderOnlySegmentBytes = 1024
)

func segmentName(n uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, n, segmentSuffix)
}

// Open reads the log in dir and opens it for writing. In an empty directory it
// creates a log for id. An existing log must belong to id's group and VM, and
// keeps its own incarnation. Open returns a *DamageError if synced data is
// corrupt, an *IdentityError if the log belongs to another replica, a
// *LockedError if another process uses the directory and a *FullError if space is
// needed and there is none: for a new log, or to complete an interrupted change.
func Open(fs FS, dir string, id Identity) (*Log, *State, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, diskError("creating the folder", err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if diskfull.Is(err) {
		return nil, nil, &FullError{Op: "creating the lock", Err: err}
	}
	if err != nil {
		return nil, nil, &LockedError{Dir: dir, Err: err}
	}
	l := &Log{fs: fs, dir: dir, lock: lock, identity: id, segmentBytes: defaultSegmentBytes}
	s, err := l.open()
	if err != nil {
		l.closeAfterFailedOpen()
		return nil, nil, err
	}
	return l, s, nil
}

func (l *Log) closeAfterFailedOpen() {
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
}

// open reads the log and opens it for writing.
func (l *Log) open() (*State, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, &IOError{Op: "reading the folder", Err: err}
	}
	if err := l.removeTempFiles(names); err != nil {
		return nil, err
	}
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix) {
			segments = append(segments, name)
		}
	}
	id, s := l.identity, &State{}
	if s.Snapshot, err = l.loadSnapshot(names); err != nil {
		return nil, err
	}
	p := &replayState{}
	if s.Snapshot != nil {
		p.snapshot = *s.Snapshot
	}
	for i, name := range segments {
		torn, err := l.replaySegment(name, i == len(segments)-1, p)
		if err != nil {
			return nil, err
		}
		s.TornBytes += torn
	}
	if len(l.segments) == 0 && s.Snapshot != nil {
		return nil, &DamageError{File: l.dir, Reason: "a snapshot exists but the log is missing"}
	}
	if !sameOwner(id, l.identity) {
		return nil, &IdentityError{Dir: l.dir, Want: id, Got: l.identity}
	}
	continues := p.continuesSnapshot()
	if continues {
		var reason string
		if s.Entries, reason = p.entriesAfterSnapshot(); reason != "" {
			return nil, &DamageError{File: l.dir, Reason: reason}
		}
	}
	s.HardState, l.hardState = p.hardState, p.hardState
	s.Created = len(l.segments) == 0
	s.Identity = l.identity
	if err := l.openLastSegment(); err != nil {
		return nil, err
	}
	if !continues {
		// Without the reset, the next entry would leave a gap behind the replaced
		// log, or be dropped with it at the next Open.
		if err := l.Save(Batch{Reset: s.Snapshot}); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// openLastSegment opens the last segment for writing or creates the first one.
func (l *Log) openLastSegment() error {
	if len(l.segments) == 0 {
		return l.startSegment(1)
	}
	last := l.segments[len(l.segments)-1]
	f, err := l.fs.OpenAppend(filepath.Join(l.dir, segmentName(last.number)))
	if err != nil {
		return &IOError{Op: "opening the log", Err: err}
	}
	l.file = f
	// If the process was killed between a write and its sync, the data that
	// was read may be only in the page cache. The same holds for the names of
	// files that it created or renamed.
	if err := f.Sync(); err != nil {
		return &IOError{Op: "syncing the log", Err: err}
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return &IOError{Op: "syncing the folder", Err: err}
	}
	l.written, l.synced, l.syncedCopy = last.size, last.size, last.size
	return nil
}

// replaySegment reads one segment, truncates a torn tail and returns the length
// of the tail in bytes.
func (l *Log) replaySegment(name string, isLast bool, p *replayState) (torn int64, err error) {
	path := filepath.Join(l.dir, name)
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return 0, &IOError{Op: "reading the log", Err: err}
	}
	seg := segment{}
	offset := 0
	for offset < len(b) {
		f, err := decodeFrame(b[offset:])
		if err != nil {
			break
		}
		if reason := l.replayFrame(&f, offset == 0, name, &seg, p); reason != "" {
			return 0, &DamageError{File: path, Offset: int64(offset), Reason: reason}
		}
		offset += f.size()
	}
	if offset < len(b) || offset == 0 {
		if !isLast || durableAfter(b, offset) || offset == 0 && len(b) > maxHeaderOnlySegmentBytes {
			return 0, &DamageError{File: path, Offset: int64(offset), Reason: "data that was synced has a checksum mismatch"}
		}
		if offset == 0 {
			return int64(len(b)), l.removeFile(path)
		}
		if err := l.fs.Truncate(path, int64(offset)); err != nil {
			return 0, &IOError{Op: "cutting a torn tail", Err: err}
		}
	}
	seg.size = int64(offset)
	l.segments = append(l.segments, seg)
	return int64(len(b) - offset), nil
}

// replayFrame applies the records of one frame. If they are not valid, it
// returns the reason.
func (l *Log) replayFrame(f *frame, first bool, name string, seg *segment, p *replayState) string {
	records, err := decodeRecords(f.payload)
	if err != nil {
		return err.Error()
	}
	if first && (len(records) == 0 || records[0].kind != recordHeader) {
		return "the segment has no header"
	}
	for i := range records {
		r := &records[i]
		if r.kind == recordHeader {
			if reason := l.replayHeader(r.header, name, seg); reason != "" {
				return reason
			}
			continue
		}
		if reason := p.apply(r); reason != "" {
			return reason
		}
		seg.includeIndex(r.entry.Index)
	}
	return ""
}

// replayHeader checks a segment header and adopts its identity. If the header
// is not valid, it returns the reason.
func (l *Log) replayHeader(h header, name string, seg *segment) string {
	if segmentName(h.segment) != name {
		return "the segment has another number than its name"
	}
	if n := len(l.segments); n > 0 {
		if h.segment != l.segments[n-1].number+1 {
			return "a segment before this one is missing"
		}
		if h.identity != l.identity {
			return "the segment belongs to another replica"
		}
	}
	seg.number = h.segment
	l.identity = h.identity
	return ""
}

func (l *Log) removeFile(path string) error {
	if err := l.fs.Remove(path); err != nil {
		return diskError("removing a file", err)
	}
	return nil
}

// sameOwner reports whether two identities have the same group and VM. The
// incarnation may differ.
func sameOwner(want, got Identity) bool {
	return want.Group == got.Group && want.Replica.VM == got.Replica.VM
}

// compactable reports whether all entries of the segment are at most index.
func (s *segment) compactable(index uint64) bool { return s.maxIndex <= index }

// segment describes one segment file.
type segment struct {
	number   uint64
	size     int64
	maxIndex uint64 // highest index of an entry in it
}

func (s *segment) includeIndex(index uint64) { s.maxIndex = max(s.maxIndex, index) }
