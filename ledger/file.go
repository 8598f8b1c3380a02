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

// fileFormat numbers the layout of a stored ledger.
const fileFormat = 1

// minEntryBytes is the least size of a stored entry; it bounds what a damaged
// count can make a reader allocate.
const minEntryBytes = 16 + 16 + 1 + 4

// usualEntryBytes is the size to reserve for each entry when encoding.
const usualEntryBytes = 80

var errFile = errors.New("ledger: restore: the data is damaged; fetch another snapshot")

// Frozen is the content of a ledger at one moment. It is immutable, so that it
// can be encoded while the ledger moves on.
type Frozen struct {
	chunks    []*[chunkLen]entry
	holders   []frozenHolder
	watermark int64
	tombs     tombstones
	used      int
}

type frozenHolder struct {
	session  ids.SessionID
	released []uint64
}

// Freeze gives the ledger's present content. It shares the entries, which the
// ledger copies before it changes them.
func (l *Ledger) Freeze() *Frozen {
	f := &Frozen{chunks: l.slab.freeze(), watermark: l.watermark, tombs: l.tombs.clone(), used: l.slab.used}
	for _, h := range l.holders {
		f.holders = append(f.holders, frozenHolder{session: h.session, released: h.released.list()})
	}
	slices.SortFunc(f.holders, func(a, b frozenHolder) int {
		return compareSessions(a.session, b.session)
	})
	return f
}

// Encode writes the content so that equal contents have equal bytes.
func (f *Frozen) Encode() []byte {
	b := make([]byte, 0, f.used*usualEntryBytes+f.tombs.count*tombstoneBytes)
	b = binary.AppendUvarint(b, fileFormat)
	b = binary.AppendVarint(b, f.watermark)
	numbers := make(map[ids.SessionID]uint64, len(f.holders))
	b = binary.AppendUvarint(b, uint64(len(f.holders)))
	for i, h := range f.holders {
		numbers[h.session] = uint64(i)
		b = appendHolder(b, h)
	}
	b = binary.AppendUvarint(b, uint64(f.used))
	for _, e := range f.sorted() {
		b = appendEntry(b, e, numbers[e.owner.session])
	}
	b = binary.AppendUvarint(b, uint64(f.tombs.count))
	return f.tombs.appendTo(b)
}

// sorted gives the entries in ascending order of their ids.
func (f *Frozen) sorted() []*entry {
	all := make([]*entry, 0, f.used)
	for _, c := range f.chunks {
		for i := range c {
			if c[i].state != free {
				all = append(all, &c[i])
			}
		}
	}
	slices.SortFunc(all, func(a, b *entry) int { return bytes.Compare(a.id[:], b.id[:]) })
	return all
}

func appendHolder(b []byte, h frozenHolder) []byte {
	b = appendString(b, string(h.session.VM))
	b = binary.AppendUvarint(b, uint64(h.session.Incarnation))
	b = binary.AppendUvarint(b, uint64(len(h.released)))
	for _, seq := range h.released {
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
	b = binary.AppendVarint(b, e.embedded)
	b = binary.AppendVarint(b, e.settled)
	if e.state != done {
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

// Decode reads what Encode wrote. It never panics on damaged data; what passes
// is a ledger that works.
func Decode(b []byte) (*Ledger, error) {
	r := &reader{rest: b}
	if format := r.uvarint(); format != fileFormat && !r.bad {
		return nil, fmt.Errorf("ledger: restore: format %d is not known, this program reads format %d; upgrade it", format, fileFormat)
	}
	l := New()
	l.watermark = r.varint()
	holders := r.holders(l)
	r.entries(l, holders)
	count := r.uvarint()
	if r.bad || count != uint64(len(r.rest)/tombstoneBytes) {
		return nil, errFile
	}
	tombs, err := loadTombstones(r.rest)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errFile, err)
	}
	l.tombs = tombs
	return l, nil
}

// reader reads fields until the data ends or is found damaged; from then on
// bad is true and all fields are zero.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.rest)) {
		r.fail()
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) string() string { return string(r.bytes(r.uvarint())) }

func (r *reader) fail() {
	r.bad = true
	r.rest = nil
}

// count reads the length of a list whose items have at least size bytes.
func (r *reader) count(size int) uint64 {
	n := r.uvarint()
	if n > uint64(len(r.rest)/size) {
		r.fail()
		return 0
	}
	return n
}

func (r *reader) holders(l *Ledger) []*holder {
	n := r.count(3)
	all := make([]*holder, 0, n)
	for range n {
		session := ids.SessionID{VM: ids.VMID(r.string())}
		session.Incarnation = ids.Incarnation(r.uvarint())
		if _, twice := l.holders[session]; twice {
			r.fail()
		}
		h := l.holder(session)
		for range r.count(1) {
			h.released.add(r.uvarint())
		}
		all = append(all, h)
	}
	return all
}

func (r *reader) entries(l *Ledger, holders []*holder) {
	n := r.count(minEntryBytes)
	l.index = make(map[keyID]slot, n)
	for range n {
		e, ok := r.entry(holders)
		if !ok {
			r.fail()
			return
		}
		if _, twice := l.index[e.id]; twice {
			r.fail()
			return
		}
		l.restore(e)
	}
}

func (r *reader) entry(holders []*holder) (entry, bool) {
	var e entry
	copy(e.id[:], r.bytes(16))
	copy(e.digest[:], r.bytes(16))
	if b := r.bytes(1); len(b) == 1 {
		e.state = state(b[0])
	}
	owner := r.uvarint()
	e.seq = r.uvarint()
	e.embedded = r.varint()
	e.settled = r.varint()
	if e.state == done {
		status := r.varint()
		e.answer = &command.Answer{Status: int(status), ContentType: r.string()}
		e.answer.Body = bytes.Clone(r.bytes(r.uvarint()))
	}
	if r.bad || owner >= uint64(len(holders)) || e.state < claimed || e.state > unknown {
		return e, false
	}
	e.owner = holders[owner]
	return e, true
}

// restore enters a stored entry.
func (l *Ledger) restore(e entry) {
	i := l.slab.add(e)
	l.index[e.id] = i
	if e.answer != nil {
		e.answer.ContentType = l.types.get(e.answer.ContentType)
	}
	e.owner.entries++
	if e.state == claimed {
		e.owner.claims[i] = struct{}{}
		return
	}
	l.queue.push(&l.slab, due{at: e.due(), slot: i})
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
