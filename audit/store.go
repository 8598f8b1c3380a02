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

// Store keeps the records of one control VM. It is safe for concurrent use.
// One goroutine writes; appends that wait at the same time share one fsync.
type Store struct {
	dir     string
	options Options
	queue   chan *pending
	quit    chan struct{}
	done    chan struct{}
	close   sync.Once

	mu        sync.RWMutex
	retention time.Duration
	segments  []*segment // in order; the last one is active
	anchor    anchor
	failed    error
	stored    map[ids.SessionID]*numberSet

	// The writing goroutine owns the rest.
	file segmentFile
	tail tail
}

// Open reads the segments in dir, which is created if it is missing. It cuts a
// torn tail off the last segment; other damage there and a missing or exchanged
// segment give a *CorruptError. A sealed segment that has its index file is not
// read: damage in it is found by Verify and by the queries that read it.
func Open(dir string, o Options) (*Store, error) {
	s, err := load(dir, o)
	if err != nil {
		return nil, err
	}
	go s.run()
	return s, nil
}

// load makes a store whose writing goroutine does not run yet.
func load(dir string, o Options) (*Store, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("audit: create folder: %w", err)
	}
	s := &Store{
		dir: dir, options: o.withDefaults(), retention: o.withDefaults().Retention,
		queue: make(chan *pending, defaultQueue),
		quit:  make(chan struct{}), done: make(chan struct{}),
		stored: make(map[ids.SessionID]*numberSet),
	}
	return s, s.readFolder()
}

// readFolder reads the folder and opens the last segment for writing.
func (s *Store) readFolder() error {
	a, err := readAnchor(s.dir)
	if err != nil {
		return err
	}
	s.anchor = a
	numbers, err := s.keptSegments()
	if err != nil {
		return err
	}
	prev := a.Prev
	for i, n := range numbers {
		seg, err := s.loadSegment(n, prev, i == len(numbers)-1)
		if err != nil {
			return err
		}
		prev = seg.end
		s.segments = append(s.segments, seg)
	}
	return s.openTail()
}

// keptSegments lists the segments from the anchor on. Older ones are left over
// from an interrupted retention and are deleted.
func (s *Store) keptSegments() ([]uint64, error) {
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
			return nil, missingSegment(s.dir, want)
		}
	}
	if len(numbers) == 0 && s.anchor != newChain {
		return nil, missingSegment(s.dir, s.anchor.First)
	}
	return numbers, nil
}

func missingSegment(dir string, number uint64) error {
	return &CorruptError{Path: segmentPath(dir, number), Detail: "the segment is missing"}
}

// loadSegment reads one segment and, if it is the last one, repairs its tail.
func (s *Store) loadSegment(number uint64, prev hash, isLast bool) (*segment, error) {
	seg := &segment{number: number, path: segmentPath(s.dir, number)}
	if f, err := readIndex(seg.path, number); err == nil && f.Header.Prev == prev {
		seg.apply(f)
		for _, x := range f.Sessions {
			s.numbers(x.Session).addRanges(x.Batches)
		}
		return seg, nil
	}
	file, err := os.Open(seg.path)
	if err != nil {
		return nil, fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	err = seg.scan(file, func(b *encodedBatch, _, _ int64) error {
		s.numbers(b.Session).add(b.Number)
		return nil
	})
	var bad *CorruptError
	if errors.As(err, &bad) && isLast {
		err = s.repairTail(seg, file, bad)
	}
	if err != nil {
		return nil, err
	}
	if seg.size == 0 && isLast {
		// A crash came between the creation of the segment and its header.
		return seg, nil
	}
	if seg.header.Number != number || seg.header.Prev != prev {
		return nil, seg.corrupt(0, "the segment does not continue the one before it")
	}
	if !isLast && !seg.sealed {
		return nil, seg.corrupt(seg.size, "the seal is missing")
	}
	if !isLast {
		// Without the file the spans stay in memory.
		if writeIndex(seg) == nil {
			seg.release()
		}
	}
	return seg, nil
}

// repairTail decides whether the bytes after the last good frame may go.
func (s *Store) repairTail(seg *segment, file *os.File, bad *CorruptError) error {
	if seg.sealed {
		return bad
	}
	info, err := file.Stat()
	if err != nil {
		return err
	}
	rest := make([]byte, info.Size()-seg.size)
	if _, err := file.ReadAt(rest, seg.size); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if !seg.isTorn(rest) {
		return bad
	}
	return nil
}

// numbers gives the batch numbers of a session. The caller holds mu or is the
// only user.
func (s *Store) numbers(session ids.SessionID) *numberSet {
	set, ok := s.stored[session]
	if !ok {
		set = &numberSet{}
		s.stored[session] = set
	}
	return set
}

// Append stores a batch and returns when it is durable. A batch whose session
// and number are stored already is acknowledged without being stored again.
func (s *Store) Append(session ids.SessionID, b Batch) error {
	e, err := encodeBatch(session, &b)
	if err != nil {
		return err
	}
	return s.append(e)
}

func (s *Store) append(b *encodedBatch) error {
	p := &pending{batch: b, done: make(chan error, 1)}
	select {
	case s.queue <- p:
	case <-s.done:
		return s.whyStopped()
	}
	select {
	case err := <-p.done:
		return err
	case <-s.done:
		// The writer may have answered just before it stopped.
		select {
		case err := <-p.done:
			return err
		default:
			return s.whyStopped()
		}
	}
}

func (s *Store) whyStopped() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.failed != nil {
		return s.failed
	}
	return ErrClosed
}

// Err gives the *StoppedError of a store that stopped, else nil.
func (s *Store) Err() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failed
}

// Close waits for running appends and closes the store.
func (s *Store) Close() error {
	s.close.Do(func() { close(s.quit) })
	<-s.done
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// offsetLimit keeps frame offsets within the 4 bytes that frames carry.
const offsetLimit = math.MaxUint32
