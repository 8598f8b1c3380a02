package fence

import (
	"fmt"
	"math"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
)

// TableFile is the stored form of a table, sorted by upstream.
type TableFile struct {
	Holdings []Holding `cbor:"1,keyasint,omitempty"`
	Last     uint64    `cbor:"2,keyasint"`
}

// File gives the stored form.
func (t *Table) File() TableFile {
	return TableFile{Holdings: t.Holdings(), Last: t.last}
}

// TableFromFile gives the table of a stored form.
func TableFromFile(f TableFile) (*Table, error) {
	t := NewTable()
	t.last = f.Last
	for i := range f.Holdings {
		h := f.Holdings[i]
		if h.Token > f.Last {
			return nil, fmt.Errorf("fence: restore: token %d of upstream %q was never given; fetch another snapshot", h.Token, h.Upstream)
		}
		t.upstreams[h.Upstream] = &h
	}
	return t, nil
}

// BudgetFile is the stored form of a budget.
type BudgetFile struct {
	Level   uint64  `cbor:"1,keyasint"`
	Filled  int64   `cbor:"2,keyasint"`
	Started bool    `cbor:"3,keyasint,omitempty"`
	Draws   []Draws `cbor:"4,keyasint,omitempty"`
}

// File gives the stored form.
func (b *Budget) File() BudgetFile {
	return BudgetFile{Level: b.level, Filled: b.filled, Started: b.started, Draws: b.sortedDraws()}
}

// BudgetFromFile gives the budget of a stored form.
func BudgetFromFile(f BudgetFile) (*Budget, error) {
	if f.Filled < 0 || f.Filled > math.MaxInt64/2 {
		return nil, fmt.Errorf("fence: restore: time %d of the weight budget is out of range; fetch another snapshot", f.Filled)
	}
	b := &Budget{level: f.Level, filled: f.Filled, started: f.Started, draws: map[ids.SessionID][]Draw{}}
	for _, d := range f.Draws {
		b.draws[d.Session] = slices.Clone(d.Draws)
	}
	return b, nil
}
