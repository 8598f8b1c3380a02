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

// segment describes one segment file.
type segment struct {
	number uint64
	path   string
	header segmentHeader
	// size is the durable size in bytes.
	size         int64
	chainHead    hash // chain hash after the last frame
	records      uint64
	sealed       bool
	sealedUnixMS int64
	// index and batches are nil once a sealed segment has its index file;
	// seqBounds is set then.
	index     *sparseIndex
	batches   map[ids.SessionID]*numberSet
	seqBounds map[ids.SessionID]seqBounds
}

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%012d%s", number, segmentSuffix))
}

// listSegments returns the numbers of the segments in dir in ascending order.
func listSegments(dir string) ([]uint64, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, file := range files {
		base, ok := strings.CutSuffix(file.Name(), segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("audit: %s is not a segment file; move it out of the folder", filepath.Join(dir, file.Name()))
		}
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers, nil
}

// visitFunc is called with each batch of a scanned segment and its offsets.
type visitFunc func(b *encodedBatch, from, to int64) error

// scan reads the frames of a segment from its start and verifies checksums, the
// hash chain and the order of frames. It stops at the end of the file or at the
// first invalid frame, for which it returns a *CorruptError; s.size is then the
// size of the valid part.
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
			err = s.addFrame(&f, visit)
		}
		var bad *frameError
		if errors.As(err, &bad) {
			return s.corruptError(s.size, bad.detail)
		}
		if err != nil {
			return err
		}
	}
}

// addFrame verifies one frame and adds it to the segment.
func (s *segment) addFrame(f *frame, visit visitFunc) error {
	if err := s.checkOrder(f.kind); err != nil {
		return err
	}
	if f.kind == frameHeader {
		if err := decMode.Unmarshal(f.body, &s.header); err != nil {
			return &frameError{"the header cannot be read"}
		}
		s.chainHead = s.header.Prev
	}
	batch, err := f.verify(s.chainHead)
	if err != nil {
		return &frameError{err.Error()}
	}
	from, to := s.size, s.size+f.size
	switch f.kind {
	case frameBatch:
		if err := s.addBatch(batch, from, to, visit); err != nil {
			return err
		}
	case frameSeal:
		var seal segmentSeal
		if err := decMode.Unmarshal(f.body, &seal); err != nil || seal.Records != s.records {
			return &frameError{"the seal does not fit the segment"}
		}
		s.sealed = true
		s.sealedUnixMS = seal.SealedUnixMS
	}
	s.chainHead = f.hash
	s.size = to
	return nil
}

func (s *segment) checkOrder(kind frameKind) error {
	switch {
	case s.sealed:
		return &frameError{"a frame follows the seal"}
	case (kind == frameHeader) != (s.size == 0):
		return &frameError{"the header is missing or repeated"}
	case kind < frameHeader || kind > frameSeal:
		return &frameError{fmt.Sprintf("the frame kind %d does not exist", kind)}
	}
	return nil
}

func (s *segment) addBatch(b *encodedBatch, from, to int64, visit visitFunc) error {
	for _, raw := range b.Records {
		seq, err := recordSeq(raw)
		if err != nil {
			return &frameError{err.Error()}
		}
		s.index.add(b.Session, seq, from, to)
	}
	s.records += uint64(len(b.Records))
	s.addBatchNumber(b.Session, b.Number)
	return visit(b, from, to)
}

// addBatchNumber adds a number to the segment's batch numbers of a session.
func (s *segment) addBatchNumber(session ids.SessionID, number uint64) {
	set, ok := s.batches[session]
	if !ok {
		set = &numberSet{}
		s.batches[session] = set
	}
	set.add(number)
}

func (s *segment) corruptError(offset int64, detail string) error {
	return &CorruptError{Path: s.path, Offset: offset, Detail: detail}
}

// isTornWrite reports whether the bytes from the invalid frame at s.size on
// were never acknowledged. A frame carries the durable size at the time it was
// written, so a later valid frame with a durable size beyond the invalid frame
// proves that the invalid one had been durable and was damaged afterwards.
// Without such a frame, the bytes belong to the last write before a crash.
func (s *segment) isTornWrite(tail []byte) bool {
	for offset := 1; offset < len(tail); offset++ {
		next := bytes.Index(tail[offset:], magicBytes)
		if next < 0 {
			return true
		}
		offset += next
		f, err := readFrame(bytes.NewReader(tail[offset:]))
		if err == nil && int64(f.durableSize) > s.size {
			return false
		}
	}
	return true
}

var magicBytes = []byte{byte(frameMagic >> 24), byte(frameMagic >> 16 & 0xff), byte(frameMagic >> 8 & 0xff), byte(frameMagic & 0xff)}
