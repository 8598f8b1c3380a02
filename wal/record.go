package wal

import (
	"encoding/binary"
	"errors"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/raft"
)

// recordKind is the kind of a record in a frame.
type recordKind uint8

const (
	recordHeader recordKind = iota + 1
	recordHardState
	recordEntry
	// recordReset means that a restored snapshot replaces all entries before it.
	recordReset
	// recordClose is written by Close after all other data is synced, so that
	// corruption of the preceding frame can be distinguished from a torn tail.
	recordClose
)

// formatVersion is the version of the segment format.
const formatVersion = 1

var errBadRecord = errors.New("invalid record")

// header is the first record of each segment.
type header struct {
	identity Identity
	segment  uint64
}

// record is one decoded record. Only the field for its kind is set.
type record struct {
	kind      recordKind
	header    header
	hardState raft.HardState
	entry     raft.Entry
	reset     raft.Snapshot
}

func appendReplicaID(b []byte, id raft.ReplicaID) []byte {
	b = binary.AppendUvarint(b, uint64(len(id.VM)))
	b = append(b, id.VM...)
	return binary.AppendUvarint(b, uint64(id.Incarnation))
}

func appendHeader(b []byte, h header) []byte {
	b = append(b, byte(recordHeader), formatVersion)
	b = binary.AppendUvarint(b, uint64(h.identity.Group))
	b = appendReplicaID(b, h.identity.Replica)
	return binary.AppendUvarint(b, h.segment)
}

func appendHardState(b []byte, hs raft.HardState) []byte {
	b = append(b, byte(recordHardState))
	b = binary.AppendUvarint(b, hs.Term)
	b = binary.AppendUvarint(b, hs.Commit)
	return appendReplicaID(b, hs.Vote)
}

func appendEntry(b []byte, e raft.Entry) []byte {
	b = append(b, byte(recordEntry), byte(e.Kind))
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = binary.AppendUvarint(b, uint64(len(e.Data)))
	return append(b, e.Data...)
}

func appendReset(b []byte, s raft.Snapshot) []byte {
	b = append(b, byte(recordReset))
	b = binary.AppendUvarint(b, s.Index)
	return binary.AppendUvarint(b, s.Term)
}

// recordReader decodes the fields of records. After a failure it returns zero
// values.
type recordReader struct {
	b      []byte
	failed bool
}

func (r *recordReader) fail() {
	r.b, r.failed = nil, true
}

func (r *recordReader) byte() byte {
	if len(r.b) == 0 {
		r.fail()
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *recordReader) uint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *recordReader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.fail()
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}

func (r *recordReader) replicaID() raft.ReplicaID {
	vm := ids.VMID(r.bytes())
	return raft.ReplicaID{VM: vm, Incarnation: ids.Incarnation(r.uint())}
}

func (r *recordReader) header() header {
	if r.byte() != formatVersion {
		r.fail()
	}
	group := r.uint()
	if group > uint64(^uint32(0)) {
		r.fail()
	}
	id := Identity{Group: ids.GroupID(group), Replica: r.replicaID()}
	return header{identity: id, segment: r.uint()}
}

func (r *recordReader) hardState() raft.HardState {
	term, commit := r.uint(), r.uint()
	return raft.HardState{Term: term, Commit: commit, Vote: r.replicaID()}
}

func (r *recordReader) entry() raft.Entry {
	e := raft.Entry{Kind: raft.EntryKind(r.byte())}
	e.Index, e.Term = r.uint(), r.uint()
	if data := r.bytes(); len(data) > 0 {
		e.Data = data
	}
	return e
}

// decodeRecords decodes all records of a frame. Entry data aliases b.
func decodeRecords(b []byte) ([]record, error) {
	var list []record
	r := recordReader{b: b}
	for len(r.b) > 0 {
		rec := record{kind: recordKind(r.byte())}
		switch rec.kind {
		case recordHeader:
			rec.header = r.header()
		case recordHardState:
			rec.hardState = r.hardState()
		case recordEntry:
			rec.entry = r.entry()
		case recordReset:
			rec.reset = raft.Snapshot{Index: r.uint(), Term: r.uint()}
		case recordClose:
		default:
			r.fail()
		}
		if r.failed {
			return nil, errBadRecord
		}
		list = append(list, rec)
	}
	return list, nil
}
