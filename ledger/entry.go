package ledger

import (
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// state is what is known of a key.
type state uint8

const (
	free state = iota
	claimed
	done
	unknown
)

// maxSkewMS is how far ahead of the state machine's time a UUIDv7 key may be
// and still be removed by the watermark alone. A key further ahead leaves a
// tombstone, so that one wrong client clock does not hold its answer for long.
const maxSkewMS = 24 * 60 * 60 * 1000

// entry is one key that is claimed, done or unknown.
type entry struct {
	id keyID
	// digest is the first half of the request's digest.
	digest [16]byte
	owner  *holder
	seq    uint64
	// embedded is the time in a UUIDv7 key, or noTime.
	embedded int64
	// settled is when the key became done or unknown.
	settled int64
	answer  *command.Answer
	state   state
}

func (e *entry) request() ids.RequestID {
	return ids.RequestID{Session: e.owner.session, Seq: e.seq}
}

// due is the time from which on a settled entry may be removed.
func (e *entry) due() int64 {
	if e.embedded > e.settled && e.embedded <= e.settled+maxSkewMS {
		return e.embedded
	}
	return e.settled
}

// holder is a session that owns entries.
type holder struct {
	session ids.SessionID
	entries int
	// claims holds the slots of the session's claimed entries.
	claims map[slot]struct{}
	// released holds the sequence numbers of requests that released a key. A
	// claim of theirs that arrives late is a repeated message and would hold
	// the key for nobody.
	released map[uint64]struct{}
}

// chunkLen is the number of entries that are allocated together.
const chunkLen = 1024

// slot is the place of an entry in a slab.
type slot uint32

// slab stores entries in chunks, so that growth moves nothing and a copy of
// all entries is a few plain memory copies.
type slab struct {
	chunks []*[chunkLen]entry
	unused []slot
	used   int
}

func (s *slab) at(i slot) *entry {
	return &s.chunks[i/chunkLen][i%chunkLen]
}

func (s *slab) add(e entry) slot {
	if len(s.unused) == 0 {
		s.grow()
	}
	i := s.unused[len(s.unused)-1]
	s.unused = s.unused[:len(s.unused)-1]
	*s.at(i) = e
	s.used++
	return i
}

func (s *slab) grow() {
	first := slot(len(s.chunks) * chunkLen)
	s.chunks = append(s.chunks, new([chunkLen]entry))
	for i := chunkLen - 1; i >= 0; i-- {
		s.unused = append(s.unused, first+slot(i))
	}
}

func (s *slab) remove(i slot) {
	*s.at(i) = entry{}
	s.unused = append(s.unused, i)
	s.used--
}

// clone gives a copy that shares only what never changes.
func (s *slab) clone() []*[chunkLen]entry {
	chunks := make([]*[chunkLen]entry, len(s.chunks))
	for i, c := range s.chunks {
		copied := *c
		chunks[i] = &copied
	}
	return chunks
}
