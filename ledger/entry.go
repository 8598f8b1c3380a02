package ledger

import (
	"slices"

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
	claims   map[slot]struct{}
	released released
}

// chunkLen is the number of entries that are allocated, and copied, together.
const chunkLen = 256

// slot is the place of an entry in a slab.
type slot uint32

// slab stores entries in chunks, so that growth moves nothing. A frozen copy
// shares the chunks; the slab copies a shared chunk before it writes to it, so
// that freezing millions of entries takes no time worth mentioning.
type slab struct {
	chunks []*[chunkLen]entry
	// shared tells which chunks a frozen copy may still read.
	shared []bool
	unused []slot
	used   int
}

// at gives an entry to read. The pointer is stale after the next edit.
func (s *slab) at(i slot) *entry {
	return &s.chunks[i/chunkLen][i%chunkLen]
}

// edit gives an entry to write to.
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
	if len(s.unused) == 0 {
		s.grow()
	}
	i := s.unused[len(s.unused)-1]
	s.unused = s.unused[:len(s.unused)-1]
	*s.edit(i) = e
	s.used++
	return i
}

func (s *slab) grow() {
	first := slot(len(s.chunks) * chunkLen)
	s.chunks = append(s.chunks, new([chunkLen]entry))
	s.shared = append(s.shared, false)
	for i := chunkLen - 1; i >= 0; i-- {
		s.unused = append(s.unused, first+slot(i))
	}
}

func (s *slab) remove(i slot) {
	*s.edit(i) = entry{}
	s.unused = append(s.unused, i)
	s.used--
}

// freeze gives chunks that will never change.
func (s *slab) freeze() []*[chunkLen]entry {
	for i := range s.shared {
		s.shared[i] = true
	}
	return slices.Clone(s.chunks)
}
