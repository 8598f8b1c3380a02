package wal

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
	lockName      = "lock"
	// maxHeaderBytes bounds a segment of which only the header was written.
	maxHeaderBytes = 1024
)

func segmentName(n uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, n, segmentSuffix)
}

// Open reads the folder and opens it for writing. An empty folder becomes that
// of id; one that exists must be of id's group and VM, and keeps its own
// incarnation. Damage gives a *DamageError.
func Open(fs FS, dir string, id Identity) (*Log, *State, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, nil, &FailedError{Op: "creating the folder", Err: err}
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, &LockedError{Dir: dir, Err: err}
	}
	l, s, err := open(fs, dir, id, lock)
	if err != nil {
		lock.Close()
		return nil, nil, err
	}
	return l, s, nil
}

func open(fs FS, dir string, id Identity, lock io.Closer) (*Log, *State, error) {
	l := &Log{fs: fs, dir: dir, lock: lock, identity: id, segmentBytes: defaultSegmentBytes}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, nil, &FailedError{Op: "reading the folder", Err: err}
	}
	if err := l.removeTemps(names); err != nil {
		return nil, nil, err
	}
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix) {
			segments = append(segments, name)
		}
	}
	s := &State{}
	if s.Snapshot, err = l.loadSnapshot(names); err != nil {
		return nil, nil, err
	}
	p := &replay{}
	for i, name := range segments {
		torn, err := l.replaySegment(name, i == len(segments)-1, p)
		if err != nil {
			return nil, nil, err
		}
		s.TornBytes += torn
	}
	if len(l.segments) == 0 && s.Snapshot != nil {
		return nil, nil, &DamageError{File: dir, Reason: "there is a snapshot but no log"}
	}
	if !sameOwner(id, l.identity) {
		return nil, nil, &IdentityError{Dir: dir, Want: id, Got: l.identity}
	}
	var reason string
	if s.Entries, reason = p.after(s.Snapshot); reason != "" {
		return nil, nil, &DamageError{File: dir, Reason: reason}
	}
	s.HardState, l.hard = p.hard, p.hard
	s.Created = len(l.segments) == 0
	s.Identity = l.identity
	if err := l.openTail(); err != nil {
		return nil, nil, err
	}
	return l, s, nil
}

// openTail opens the last segment for writing, or makes the first one.
func (l *Log) openTail() error {
	if len(l.segments) == 0 {
		if err := l.startSegment(1); err != nil {
			return &FailedError{Op: "starting the log", Err: err}
		}
		return nil
	}
	last := l.segments[len(l.segments)-1]
	f, err := l.fs.OpenEnd(filepath.Join(l.dir, segmentName(last.number)))
	if err != nil {
		return &FailedError{Op: "opening the log", Err: err}
	}
	l.file = f
	// What was read back may still be in the page cache only, if the process
	// was killed between a write and its sync.
	if err := f.Sync(); err != nil {
		return &FailedError{Op: "syncing the log", Err: err}
	}
	l.written, l.synced, l.durable = last.size, last.size, last.size
	return nil
}

// replaySegment reads one segment and gives the length of its torn tail.
func (l *Log) replaySegment(name string, isLast bool, p *replay) (torn int64, err error) {
	path := filepath.Join(l.dir, name)
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return 0, &FailedError{Op: "reading the log", Err: err}
	}
	seg := segment{}
	offset := 0
	for offset < len(b) {
		f, err := decodeFrame(b[offset:])
		if err != nil {
			break
		}
		if err := l.takeFrame(&f, offset == 0, name, &seg, p); err != "" {
			return 0, &DamageError{File: path, Offset: int64(offset), Reason: err}
		}
		offset += f.size()
	}
	if offset < len(b) || offset == 0 {
		if !isLast || durableAfter(b, offset) || offset == 0 && len(b) > maxHeaderBytes {
			return 0, &DamageError{File: path, Offset: int64(offset), Reason: "a checksum does not match in data that was synced"}
		}
		if offset == 0 {
			return int64(len(b)), l.removeFile(path)
		}
		if err := l.fs.Truncate(path, int64(offset)); err != nil {
			return 0, &FailedError{Op: "cutting a torn tail", Err: err}
		}
	}
	seg.size = int64(offset)
	l.segments = append(l.segments, seg)
	return int64(len(b) - offset), nil
}

// takeFrame replays one frame and gives the reason if it does not fit.
func (l *Log) takeFrame(f *frame, first bool, name string, seg *segment, p *replay) string {
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
			if reason := l.takeHeader(r.header, name, seg); reason != "" {
				return reason
			}
			continue
		}
		if reason := p.take(r); reason != "" {
			return reason
		}
		seg.note(r.entry.Index)
	}
	return ""
}

func (l *Log) takeHeader(h header, name string, seg *segment) string {
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
		return &FailedError{Op: "removing a file", Err: err}
	}
	return nil
}

// sameOwner says whether the folder's identity fits the wanted one.
func sameOwner(want, got Identity) bool {
	return want.Group == got.Group && want.Replica.VM == got.Replica.VM
}

// compactable says whether all entries of the segment are at most index.
func (s *segment) compactable(index uint64) bool { return s.maxIndex <= index }

// segment describes one segment file.
type segment struct {
	number   uint64
	size     int64
	maxIndex uint64 // highest index of an entry in it
}

func (s *segment) note(index uint64) { s.maxIndex = max(s.maxIndex, index) }
