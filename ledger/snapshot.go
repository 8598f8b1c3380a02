package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

// formatVersion is the version of the encoding of a stored ledger.
const formatVersion = 1

// minEntryBytes is the minimum size of a stored entry. It bounds how much memory
// the decoder allocates for a corrupt entry count.
const minEntryBytes = 16 + 16 + 1 + 4

// estimatedEntryBytes is the buffer size reserved for each entry when encoding.
const estimatedEntryBytes = 80

var errDamaged = errors.New("ledger: restore: the snapshot is corrupt; fetch another snapshot")

// Snapshot is an immutable copy of a ledger's content. It can be encoded while
// the ledger changes.
type Snapshot struct {
	chunks     []*[chunkLen]entry
	sessions   []sessionSnapshot
	watermark  int64
	tombstones tombstones
	count      int
}

type sessionSnapshot struct {
	id       ids.SessionID
	released []uint64
}

// Snapshot returns a copy of the ledger's present content. The copy shares the
// entries with the ledger, which copies them before it changes them.
func (l *Ledger) Snapshot() *Snapshot {
	snapshot := &Snapshot{chunks: l.slab.share(), watermark: l.watermark, tombstones: l.tombstones.clone(), count: l.slab.count}
	for _, s := range l.sessions {
		snapshot.sessions = append(snapshot.sessions, sessionSnapshot{id: s.id, released: s.released.list()})
	}
	slices.SortFunc(snapshot.sessions, func(a, b sessionSnapshot) int {
		return compareSessions(a.id, b.id)
	})
	return snapshot
}

// Encode returns the encoded content. The encoding is deterministic: equal
// contents have equal bytes.
func (s *Snapshot) Encode() []byte {
	b := make([]byte, 0, s.count*estimatedEntryBytes+s.tombstones.count*tombstoneBytes)
	b = binary.AppendUvarint(b, formatVersion)
	b = binary.AppendVarint(b, s.watermark)
	indexes := make(map[ids.SessionID]uint64, len(s.sessions))
	b = binary.AppendUvarint(b, uint64(len(s.sessions)))
	for i, session := range s.sessions {
		indexes[session.id] = uint64(i)
		b = appendSession(b, session)
	}
	b = binary.AppendUvarint(b, uint64(s.count))
	for _, e := range s.sorted() {
		b = appendEntry(b, e, indexes[e.owner.id])
	}
	b = binary.AppendUvarint(b, uint64(s.tombstones.count))
	return s.tombstones.appendTo(b)
}

// sorted returns the entries in ascending order of their key IDs.
func (s *Snapshot) sorted() []*entry {
	all := make([]*entry, 0, s.count)
	for _, c := range s.chunks {
		for i := range c {
			if c[i].state != stateFree {
				all = append(all, &c[i])
			}
		}
	}
	slices.SortFunc(all, func(a, b *entry) int { return bytes.Compare(a.id[:], b.id[:]) })
	return all
}

func appendSession(b []byte, s sessionSnapshot) []byte {
	b = appendString(b, string(s.id.VM))
	b = binary.AppendUvarint(b, uint64(s.id.Incarnation))
	b = binary.AppendUvarint(b, uint64(len(s.released)))
	for _, seq := range s.released {
		b = binary.AppendUvarint(b, seq)
	}
	return b
}

func appendEntry(b []byte, e *entry, owner uint64) []byte {
	b = append(b, e.id[:]...)
	b = append(b, e.digest[:]...)
	b = append(b, byte(e.state))
	b = binary.AppendUvarint(b, owner)
	b = binary.AppendUvarint(b, e.seq)
	b = binary.AppendVarint(b, e.timestampMS)
	b = binary.AppendVarint(b, e.settledMS)
	if e.state != stateDone {
		return b
	}
	b = binary.AppendVarint(b, int64(e.answer.Status))
	b = appendString(b, e.answer.ContentType)
	return appendString(b, string(e.answer.Body))
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// Decode decodes the output of Encode. It never panics on corrupt data: it
// returns an error or a usable ledger.
func Decode(b []byte) (*Ledger, error) {
	d := &decoder{rest: b}
	if format := d.uvarint(); format != formatVersion && !d.failed {
		return nil, fmt.Errorf("ledger: restore: unknown format %d, this program reads format %d; upgrade the program", format, formatVersion)
	}
	l := New()
	l.watermark = d.varint()
	owners := d.sessions(l)
	d.entries(l, owners)
	count := d.uvarint()
	if d.failed || count != uint64(len(d.rest)/tombstoneBytes) {
		return nil, errDamaged
	}
	retired, err := decodeTombstones(d.rest)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	l.tombstones = retired
	return l, nil
}

// decoder reads fields one after another. After the end of the data or the first
// corrupt field, failed is true and all further fields read as zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) bytes(n uint64) []byte {
	if n > uint64(len(d.rest)) {
		d.fail()
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) string() string { return string(d.bytes(d.uvarint())) }

func (d *decoder) fail() {
	d.failed = true
	d.rest = nil
}

// count reads the length of a list whose items take at least size bytes each.
func (d *decoder) count(size int) uint64 {
	n := d.uvarint()
	if n > uint64(len(d.rest)/size) {
		d.fail()
		return 0
	}
	return n
}

func (d *decoder) sessions(l *Ledger) []*sessionState {
	n := d.count(3)
	all := make([]*sessionState, 0, n)
	for range n {
		id := ids.SessionID{VM: ids.VMID(d.string())}
		id.Incarnation = ids.Incarnation(d.uvarint())
		if _, duplicate := l.sessions[id]; duplicate {
			d.fail()
		}
		state := l.ensureSession(id)
		for range d.count(1) {
			state.released.add(d.uvarint())
		}
		all = append(all, state)
	}
	return all
}

func (d *decoder) entries(l *Ledger, owners []*sessionState) {
	n := d.count(minEntryBytes)
	l.index = make(map[keyID]slot, n)
	for range n {
		e, ok := d.entry(owners)
		if !ok {
			d.fail()
			return
		}
		if _, duplicate := l.index[e.id]; duplicate {
			d.fail()
			return
		}
		l.restoreEntry(e)
	}
}

func (d *decoder) entry(owners []*sessionState) (entry, bool) {
	var e entry
	copy(e.id[:], d.bytes(16))
	copy(e.digest[:], d.bytes(16))
	if b := d.bytes(1); len(b) == 1 {
		e.state = state(b[0])
	}
	owner := d.uvarint()
	e.seq = d.uvarint()
	e.timestampMS = d.varint()
	e.settledMS = d.varint()
	if e.state == stateDone {
		status := d.varint()
		e.answer = &command.Answer{Status: int(status), ContentType: d.string()}
		e.answer.Body = bytes.Clone(d.bytes(d.uvarint()))
	}
	if d.failed || owner >= uint64(len(owners)) || e.state < stateClaimed || e.state > stateUnknown {
		return e, false
	}
	e.owner = owners[owner]
	return e, true
}

// restoreEntry adds a decoded entry.
func (l *Ledger) restoreEntry(e entry) {
	i := l.slab.add(e)
	l.index[e.id] = i
	if e.answer != nil {
		e.answer.ContentType = l.contentTypes.get(e.answer.ContentType)
	}
	e.owner.entries++
	if e.state == stateClaimed {
		e.owner.claims[i] = struct{}{}
		return
	}
	l.dueHeap.push(&l.slab, dueItem{dueMS: e.dueMS(), slot: i})
}

func compareSessions(a, b ids.SessionID) int {
	if a.VM != b.VM {
		if a.VM < b.VM {
			return -1
		}
		return 1
	}
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}
