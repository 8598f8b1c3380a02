package audit

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// Store keeps the audit records of one control VM. It is safe for concurrent
// use. A single goroutine writes; concurrent appends share one fsync.
type Store struct {
	dir     string
	options Options
	queue   chan *pendingAppend
	stop    chan struct{}
	done    chan struct{}
	close   sync.Once

	mu            sync.RWMutex
	retention     time.Duration
	segments      []*segment // in chain order; the last one is active
	anchor        anchor
	failed        error
	storedBatches map[ids.SessionID]*numberSet

	// The fields below belong to the writing goroutine.
	file   segmentFile
	active activeSegment
}

// Open opens the store in dir, which is created if it is missing. It truncates
// a torn write at the end of the last segment; other damage there and a missing
// or replaced segment give a *CorruptError. Sealed segments with an index file
// are not read: Verify and the queries that read them find damage there.
func Open(dir string, o Options) (*Store, error) {
	s, err := loadStore(dir, o)
	if err != nil {
		return nil, err
	}
	go s.run()
	return s, nil
}

// loadStore returns a store whose writing goroutine is not started yet.
func loadStore(dir string, o Options) (*Store, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("audit: create folder: %w", err)
	}
	s := &Store{
		dir: dir, options: o.withDefaults(), retention: o.withDefaults().Retention,
		queue: make(chan *pendingAppend, appendQueueLength),
		stop:  make(chan struct{}), done: make(chan struct{}),
		storedBatches: make(map[ids.SessionID]*numberSet),
	}
	return s, s.loadSegments()
}

// loadSegments reads the folder and opens the last segment for writing.
func (s *Store) loadSegments() error {
	a, err := readAnchor(s.dir)
	if err != nil {
		return err
	}
	s.anchor = a
	numbers, err := s.retainedSegments()
	if err != nil {
		return err
	}
	prev := a.Prev
	for i, n := range numbers {
		seg, err := s.loadSegment(n, prev, i == len(numbers)-1)
		if err != nil {
			return err
		}
		prev = seg.chainHead
		s.segments = append(s.segments, seg)
	}
	return s.openActiveSegment()
}

// retainedSegments returns the numbers of the segments from the anchor on. It
// deletes older ones, which an interrupted DeleteExpired left behind.
func (s *Store) retainedSegments() ([]uint64, error) {
	numbers, err := listSegments(s.dir)
	if err != nil {
		return nil, err
	}
	for len(numbers) > 0 && numbers[0] < s.anchor.First {
		if err := removeSegment(segmentPath(s.dir, numbers[0])); err != nil {
			return nil, fmt.Errorf("audit: delete old segment: %w", err)
		}
		numbers = numbers[1:]
	}
	for i, n := range numbers {
		if want := s.anchor.First + uint64(i); n != want {
			return nil, missingSegmentError(s.dir, want)
		}
	}
	if len(numbers) == 0 && s.anchor != initialAnchor {
		return nil, missingSegmentError(s.dir, s.anchor.First)
	}
	return numbers, nil
}

func missingSegmentError(dir string, number uint64) error {
	return &CorruptError{Path: segmentPath(dir, number), Detail: "the segment is missing"}
}

// loadSegment reads one segment and, if it is the last one, repairs its tail.
func (s *Store) loadSegment(number uint64, prev hash, isLast bool) (*segment, error) {
	seg := &segment{number: number, path: segmentPath(s.dir, number)}
	if f, err := readIndex(seg.path, number); err == nil && f.Header.Prev == prev {
		seg.applyIndex(f)
		for _, x := range f.Sessions {
			s.batchNumbers(x.Session).addRanges(x.Batches)
		}
		return seg, nil
	}
	file, err := os.Open(seg.path)
	if err != nil {
		return nil, fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	err = seg.scan(file, func(b *encodedBatch, _, _ int64) error {
		s.batchNumbers(b.Session).add(b.Number)
		return nil
	})
	var corrupt *CorruptError
	if errors.As(err, &corrupt) && isLast {
		err = s.repairTail(seg, file, corrupt)
	}
	if err != nil {
		return nil, err
	}
	if seg.size == 0 && isLast {
		// The process crashed between creating the segment and writing its
		// header.
		return seg, nil
	}
	if seg.header.Number != number || seg.header.Prev != prev {
		return nil, seg.corruptError(0, "the segment does not continue the one before it")
	}
	if !isLast && !seg.sealed {
		return nil, seg.corruptError(seg.size, "the seal is missing")
	}
	if !isLast {
		// If the index file cannot be written, the spans stay in memory.
		if writeIndex(seg) == nil {
			seg.releaseIndex()
		}
	}
	return seg, nil
}

// repairTail returns nil if the bytes after the last valid frame are a torn
// write, which may be truncated.
func (s *Store) repairTail(seg *segment, file *os.File, corrupt *CorruptError) error {
	if seg.sealed {
		return corrupt
	}
	info, err := file.Stat()
	if err != nil {
		return err
	}
	rest := make([]byte, info.Size()-seg.size)
	if _, err := file.ReadAt(rest, seg.size); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if !seg.isTornWrite(rest) {
		return corrupt
	}
	return nil
}

// batchNumbers returns the stored batch numbers of a session. The caller must
// hold mu or have exclusive access to the store.
func (s *Store) batchNumbers(session ids.SessionID) *numberSet {
	set, ok := s.storedBatches[session]
	if !ok {
		set = &numberSet{}
		s.storedBatches[session] = set
	}
	return set
}

// Append stores a batch and returns when it is durable. A batch whose session
// and number are already stored is acknowledged without being stored again.
func (s *Store) Append(session ids.SessionID, b Batch) error {
	e, err := encodeBatch(session, &b)
	if err != nil {
		return err
	}
	return s.append(e)
}

func (s *Store) append(b *encodedBatch) error {
	p := &pendingAppend{batch: b, done: make(chan error, 1)}
	select {
	case s.queue <- p:
	case <-s.done:
		return s.stopError()
	}
	select {
	case err := <-p.done:
		return err
	case <-s.done:
		// The result may have arrived just before the store stopped.
		select {
		case err := <-p.done:
			return err
		default:
			return s.stopError()
		}
	}
}

func (s *Store) stopError() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.failed != nil {
		return s.failed
	}
	return ErrClosed
}

// Err returns the *StoppedError of a store that stopped, else nil.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failed
}

// Close waits for running commits and closes the store. Appends that are still
// queued fail with ErrClosed.
func (s *Store) Close() error {
	s.close.Do(func() { close(s.stop) })
	<-s.done
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// maxFrameOffset is the largest segment offset that fits the 4 bytes of a
// frame's durable size.
const maxFrameOffset = math.MaxUint32
