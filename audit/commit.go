package audit

import (
	"bytes"
	"fmt"
	"os"

	"damaskbridge.example/damaskbridge/ids"
)

// pending is an append that waits for the disk.
type pending struct {
	batch *encodedBatch
	done  chan error
}

// tail is the writer's view of the active segment.
type tail struct {
	segment *segment
	end     hash
	size    int64
}

// run writes groups of appends until the store is closed or the disk fails.
func (s *Store) run() {
	defer close(s.done)
	for {
		select {
		case p := <-s.queue:
			group := s.gather(p)
			err := s.commit(group)
			for _, g := range group {
				g.done <- err
			}
			if err != nil {
				return
			}
		case <-s.quit:
			s.refuseWaiting()
			return
		}
	}
}

func (s *Store) refuseWaiting() {
	for {
		select {
		case p := <-s.queue:
			p.done <- ErrClosed
		default:
			return
		}
	}
}

// gather takes the appends that wait now, up to the group size.
func (s *Store) gather(first *pending) []*pending {
	group := []*pending{first}
	size := first.batch.bytes()
	for size < s.options.GroupBytes {
		select {
		case p := <-s.queue:
			group = append(group, p)
			size += p.batch.bytes()
		default:
			return group
		}
	}
	return group
}

func (e *encodedBatch) bytes() int {
	n := 0
	for _, r := range e.Records {
		n += len(r)
	}
	return n
}

// commit makes a group durable. After an error the state of the disk is not
// known, so the store stops for good: a second fsync may report success for
// data that the first one lost.
func (s *Store) commit(group []*pending) error {
	err := s.tryCommit(group)
	if err == nil {
		return nil
	}
	stopped := &StoppedError{Err: err}
	s.mu.Lock()
	s.failed = stopped
	s.mu.Unlock()
	return stopped
}

// placed is a batch with its offsets in the active segment.
type placed struct {
	batch    *encodedBatch
	from, to int64
}

func (s *Store) tryCommit(group []*pending) error {
	if s.tail.size >= s.options.SegmentBytes {
		if err := s.rotate(); err != nil {
			return err
		}
	}
	var buf bytes.Buffer
	end := s.tail.end
	var places []placed
	inGroup := make(map[batchID]struct{}, len(group))
	for _, p := range group {
		id := batchID{p.batch.Session, p.batch.Number}
		if _, twice := inGroup[id]; twice || s.isStored(id) {
			continue
		}
		inGroup[id] = struct{}{}
		from := s.tail.size + int64(buf.Len())
		next, err := appendFrame(&buf, end, frameBatch, uint32(s.tail.size), p.batch)
		if err != nil {
			return err
		}
		end = next
		places = append(places, placed{p.batch, from, s.tail.size + int64(buf.Len())})
	}
	if len(places) == 0 {
		return nil
	}
	if err := s.write(buf.Bytes()); err != nil {
		return err
	}
	s.tail.end = end
	s.publish(places)
	return nil
}

type batchID struct {
	session ids.SessionID
	number  uint64
}

func (s *Store) isStored(id batchID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	set, ok := s.stored[id.session]
	return ok && set.has(id.number)
}

// write appends bytes to the active segment and makes them durable.
func (s *Store) write(b []byte) error {
	if s.tail.size+int64(len(b)) > offsetLimit {
		return fmt.Errorf("the segment would exceed %d bytes; lower the group size", int64(offsetLimit))
	}
	if _, err := s.file.WriteAt(b, s.tail.size); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.tail.size += int64(len(b))
	return nil
}

// publish lets queries see durable batches.
func (s *Store) publish(places []placed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg := s.tail.segment
	for _, p := range places {
		for _, raw := range p.batch.Records {
			// The batch was checked when it was received.
			seq, _ := seqOf(raw)
			seg.index.add(p.batch.Session, seq, p.from, p.to)
		}
		seg.records += uint64(len(p.batch.Records))
		seg.note(p.batch.Session, p.batch.Number)
		s.numbers(p.batch.Session).add(p.batch.Number)
	}
	seg.size = s.tail.size
	seg.end = s.tail.end
}

// openTail opens the last segment for writing, or starts the next one.
func (s *Store) openTail() error {
	if len(s.segments) == 0 {
		return s.startSegment(s.anchor.First, s.anchor.Prev)
	}
	last := s.segments[len(s.segments)-1]
	if last.sealed {
		if err := s.syncSealed(last); err != nil {
			return err
		}
		return s.startSegment(last.number+1, last.end)
	}
	if last.size == 0 {
		s.segments = s.segments[:len(s.segments)-1]
		prev := s.anchor.Prev
		if n := len(s.segments); n > 0 {
			prev = s.segments[n-1].end
		}
		return s.startSegment(last.number, prev)
	}
	file, err := s.options.openFile(last.path, os.O_RDWR)
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	if err := file.Truncate(last.size); err != nil {
		return fmt.Errorf("audit: cut torn tail: %w", err)
	}
	// What was read may still be in the page cache only; a resend of it is
	// acknowledged at once, so it has to be durable now.
	if err := file.Sync(); err != nil {
		return fmt.Errorf("audit: sync segment: %w", err)
	}
	s.file = file
	s.tail = tail{segment: last, end: last.end, size: last.size}
	return nil
}

// syncSealed makes a seal durable that an ended process may have left in the
// page cache. The next segment must not outlive it.
func (s *Store) syncSealed(seg *segment) error {
	file, err := s.options.openFile(seg.path, os.O_RDWR)
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("audit: sync segment: %w", err)
	}
	return file.Close()
}

// startSegment creates a segment with its header and makes it active.
func (s *Store) startSegment(number uint64, prev hash) error {
	path := segmentPath(s.dir, number)
	file, err := s.options.openFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return fmt.Errorf("audit: create segment: %w", err)
	}
	header := segmentHeader{Number: number, CreatedUnixMS: s.options.Now().UnixMilli(), Prev: prev}
	var buf bytes.Buffer
	end, err := appendFrame(&buf, prev, frameHeader, 0, header)
	if err != nil {
		return err
	}
	s.file = file
	s.tail = tail{end: end}
	if err := s.write(buf.Bytes()); err != nil {
		return fmt.Errorf("audit: write segment header: %w", err)
	}
	if err := syncDir(s.dir); err != nil {
		return fmt.Errorf("audit: sync folder: %w", err)
	}
	seg := &segment{number: number, path: path, header: header, size: s.tail.size, end: end, index: newSparseIndex(), batches: make(map[ids.SessionID]*numberSet)}
	s.tail.segment = seg
	s.mu.Lock()
	s.segments = append(s.segments, seg)
	s.mu.Unlock()
	return nil
}

// rotate seals the active segment and starts the next one.
func (s *Store) rotate() error {
	seg := s.tail.segment
	seal := segmentSeal{SealedUnixMS: s.options.Now().UnixMilli(), Records: seg.records}
	var buf bytes.Buffer
	end, err := appendFrame(&buf, s.tail.end, frameSeal, uint32(s.tail.size), seal)
	if err != nil {
		return err
	}
	if err := s.write(buf.Bytes()); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return err
	}
	s.mu.Lock()
	seg.size, seg.end = s.tail.size, end
	seg.sealed, seg.sealedUnixMS = true, seal.SealedUnixMS
	s.mu.Unlock()
	// Only this goroutine changes the segment, so it is read without the lock.
	if writeIndex(seg) == nil {
		s.mu.Lock()
		seg.release()
		s.mu.Unlock()
	}
	return s.startSegment(seg.number+1, end)
}
