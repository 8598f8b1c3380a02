package fence

import (
	"fmt"
	"math"
	"slices"

	"damaskbridge.example/damaskbridge/ids"
)

// TableSnapshot is the stored form of a Table. Leases are sorted by upstream.
type TableSnapshot struct {
	Leases []Lease `cbor:"1,keyasint,omitempty"`
	Last   uint64  `cbor:"2,keyasint"`
}

// Snapshot returns the stored form of the table.
func (t *Table) Snapshot() TableSnapshot {
	return TableSnapshot{Leases: t.Leases(), Last: t.lastToken}
}

// RestoreTable restores a table. It returns an error if a lease has a token
// above the last one granted.
func RestoreTable(s TableSnapshot) (*Table, error) {
	t := NewTable()
	t.lastToken = s.Last
	for i := range s.Leases {
		l := s.Leases[i]
		if l.Token > s.Last {
			return nil, fmt.Errorf("fence: restore: token %d of upstream %q was never granted; fetch another snapshot", l.Token, l.Upstream)
		}
		t.upstreams[l.Upstream] = &l
	}
	return t, nil
}

// BudgetSnapshot is the stored form of a Budget.
type BudgetSnapshot struct {
	Level   uint64         `cbor:"1,keyasint"`
	Filled  int64          `cbor:"2,keyasint"`
	Started bool           `cbor:"3,keyasint,omitempty"`
	Draws   []SessionDraws `cbor:"4,keyasint,omitempty"`
}

// Snapshot returns the stored form of the budget.
func (b *Budget) Snapshot() BudgetSnapshot {
	return BudgetSnapshot{Level: b.tokens, Filled: b.refilledAtMS, Started: b.started, Draws: b.sortedDraws()}
}

// RestoreBudget restores a budget. It returns an error if the refill time is out
// of range.
func RestoreBudget(s BudgetSnapshot) (*Budget, error) {
	if s.Filled < 0 || s.Filled > math.MaxInt64/2 {
		return nil, fmt.Errorf("fence: restore: refill time %d of the weight budget is out of range; fetch another snapshot", s.Filled)
	}
	b := &Budget{tokens: s.Level, refilledAtMS: s.Filled, started: s.Started, draws: map[ids.SessionID][]Draw{}}
	for _, d := range s.Draws {
		b.draws[d.Session] = slices.Clone(d.Draws)
	}
	return b, nil
}
