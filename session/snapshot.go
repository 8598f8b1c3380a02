package session

import (
	"fmt"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
)

// Snapshot is the serialized form of a table. Its lists are sorted, so that
// equal tables give equal snapshots.
type Snapshot struct {
	Open   []Info              `cbor:"1,keyasint,omitempty"`
	Newest []NewestIncarnation `cbor:"2,keyasint,omitempty"`
	Ended  []Info              `cbor:"3,keyasint,omitempty"`
}

// NewestIncarnation is the newest incarnation ever opened for one VM.
type NewestIncarnation struct {
	_           struct{} `cbor:",toarray"`
	VM          ids.VMID
	Incarnation ids.Incarnation
}

// Snapshot returns the serialized form of the table.
func (t *Table) Snapshot() Snapshot {
	snapshot := Snapshot{Open: t.OpenSessions(), Ended: t.Ended()}
	for vm, inc := range t.newest {
		snapshot.Newest = append(snapshot.Newest, NewestIncarnation{VM: vm, Incarnation: inc})
	}
	slices.SortFunc(snapshot.Newest, func(a, b NewestIncarnation) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return snapshot
}

// Restore returns the table that a snapshot describes.
func Restore(snapshot Snapshot) (*Table, error) {
	t := NewTable()
	for _, n := range snapshot.Newest {
		t.newest[n.VM] = n.Incarnation
	}
	for i := range snapshot.Open {
		s := snapshot.Open[i]
		if s.Session.Incarnation != t.newest[s.Session.VM] || s.End != Open {
			return nil, fmt.Errorf("session: restore: open session %s is not the newest of its VM; fetch another snapshot", s.Session)
		}
		t.open[s.Session.VM] = &s
	}
	t.ended = slices.Clone(snapshot.Ended)
	return t, nil
}
