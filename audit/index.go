package audit

import "damaskbridge.example/damaskbridge/ids"

// indexBlock is the part of a segment, in bytes, that one index span covers.
// A larger block needs less memory and lets a query read more.
const indexBlock = 1 << 20

// span says that records of one session with sequence numbers from low to high
// are between two offsets of a segment.
type span struct {
	from, to  int64
	low, high uint64
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
	if n := len(spans); n > 0 && spans[n-1].from/indexBlock == from/indexBlock {
		last := &spans[n-1]
		last.to = to
		last.low = min(last.low, seq)
		last.high = max(last.high, seq)
		return
	}
	x.spans[session] = append(spans, span{from: from, to: to, low: seq, high: seq})
}

// find gives the spans that may hold a request, in order.
func (x *sparseIndex) find(id ids.RequestID) []span {
	var found []span
	for _, s := range x.spans[id.Session] {
		if id.Seq >= s.low && id.Seq <= s.high {
			found = append(found, s)
		}
	}
	return found
}

// all gives the spans of a session, in order.
func (x *sparseIndex) all(session ids.SessionID) []span {
	return append([]span(nil), x.spans[session]...)
}

// size is the number of spans.
func (x *sparseIndex) size() int {
	n := 0
	for _, s := range x.spans {
		n += len(s)
	}
	return n
}
