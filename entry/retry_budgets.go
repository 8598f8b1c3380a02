package entry

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/budget"
	"damaskbridge.example/damaskbridge/retry"
	"damaskbridge.example/damaskbridge/settings"
)

// minAttemptTime is the remaining time below which no further attempt starts.
const minAttemptTime = 5 * time.Millisecond

// retryBudgets keeps one retry budget per pool. It is safe for concurrent use.
type retryBudgets struct {
	mu    sync.Mutex
	opts  retry.BudgetOptions
	pools map[string]*retry.SharedBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{opts: retry.DefaultBudgetOptions(), pools: make(map[string]*retry.SharedBudget)}
}

// forPool returns the pool's budget and creates it if needed.
func (b *retryBudgets) forPool(pool string) *retry.SharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	poolBudget, ok := b.pools[pool]
	if !ok {
		poolBudget = retry.NewSharedBudget(b.opts)
		b.pools[pool] = poolBudget
	}
	return poolBudget
}

// setOptions applies options to all pools.
func (b *retryBudgets) setOptions(o retry.BudgetOptions) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts = o
	for _, poolBudget := range b.pools {
		poolBudget.SetOptions(o)
	}
}

// retryPolicy returns the retry policy of a repeatable stage. The stage ends when
// the later stages could not finish in the time left.
func (s *Server) retryPolicy(req *request, stage settings.Stage, grant budget.Grant) retry.Policy {
	branch := settings.ChildBranch(req.branch, stage.Name)
	p := retry.Policy{
		Idempotent:   true,
		MaxAttempts:  int(req.tree.Int(branch, settings.RetryMaxAttempts)),
		Deadline:     req.deadline,
		MinRemaining: minAttemptTime,
	}
	if stage.Kind == settings.KindGenerate {
		p.MaxOverlap = retry.DefaultMaxOverlap
	}
	if grant.CancelAfter > 0 {
		p.Deadline = earlier(p.Deadline, time.Now().Add(grant.CancelAfter))
	}
	if s.hedgeAllowed(req, stage, branch) {
		p.HedgeAfter = hedgeDelay(grant, time.Until(req.deadline))
	}
	return p
}

// hedgeDelay returns the delay before a hedge. Until the stage's latencies are
// known it is a fraction of the time left, so that a silent connection at a VM
// that has just started doesn't cost the whole deadline.
func hedgeDelay(grant budget.Grant, left time.Duration) time.Duration {
	const (
		fraction = 4
		maxDelay = time.Second
	)
	if grant.HedgeAfter > 0 {
		return grant.HedgeAfter
	}
	return min(left/fraction, maxDelay)
}

// hedgeAllowed reports whether a stage may be hedged, which takes a pool with
// spare capacity. In a saturated pool an attempt is slow because of the load, and
// a hedge adds to it.
func (s *Server) hedgeAllowed(req *request, stage settings.Stage, branch string) bool {
	if s.opts.Policy.NoHedge || !req.tree.Bool(branch, settings.HedgeEnabled) {
		return false
	}
	return s.gates.EstimateWait(stage.Pool, s.admissionRequest(req, 0), time.Now()) == 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// standbyDenied is the metric label of standby attempts that the budget denied.
const standbyDenied = "standby_denied"

// countRetries adds a call's retries to the metrics.
func (s *Server) countRetries(c retry.Counts) {
	for reason, n := range c.Attempts {
		for range n {
			s.counters.countRetry(string(reason))
		}
	}
	for range c.StandbyDenied {
		s.counters.countRetry(standbyDenied)
	}
}
