package audit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"damaskbridge.example/damaskbridge/ids"
)

const segmentSuffix = ".audit"

// segment is what a store knows about one segment file.
type segment struct {
	number uint64
	path   string
	header segmentHeader
	// size is the durable size in bytes.
	size         int64
	end          hash // chain hash after the last frame
	records      uint64
	sealed       bool
	sealedUnixMS int64
	// index and batches are nil once a sealed segment has its index file;
	// ranges is set then.
	index   *sparseIndex
	batches map[ids.SessionID]*numberSet
	ranges  map[ids.SessionID]seqRange
}

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%012d%s", number, segmentSuffix))
}

// listSegments gives the numbers of the segments in dir in order.
func listSegments(dir string) ([]uint64, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, n := range names {
		base, ok := strings.CutSuffix(n.Name(), segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("audit: %s is no segment; move it out of the folder", filepath.Join(dir, n.Name()))
		}
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

// visitFunc sees each batch of a scanned segment with its offsets.
type visitFunc func(b *encodedBatch, from, to int64) error

// scan reads frames of a segment from its start and checks checksums, chain and
// order of frames. It stops at the end of the file or at the first bad frame;
// s.size is then the size of the good part and the error a *CorruptError.
func (s *segment) scan(r io.Reader, visit visitFunc) error {
	in := bufio.NewReaderSize(r, 256<<10)
	s.index = newSparseIndex()
	s.batches = make(map[ids.SessionID]*numberSet)
	for {
		f, err := readFrame(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.take(&f, visit)
		}
		var bad *badFrame
		if errors.As(err, &bad) {
			return s.corrupt(s.size, bad.detail)
		}
		if err != nil {
			return err
		}
	}
}

// take adds one frame to the segment.
func (s *segment) take(f *frame, visit visitFunc) error {
	if err := s.checkOrder(f.kind); err != nil {
		return err
	}
	if f.kind == frameHeader {
		if err := decMode.Unmarshal(f.body, &s.header); err != nil {
			return &badFrame{"the header cannot be read"}
		}
		s.end = s.header.Prev
	}
	batch, err := f.check(s.end)
	if err != nil {
		return &badFrame{err.Error()}
	}
	from, to := s.size, s.size+f.size
	switch f.kind {
	case frameBatch:
		if err := s.takeBatch(batch, from, to, visit); err != nil {
			return err
		}
	case frameSeal:
		var seal segmentSeal
		if err := decMode.Unmarshal(f.body, &seal); err != nil || seal.Records != s.records {
			return &badFrame{"the seal does not fit the segment"}
		}
		s.sealed = true
		s.sealedUnixMS = seal.SealedUnixMS
	}
	s.end = f.hash
	s.size = to
	return nil
}

func (s *segment) checkOrder(kind frameKind) error {
	switch {
	case s.sealed:
		return &badFrame{"a frame follows the seal"}
	case (kind == frameHeader) != (s.size == 0):
		return &badFrame{"the header is missing or repeated"}
	case kind < frameHeader || kind > frameSeal:
		return &badFrame{fmt.Sprintf("the frame kind %d does not exist", kind)}
	}
	return nil
}

func (s *segment) takeBatch(b *encodedBatch, from, to int64, visit visitFunc) error {
	for _, raw := range b.Records {
		seq, err := seqOf(raw)
		if err != nil {
			return &badFrame{err.Error()}
		}
		s.index.add(b.Session, seq, from, to)
	}
	s.records += uint64(len(b.Records))
	s.note(b.Session, b.Number)
	return visit(b, from, to)
}

// note adds a batch number to those of the segment.
func (s *segment) note(session ids.SessionID, number uint64) {
	set, ok := s.batches[session]
	if !ok {
		set = &numberSet{}
		s.batches[session] = set
	}
	set.add(number)
}

func (s *segment) corrupt(offset int64, detail string) error {
	return &CorruptError{Path: s.path, Offset: offset, Detail: detail}
}

// isTorn says whether the bytes from the bad frame at s.size on were never
// acknowledged. A frame carries the durable size at the time it was written, so
// a later valid frame with a durable size beyond the bad frame proves that the
// bad one had been durable and was damaged afterwards. Without such a frame the
// bytes belong to the last write before a crash.
func (s *segment) isTorn(tail []byte) bool {
	for at := 1; at < len(tail); at++ {
		next := bytes.Index(tail[at:], magicBytes)
		if next < 0 {
			return true
		}
		at += next
		f, err := readFrame(bytes.NewReader(tail[at:]))
		if err == nil && int64(f.synced) > s.size {
			return false
		}
	}
	return true
}

var magicBytes = []byte{byte(frameMagic >> 24), byte(frameMagic >> 16 & 0xff), byte(frameMagic >> 8 & 0xff), byte(frameMagic & 0xff)}
