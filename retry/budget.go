package retry

import (
	"sync"
	"time"
)

// slotCount is the number of parts into which the window is divided. Counts
// leave the window one part at a time.
const slotCount = 10

// Spender pays for extra attempts.
type Spender interface {
	// Request counts a first attempt.
	Request(now time.Time)
	// Spend pays for one extra attempt, false if the budget does not allow it.
	Spend(now time.Time) bool
}

// Budget allows extra attempts up to a part of the recent requests plus a
// floor. With each extra attempt, the extra attempts of the window that ends
// then are within the bound given by that window's requests. Counts leave the
// window in parts: the attempts are kept one part longer, so that the
// granularity never loosens the bound.
type Budget struct {
	opts     BudgetOptions
	requests [slotCount]int
	extras   [slotCount + 1]int
	slot     int64
	denied   uint64
	spent    uint64
}

// NewBudget gives an empty budget.
func NewBudget(opts BudgetOptions) *Budget { return &Budget{opts: opts} }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.roll(now)
	b.requests[b.slot%slotCount]++
}

// Spend pays for one extra attempt.
func (b *Budget) Spend(now time.Time) bool {
	b.roll(now)
	if float64(sum(b.extras[:])+1) > b.allowed() {
		b.denied++
		return false
	}
	b.extras[b.slot%(slotCount+1)]++
	b.spent++
	return true
}

// Spent gives the extra attempts paid for, and Denied those refused.
func (b *Budget) Spent() uint64  { return b.spent }
func (b *Budget) Denied() uint64 { return b.denied }

func (b *Budget) allowed() float64 {
	return b.opts.Part*float64(sum(b.requests[:])) + float64(b.opts.Floor)
}

// roll clears the parts that have left the window. Time that goes back counts
// into the present part.
func (b *Budget) roll(now time.Time) {
	slot := now.UnixNano() / (int64(b.opts.Window) / slotCount)
	if slot <= b.slot {
		return
	}
	for s := max(b.slot+1, slot-slotCount); s <= slot; s++ {
		b.requests[s%slotCount] = 0
		b.extras[s%(slotCount+1)] = 0
	}
	b.slot = slot
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// SharedBudget is a Budget that is safe for concurrent use.
type SharedBudget struct {
	mu   sync.Mutex
	core *Budget
}

// NewSharedBudget gives an empty shared budget.
func NewSharedBudget(opts BudgetOptions) *SharedBudget {
	return &SharedBudget{core: NewBudget(opts)}
}

// Request is Budget.Request.
func (s *SharedBudget) Request(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Request(now)
}

// Spend is Budget.Spend.
func (s *SharedBudget) Spend(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Spend(now)
}

// Spent gives the extra attempts paid for and denied.
func (s *SharedBudget) Spent() (spent, denied uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.spent, s.core.denied
}
