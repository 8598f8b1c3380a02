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

// errIndexMismatch reports that an index file does not match its segment. The
// segment alone is authoritative, and the index is rebuilt from it.
var errIndexMismatch = errors.New("audit: the index file does not fit its segment")

// indexFile is the content of the file beside a sealed segment. It lets a store
// open without reading the segment and without holding the segment's spans in
// memory.
type indexFile struct {
	Header       segmentHeader  `cbor:"1,keyasint"`
	Size         int64          `cbor:"2,keyasint"`
	ChainHead    hash           `cbor:"3,keyasint"`
	Records      uint64         `cbor:"4,keyasint"`
	SealedUnixMS int64          `cbor:"5,keyasint"`
	Sessions     []sessionIndex `cbor:"6,keyasint"`
}

// sessionIndex is the index of one session in a segment.
type sessionIndex struct {
	Session ids.SessionID `cbor:"1,keyasint"`
	Spans   []span        `cbor:"2,keyasint"`
	Batches []numberRange `cbor:"3,keyasint"`
}

func indexPath(segmentPath string) string { return segmentPath + indexSuffix }

// newIndexFile returns the index of a sealed segment whose spans are in memory.
func newIndexFile(s *segment) *indexFile {
	f := &indexFile{Header: s.header, Size: s.size, ChainHead: s.chainHead, Records: s.records, SealedUnixMS: s.sealedUnixMS}
	for session, spans := range s.index.spans {
		f.Sessions = append(f.Sessions, sessionIndex{Session: session, Spans: spans, Batches: s.batches[session].ranges})
	}
	sort.Slice(f.Sessions, func(i, j int) bool { return f.Sessions[i].Session.String() < f.Sessions[j].Session.String() })
	return f
}

func encodeIndex(f *indexFile) ([]byte, error) {
	var buf bytes.Buffer
	_, err := appendFrame(&buf, f.ChainHead, frameIndex, 0, f)
	return buf.Bytes(), err
}

// writeIndex stores the index of a sealed segment. It does not sync the file,
// because a lost or torn index is rebuilt.
func writeIndex(s *segment) error {
	b, err := encodeIndex(newIndexFile(s))
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

// readIndex reads the index of a sealed segment and checks it as far as
// possible without reading the segment.
func readIndex(path string, number uint64) (*indexFile, error) {
	b, err := os.ReadFile(indexPath(path))
	if err != nil {
		return nil, err
	}
	fr, err := readFrame(bytes.NewReader(b))
	if err != nil || fr.kind != frameIndex || fr.size != int64(len(b)) {
		return nil, errIndexMismatch
	}
	var f indexFile
	if err := decMode.Unmarshal(fr.body, &f); err != nil {
		return nil, errIndexMismatch
	}
	if _, err := fr.verify(f.ChainHead); err != nil {
		return nil, errIndexMismatch
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if f.Header.Number != number || info.Size() != f.Size {
		return nil, errIndexMismatch
	}
	return &f, nil
}

// applyIndex sets the segment's fields from its index file. The spans stay in
// the file.
func (s *segment) applyIndex(f *indexFile) {
	s.header, s.size, s.chainHead = f.Header, f.Size, f.ChainHead
	s.records, s.sealed, s.sealedUnixMS = f.Records, true, f.SealedUnixMS
	s.seqBounds = make(map[ids.SessionID]seqBounds, len(f.Sessions))
	for _, x := range f.Sessions {
		s.seqBounds[x.Session] = seqBoundsOf(x.Spans)
	}
}

// releaseIndex drops the spans of a sealed segment from memory after writeIndex
// has stored them.
func (s *segment) releaseIndex() {
	s.seqBounds = s.sessions()
	s.index, s.batches = nil, nil
}

// seqBounds holds the lowest and the highest sequence number of a session in a
// segment.
type seqBounds struct{ low, high uint64 }

func seqBoundsOf(spans []span) seqBounds {
	r := seqBounds{low: spans[0].Low, high: spans[0].High}
	for _, s := range spans[1:] {
		r.low, r.high = min(r.low, s.Low), max(r.high, s.High)
	}
	return r
}

// readSpans returns the spans of one session from the segment's index file, or
// a span of the whole segment if the file cannot be used.
func readSpans(path string, number uint64, size int64, session ids.SessionID) []span {
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
