package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/atomicfile"
	"damaskbridge.example/damaskbridge/internal/diskfull"
)

// pendingAppend is an append that waits to be written to disk.
type pendingAppend struct {
	batch *encodedBatch
	done  chan error
}

// activeSegment is the writing goroutine's state of the segment that takes
// appends.
type activeSegment struct {
	segment   *segment
	chainHead hash
	size      int64
}

// run commits groups of appends until the store is closed or a disk operation
// fails for another reason than a full disk.
func (s *Store) run() {
	defer close(s.done)
	for {
		select {
		case p := <-s.queue:
			group := s.collectGroup(p)
			err := s.commit(group)
			for _, g := range group {
				g.done <- err
			}
			if s.Err() != nil {
				return
			}
		case <-s.stop:
			s.rejectQueued()
			return
		}
	}
}

func (s *Store) rejectQueued() {
	for {
		select {
		case p := <-s.queue:
			p.done <- ErrClosed
		default:
			return
		}
	}
}

// collectGroup returns first and the queued appends, up to the group size. It
// does not wait for more.
func (s *Store) collectGroup(first *pendingAppend) []*pendingAppend {
	group := []*pendingAppend{first}
	size := first.batch.recordBytes()
	for size < s.options.GroupBytes {
		select {
		case p := <-s.queue:
			group = append(group, p)
			size += p.batch.recordBytes()
		default:
			return group
		}
	}
	return group
}

func (e *encodedBatch) recordBytes() int {
	n := 0
	for _, r := range e.Records {
		n += len(r)
	}
	return n
}

// commit makes a group durable. After a *FullError nothing of it is stored. After
// any other error the state of the disk is unknown, so the store stops
// permanently: a second fsync may report success for data that the first one lost.
func (s *Store) commit(group []*pendingAppend) error {
	err := s.writeGroup(group)
	var full *FullError
	if err == nil || errors.As(err, &full) {
		return err
	}
	stopped := &StoppedError{Err: err}
	s.mu.Lock()
	s.failed = stopped
	s.mu.Unlock()
	return stopped
}

// batchLocation is a batch and its offsets in the active segment.
type batchLocation struct {
	batch    *encodedBatch
	from, to int64
}

func (s *Store) writeGroup(group []*pendingAppend) error {
	if s.active.size >= s.options.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	var buf bytes.Buffer
	head := s.active.chainHead
	var locations []batchLocation
	inGroup := make(map[batchID]struct{}, len(group))
	for _, p := range group {
		id := batchID{p.batch.Session, p.batch.Number}
		if _, duplicate := inGroup[id]; duplicate || s.isStored(id) {
			continue
		}
		inGroup[id] = struct{}{}
		from := s.active.size + int64(buf.Len())
		next, err := appendFrame(&buf, head, frameBatch, uint32(s.active.size), p.batch)
		if err != nil {
			return err
		}
		head = next
		locations = append(locations, batchLocation{p.batch, from, s.active.size + int64(buf.Len())})
	}
	if len(locations) == 0 {
		return nil
	}
	if err := s.write(buf.Bytes()); err != nil {
		return err
	}
	s.active.chainHead = head
	s.publish(locations)
	return nil
}

type batchID struct {
	session ids.SessionID
	number  uint64
}

func (s *Store) isStored(id batchID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	set, ok := s.storedBatches[id.session]
	return ok && set.contains(id.number)
}

// write appends bytes to the active segment and makes them durable.
func (s *Store) write(b []byte) error {
	if s.active.size+int64(len(b)) > maxFrameOffset {
		return fmt.Errorf("the segment would exceed %d bytes; use a smaller group size", int64(maxFrameOffset))
	}
	if _, err := s.file.WriteAt(b, s.active.size); err != nil {
		return s.undoWrite(err)
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.active.size += int64(len(b))
	return nil
}

// undoWrite cuts off what a write without enough space has left.
func (s *Store) undoWrite(err error) error {
	if !diskfull.Is(err) {
		return err
	}
	cutErr := s.file.Truncate(s.active.size)
	if cutErr == nil {
		cutErr = s.file.Sync()
	}
	if cutErr != nil {
		return errors.Join(cutErr, err)
	}
	return &FullError{Err: err}
}

// publish makes durable batches visible to queries.
func (s *Store) publish(locations []batchLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := s.active.segment
	for _, l := range locations {
		for _, raw := range l.batch.Records {
			// The error is ignored because the batch was validated before it was
			// queued.
			seq, _ := recordSeq(raw)
			seg.index.add(l.batch.Session, seq, l.from, l.to)
		}
		seg.records += uint64(len(l.batch.Records))
		seg.addBatchNumber(l.batch.Session, l.batch.Number)
		s.batchNumbers(l.batch.Session).add(l.batch.Number)
	}
	seg.size = s.active.size
	seg.chainHead = s.active.chainHead
}

// openActiveSegment opens the last segment for writing, or creates the next
// one.
func (s *Store) openActiveSegment() error {
	if len(s.segments) == 0 {
		return s.createSegment(s.anchor.First, s.anchor.Prev)
	}
	last := s.segments[len(s.segments)-1]
	if last.sealed {
		if err := s.syncSegment(last); err != nil {
			return err
		}
		return s.createSegment(last.number+1, last.chainHead)
	}
	if last.size == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		prev := s.anchor.Prev
		if n := len(s.segments); n > 0 {
			prev = s.segments[n-1].chainHead
		}
		return s.createSegment(last.number, prev)
	}
	file, err := s.options.openFile(last.path, os.O_RDWR)
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	if err := file.Truncate(last.size); err != nil {
		return fmt.Errorf("audit: truncate torn write: %w", err)
	}
	// The bytes that were read may be in the page cache only. A resend of their
	// batches is acknowledged without another write, so they must be durable
	// now.
	if err := file.Sync(); err != nil {
		return fmt.Errorf("audit: sync segment: %w", err)
	}
	s.file = file
	s.active = activeSegment{segment: last, chainHead: last.chainHead, size: last.size}
	return nil
}

