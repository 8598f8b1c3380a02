package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of slots into which the window is divided. Counts
// expire one slot at a time.
const windowSlots = 10

// Limiter grants or denies extra attempts.
type Limiter interface {
	// RecordRequest records a first attempt.
	RecordRequest(now time.Time)
	// TrySpend records one extra attempt and returns true, or returns false if the
	// budget is exhausted.
	TrySpend(now time.Time) bool
}

// Budget limits extra attempts to a fraction of the recent requests plus a
// floor. The limit holds at each extra attempt for the window that ends at that
// time. Extra attempts are counted for one slot longer than requests, so that
// the slot granularity never raises the limit.
//
// A Budget is not safe for concurrent use; see SharedBudget.
type Budget struct {
	opts        BudgetOptions
	requests    [windowSlots]int
	extras      [windowSlots + 1]int
	currentSlot int64
	denied      uint64
	spent       uint64
}

// NewBudget returns an empty budget.
func NewBudget(opts BudgetOptions) *Budget { return &Budget{opts: opts} }

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.currentSlot%windowSlots]++
}

// TrySpend records one extra attempt and returns true, or returns false if the
// budget is exhausted.
func (b *Budget) TrySpend(now time.Time) bool {
	b.advance(now)
	if float64(sum(b.extras[:])+1) > b.allowed() {
		b.denied++
		return false
	}
	b.extras[b.currentSlot%(windowSlots+1)]++
	b.spent++
	return true
}

// Spent returns the number of extra attempts granted.
func (b *Budget) Spent() uint64 { return b.spent }

// Denied returns the number of extra attempts denied.
func (b *Budget) Denied() uint64 { return b.denied }

func (b *Budget) allowed() float64 {
	return b.opts.Fraction*float64(sum(b.requests[:])) + float64(b.opts.Floor)
}

// advance clears the slots that have left the window. If the clock goes back,
// events count towards the current slot.
func (b *Budget) advance(now time.Time) {
	slot := now.UnixNano() / (int64(b.opts.Window) / windowSlots)
	if slot <= b.currentSlot {
		return
	}
	for s := max(b.currentSlot+1, slot-windowSlots); s <= slot; s++ {
		b.requests[s%windowSlots] = 0
		b.extras[s%(windowSlots+1)] = 0
	}
	b.currentSlot = slot
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
	mu     sync.Mutex
	budget *Budget
}

// NewSharedBudget returns an empty shared budget.
func NewSharedBudget(opts BudgetOptions) *SharedBudget {
	return &SharedBudget{budget: NewBudget(opts)}
}

// RecordRequest calls Budget.RecordRequest.
func (s *SharedBudget) RecordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest(now)
}

// TrySpend calls Budget.TrySpend.
func (s *SharedBudget) TrySpend(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TrySpend(now)
}

// Spent returns the numbers of extra attempts granted and denied.
func (s *SharedBudget) Spent() (spent, denied uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.spent, s.budget.denied
}

// SetOptions replaces the options except Window, which must stay the same
// because the counts are kept in its slots. The options must pass
// BudgetOptions.Check.
func (s *SharedBudget) SetOptions(opts BudgetOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	opts.Window = s.budget.opts.Window
	s.budget.opts = opts
}
