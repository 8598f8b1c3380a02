package audit

import "damaskbridge.example/damaskbridge/ids"

// indexBlockBytes is the size of the part of a segment that one index span
// covers. A larger block needs less memory, but queries read more.
const indexBlockBytes = 256 << 10

// span says that the records between two offsets of a segment include some of
// one session, with sequence numbers from Low to High.
type span struct {
	_    struct{} `cbor:",toarray"`
	From int64
	To   int64
	Low  uint64
	High uint64
}

// sparseIndex locates the parts of a segment that may hold a request. It has at
// most one span for each session and block.
type sparseIndex struct {
	spans map[ids.SessionID][]span
}

func newSparseIndex() *sparseIndex {
	return &sparseIndex{spans: make(map[ids.SessionID][]span)}
}

// add indexes a record of a frame that lies between two offsets.
func (x *sparseIndex) add(session ids.SessionID, seq uint64, from, to int64) {
	spans := x.spans[session]
	if n := len(spans); n > 0 && spans[n-1].From/indexBlockBytes == from/indexBlockBytes {
		last := &spans[n-1]
		last.To = to
		last.Low = min(last.Low, seq)
		last.High = max(last.High, seq)
		return
	}
	x.spans[session] = append(spans, span{From: from, To: to, Low: seq, High: seq})
}

// spansContaining returns the spans whose range includes a sequence number.
func spansContaining(spans []span, seq uint64) []span {
	var found []span
	for _, s := range spans {
		if seq >= s.Low && seq <= s.High {
			found = append(found, s)
		}
	}
	return found
}

// spanCount returns the number of spans.
func (x *sparseIndex) spanCount() int {
	n := 0
	for _, s := range x.spans {
		n += len(s)
	}
	return n
}