// syncSegment makes a seal durable that a previous process may have left in the
// page cache. Otherwise a crash could keep the next segment and lose the seal.
func (s *Store) syncSegment(seg *segment) error {
	file, err := s.options.openFile(seg.path, os.O_RDWR)
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("audit: sync segment: %w", err)
	}
	return file.Close()
}

// createSegment creates a segment with its header and makes it active. Without
// space for it nothing is left of it and the former segment, if there is one,
// stays the last.
func (s *Store) createSegment(number uint64, prev hash) error {
	former := s.active
	err := s.startSegment(number, prev)
	var full *FullError
	if !errors.As(err, &full) {
		return err
	}
	s.active = former
	if s.file != nil {
		_ = s.file.Close() // it is removed
		s.file = nil
	}
	if removeErr := os.Remove(segmentPath(s.dir, number)); removeErr != nil && !errors.Is(removeErr, os.ErrNotExist) {
		return fmt.Errorf("audit: remove a segment without space for its header: %w", removeErr)
	}
	if syncErr := atomicfile.SyncDir(s.dir); syncErr != nil {
		return fmt.Errorf("audit: sync folder: %w", syncErr)
	}
	return full
}

func (s *Store) startSegment(number uint64, prev hash) error {
	path := segmentPath(s.dir, number)
	file, err := s.options.openFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if diskfull.Is(err) {
		return &FullError{Err: err}
	}
	if err != nil {
		return fmt.Errorf("audit: create segment: %w", err)
	}
	header := segmentHeader{Number: number, CreatedUnixMS: s.options.Now().UnixMilli(), Prev: prev}
	var buf bytes.Buffer
	head, err := appendFrame(&buf, prev, frameHeader, 0, header)
	if err != nil {
		return err
	}
	s.file = file
	s.active = activeSegment{chainHead: head}
	if err := s.write(buf.Bytes()); err != nil {
		return fmt.Errorf("audit: write segment header: %w", err)
	}
	if err := atomicfile.SyncDir(s.dir); err != nil {
		return fmt.Errorf("audit: sync folder: %w", err)
	}
	seg := &segment{number: number, path: path, header: header, size: s.active.size, chainHead: head, index: newSparseIndex(), batches: make(map[ids.SessionID]*numberSet)}
	s.active.segment = seg
	s.mu.Lock()
	s.segments = append(s.segments, seg)
	s.mu.Unlock()
	return nil
}

// rotate seals the active segment, unless an earlier rotation without space for the
// next one has, and creates the next one.
func (s *Store) rotate() error {
	seg := s.active.segment
	if !seg.sealed {
		if err := s.seal(seg); err != nil {
			return err
		}
	}
	return s.createSegment(seg.number+1, seg.chainHead)
}

// seal ends a segment and closes its file.
func (s *Store) seal(seg *segment) error {
	seal := segmentSeal{SealedUnixMS: s.options.Now().UnixMilli(), Records: seg.records}
	var buf bytes.Buffer
	head, err := appendFrame(&buf, s.active.chainHead, frameSeal, uint32(s.active.size), seal)
	if err != nil {
		return err
	}
	if err := s.write(buf.Bytes()); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return err
	}
	s.file = nil
	s.mu.Lock()
	seg.size, seg.chainHead = s.active.size, head
	seg.sealed, seg.sealedUnixMS = true, seal.SealedUnixMS
	s.mu.Unlock()
	// Only this goroutine modifies the segment, so reading it needs no lock.
	if writeIndex(seg) == nil {
		s.mu.Lock()
		seg.releaseIndex()
		s.mu.Unlock()
	}
	return nil
}
