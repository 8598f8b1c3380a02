package fence

import (
	"fmt"
	"math"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
)

// TableFile is the stored form of a Table. Holdings are sorted by upstream.
type TableFile struct {
	Holdings []Holding `cbor:"1,keyasint,omitempty"`
	Last     uint64    `cbor:"2,keyasint"`
}

// File returns the stored form of the table.
func (t *Table) File() TableFile {
	return TableFile{Holdings: t.Holdings(), Last: t.lastToken}
}

// TableFromFile restores a table. It returns an error if a holding has a token
// above the last one granted.
func TableFromFile(f TableFile) (*Table, error) {
	t := NewTable()
	t.lastToken = f.Last
	for i := range f.Holdings {
		h := f.Holdings[i]
		if h.Token > f.Last {
			return nil, fmt.Errorf("fence: restore: token %d of upstream %q was never granted; fetch another snapshot", h.Token, h.Upstream)
		}
		t.upstreams[h.Upstream] = &h
	}
	return t, nil
}

// BudgetFile is the stored form of a Budget.
type BudgetFile struct {
	Level   uint64  `cbor:"1,keyasint"`
	Filled  int64   `cbor:"2,keyasint"`
	Started bool    `cbor:"3,keyasint,omitempty"`
	Draws   []Draws `cbor:"4,keyasint,omitempty"`
}

// File returns the stored form of the budget.
func (b *Budget) File() BudgetFile {
	return BudgetFile{Level: b.tokens, Filled: b.refilledAtMS, Started: b.started, Draws: b.sortedDraws()}
}

// BudgetFromFile restores a budget. It returns an error if the refill time is out
// of range.
func BudgetFromFile(f BudgetFile) (*Budget, error) {
	if f.Filled < 0 || f.Filled > math.MaxInt64/2 {
		return nil, fmt.Errorf("fence: restore: refill time %d of the weight budget is out of range; fetch another snapshot", f.Filled)
	}
	b := &Budget{tokens: f.Level, refilledAtMS: f.Filled, started: f.Started, draws: map[ids.SessionID][]Draw{}}
	for _, d := range f.Draws {
		b.draws[d.Session] = slices.Clone(d.Draws)
	}
	return b, nil
}
