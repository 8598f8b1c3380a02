package ledger

import (
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// state is the state of a key.
type state uint8

const (
	stateFree state = iota
	stateClaimed
	stateDone
	stateUnknown
)

// maxClockSkewMS is how far ahead of the state machine's time the timestamp of a
// UUIDv7 key may be for the watermark alone to cover the key. A key further
// ahead leaves a tombstone, so that a client with a wrong clock does not extend
// the retention of its answer.
const maxClockSkewMS = 24 * 60 * 60 * 1000

// entry is a key that is claimed, done or unknown.
type entry struct {
	id keyID
	// digest is the first half of the request's digest.
	digest [16]byte
	owner  *sessionState
	seq    uint64
	// timestampMS is the timestamp of a UUIDv7 key, or noTimestamp.
	timestampMS int64
	// settledMS is when the key became done or unknown.
	settledMS int64
	answer    *command.Answer
	state     state
}

func (e *entry) request() ids.RequestID {
	return ids.RequestID{Session: e.owner.id, Seq: e.seq}
}

// dueMS returns the time after which the settled entry may be removed.
func (e *entry) dueMS() int64 {
	if e.timestampMS > e.settledMS && e.timestampMS <= e.settledMS+maxClockSkewMS {
		return e.timestampMS
	}
	return e.settledMS
}

// sessionState holds the entries and releases of one session.
type sessionState struct {
	id      ids.SessionID
	entries int // number of entries that the session owns, in any state
	// claims holds the slots of the session's claimed entries.
	claims   map[slot]struct{}
	released releasedSeqs
}

// chunkLen is the number of entries in a chunk, the unit of allocation and of
// copy-on-write.
const chunkLen = 256

// slot is the index of an entry in a slab.
type slot uint32

// slab stores entries in chunks, so that growth moves no entries. A snapshot
// shares the chunks, and the slab copies a shared chunk before it writes to it:
// taking a snapshot copies only the chunk pointers, even with millions of
// entries.
type slab struct {
	chunks []*[chunkLen]entry
	// shared marks the chunks that a snapshot may still read.
	shared    []bool
	freeSlots []slot
	count     int
}

// at returns an entry for reading. The pointer is stale after the next edit.
func (s *slab) at(i slot) *entry {
	return &s.chunks[i/chunkLen][i%chunkLen]
}

// edit returns an entry for writing and copies its chunk first if it is shared.
func (s *slab) edit(i slot) *entry {
	c := i / chunkLen
	if s.shared[c] {
		copied := *s.chunks[c]
		s.chunks[c] = &copied
		s.shared[c] = false
	}
	return s.at(i)
}

func (s *slab) add(e entry) slot {
	if len(s.freeSlots) == 0 {
		s.grow()
	}
	i := s.freeSlots[len(s.freeSlots)-1]
	s.freeSlots = s.freeSlots[:len(s.freeSlots)-1]
	*s.edit(i) = e
	s.count++
	return i
}

func (s *slab) grow() {
	first := slot(len(s.chunks) * chunkLen)
	s.chunks = append(s.chunks, new([chunkLen]entry))
	s.shared = append(s.shared, false)
	for i := chunkLen - 1; i >= 0; i-- {
		s.freeSlots = append(s.freeSlots, first+slot(i))
	}
}

func (s *slab) remove(i slot) {
	*s.edit(i) = entry{}
	s.freeSlots = append(s.freeSlots, i)
	s.count--
}

// share marks all chunks as shared and returns them; they never change
// afterwards.
func (s *slab) share() []*[chunkLen]entry {
	for i := range s.shared {
		s.shared[i] = true
	}
	return slices.Clone(s.chunks)
}
