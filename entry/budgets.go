package entry

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/settings"
)

// minAttemptTime is the remaining time below which no further attempt begins.
const minAttemptTime = 5 * time.Millisecond

// budgets keeps one retry budget for each pool. It is safe for concurrent use.
type budgets struct {
	mu    sync.Mutex
	opts  retry.BudgetOptions
	pools map[string]*retry.SharedBudget
}

func newBudgets() *budgets {
	return &budgets{opts: retry.DefaultBudgetOptions(), pools: make(map[string]*retry.SharedBudget)}
}

func (b *budgets) of(pool string) *retry.SharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared, ok := b.pools[pool]
	if !ok {
		shared = retry.NewSharedBudget(b.opts)
		b.pools[pool] = shared
	}
	return shared
}

// tune puts options into effect for all pools.
func (b *budgets) tune(o retry.BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts = o
	for _, shared := range b.pools {
		shared.Tune(o)
	}
}

// retryPolicy is the policy for a stage that may be repeated. The stage is given
// up when the later ones could not end in the time left.
func (s *Server) retryPolicy(q *request, st settings.Stage, grant budget.Grant) retry.Policy {
	branch := settings.ChildBranch(q.branch, st.Name)
	p := retry.Policy{
		Idempotent:   true,
		MaxAttempts:  int(q.tree.Int(branch, settings.RetryMaxAttempts)),
		Deadline:     q.deadline,
		MinRemaining: minAttemptTime,
	}
	if grant.CancelAfter > 0 {
		p.Deadline = earlier(p.Deadline, time.Now().Add(grant.CancelAfter))
	}
	if s.mayHedge(q, st, branch) {
		p.HedgeAfter = hedgeAfter(grant, time.Until(q.deadline))
	}
	return p
}

// hedgeAfter is when a second attempt is due. Before the stage's latencies are
// known it is a part of the time left, so that a silent connection at a VM that
// has just started doesn't cost the whole deadline.
func hedgeAfter(grant budget.Grant, left time.Duration) time.Duration {
	const (
		part    = 4
		longest = time.Second
	)
	if grant.HedgeAfter > 0 {
		return grant.HedgeAfter
	}
	return min(left/part, longest)
}

// mayHedge allows hedges only in a pool with spare capacity. In a saturated
// pool a slow attempt is slow because of the load, and a hedge adds to it.
func (s *Server) mayHedge(q *request, st settings.Stage, branch string) bool {
	if s.opts.Policy.NoHedge || !q.tree.Bool(branch, settings.HedgeEnabled) {
		return false
	}
	return s.gates.Wait(st.Pool, s.admissionRequest(q, 0), time.Now()) == 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// countRetries adds a call's counts to the metrics.
func (s *Server) countRetries(c retry.Counts) {
	for reason, n := range c.Attempts {
		for range n {
			s.counters.retried(string(reason))
		}
	}
}
