package audit

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"sort"

	"damaskbridge.example/damaskbridge/ids"
)

const indexSuffix = ".index"

// errIndex says that an index file does not belong to its segment. The index is
// built again from the segment, which alone is authoritative.
var errIndex = errors.New("audit: the index file does not fit its segment")

// indexFile is what a store keeps beside a sealed segment, so that it neither
// reads the segment when it is opened nor holds its spans in memory.
type indexFile struct {
	Header       segmentHeader  `cbor:"1,keyasint"`
	Size         int64          `cbor:"2,keyasint"`
	End          hash           `cbor:"3,keyasint"`
	Records      uint64         `cbor:"4,keyasint"`
	SealedUnixMS int64          `cbor:"5,keyasint"`
	Sessions     []sessionIndex `cbor:"6,keyasint"`
}

// sessionIndex is the part of one session.
type sessionIndex struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Spans   []span        `cbor:"2,keyasint"`
	Batches []numberRange `cbor:"3,keyasint"`
}

func indexPath(segmentPath string) string { return segmentPath + indexSuffix }

// indexOf describes a sealed segment whose index is in memory.
func indexOf(s *segment) *indexFile {
	f := &indexFile{Header: s.header, Size: s.size, End: s.end, Records: s.records, SealedUnixMS: s.sealedUnixMS}
	for session, spans := range s.index.spans {
		f.Sessions = append(f.Sessions, sessionIndex{Session: session, Spans: spans, Batches: s.batches[session].ranges})
	}
	sort.Slice(f.Sessions, func(i, j int) bool { return f.Sessions[i].Session.String() < f.Sessions[j].Session.String() })
	return f
}

func encodeIndex(f *indexFile) ([]byte, error) {
	var buf bytes.Buffer
	_, err := appendFrame(&buf, f.End, frameIndex, 0, f)
	return buf.Bytes(), err
}

// writeIndex stores the index of a sealed segment. It need not be durable: one
// that is lost or torn is built again.
func writeIndex(s *segment) error {
	b, err := encodeIndex(indexOf(s))
	if err != nil {
		return err
	}
	path := indexPath(s.path)
	if err := os.WriteFile(path+".new", b, fileMode); err != nil {
		return fmt.Errorf("audit: write index: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("audit: write index: %w", err)
	}
	return nil
}

// readIndex reads the index of a sealed segment and compares what can be
// compared without reading the segment.
func readIndex(path string, number uint64) (*indexFile, error) {
	b, err := os.ReadFile(indexPath(path))
	if err != nil {
		return nil, err
	}
	fr, err := readFrame(bytes.NewReader(b))
	if err != nil || fr.kind != frameIndex || fr.size != int64(len(b)) {
		return nil, errIndex
	}
	var f indexFile
	if err := decMode.Unmarshal(fr.body, &f); err != nil {
		return nil, errIndex
	}
	if _, err := fr.check(f.End); err != nil {
		return nil, errIndex
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if f.Header.Number != number || info.Size() != f.Size {
		return nil, errIndex
	}
	return &f, nil
}

// apply fills a segment from its index file. The spans stay in the file.
func (s *segment) apply(f *indexFile) {
	s.header, s.size, s.end = f.Header, f.Size, f.End
	s.records, s.sealed, s.sealedUnixMS = f.Records, true, f.SealedUnixMS
	s.ranges = make(map[ids.SessionID]seqRange, len(f.Sessions))
	for _, x := range f.Sessions {
		s.ranges[x.Session] = rangeOf(x.Spans)
	}
}

// release drops the spans of a sealed segment from memory, after writeIndex has
// stored them.
func (s *segment) release() {
	s.ranges = s.sessions()
	s.index, s.batches = nil, nil
}

// seqRange holds the lowest and the highest sequence number of a session in a
// segment.
type seqRange struct{ low, high uint64 }

func rangeOf(spans []span) seqRange {
	r := seqRange{low: spans[0].Low, high: spans[0].High}
	for _, s := range spans[1:] {
		r.low, r.high = min(r.low, s.Low), max(r.high, s.High)
	}
	return r
}

// spansOf gives the spans of one session from the segment's index file, or the
// whole segment if the file cannot be used.
func spansOf(path string, number uint64, size int64, session ids.SessionID) []span {
	f, err := readIndex(path, number)
	if err != nil {
		return []span{{From: 0, To: size, High: ^uint64(0)}}
	}
	for _, x := range f.Sessions {
		if x.Session == session {
			return x.Spans
		}
	}
	return nil
}
