package session

import (
	"fmt"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
)

// File is the serialized form of a table. Its lists are sorted, so that equal
// tables give equal files.
type File struct {
	Open   []Info   `cbor:"1,keyasint,omitempty"`
	Newest []Newest `cbor:"2,keyasint,omitempty"`
	Ended  []Info   `cbor:"3,keyasint,omitempty"`
}

// Newest is the newest incarnation ever opened for one VM.
type Newest struct {
	_           struct{} `cbor:",toarray"`
	VM          ids.VMID
	Incarnation ids.Incarnation
}

// File returns the serialized form of the table.
func (t *Table) File() File {
	f := File{Open: t.OpenSessions(), Ended: t.Ended()}
	for vm, inc := range t.newest {
		f.Newest = append(f.Newest, Newest{VM: vm, Incarnation: inc})
	}
	slices.SortFunc(f.Newest, func(a, b Newest) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return f
}

// FromFile restores a table from its serialized form.

func FromFile(f File) (*Table, error) {
	t := NewTable()
	for _, n := range f.Newest {
		t.newest[n.VM] = n.Incarnation
	}
	for i := range f.Open {
		s := f.Open[i]
		if s.Session.Incarnation != t.newest[s.Session.VM] || s.End != Open {
			return nil, fmt.Errorf("session: restore: open session %s is not the newest of its VM; fetch another snapshot", s.Session)
		}
		t.open[s.Session.VM] = &s
	}
	t.ended = slices.Clone(f.Ended)
	return t, nil
}
