package audit

import "damaskbridge.example/damaskbridge/ids"

// indexBlock is the part of a segment, in bytes, that one index span covers.
// A larger block needs less memory and lets a query read more.
const indexBlock = 256 << 10

// span says that records of one session with sequence numbers from low to high
// are between two offsets of a segment.
type span struct {
	_    struct{} `cbor:",toarray"`
	From int64
	To   int64
	Low  uint64
	High uint64
}

// sparseIndex finds the parts of a segment that may hold a request. It has at
// most one span for each session and block.
type sparseIndex struct {
	spans map[ids.SessionID][]span
}

func newSparseIndex() *sparseIndex {
	return &sparseIndex{spans: make(map[ids.SessionID][]span)}
}

// add notes a request of a frame between two offsets.
func (x *sparseIndex) add(session ids.SessionID, seq uint64, from, to int64) {
	spans := x.spans[session]
	if n := len(spans); n > 0 && spans[n-1].From/indexBlock == from/indexBlock {
		last := &spans[n-1]
		last.To = to
		last.Low = min(last.Low, seq)
		last.High = max(last.High, seq)
		return
	}
	x.spans[session] = append(spans, span{From: from, To: to, Low: seq, High: seq})
}

// holding keeps the spans that may hold a sequence number.
func holding(spans []span, seq uint64) []span {
	var found []span
	for _, s := range spans {
		if seq >= s.Low && seq <= s.High {
			found = append(found, s)
		}
	}
	return found
}

// size is the number of spans.
func (x *sparseIndex) size() int {
	n := 0
	for _, s := range x.spans {
		n += len(s)
	}
	return n
}
