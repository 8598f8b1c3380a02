package gateway

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/retry"
)

// RetryBudgetOptions limits the repeats by all entry VMs together.
type RetryBudgetOptions struct {
	// Ratio is the share of a service's requests that may be repeated. Slack is
	// the number of additional repeats per Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// budgetSafetyFactor leaves a margin for requests that other VMs count
	// differently.
	budgetSafetyFactor = 0.8
	// minVMs is the minimum number of entry VMs among which the slack is divided,
	// because a VM may not know all of the others.
	minVMs = 8
)

// retryBudgets holds the retry budget of each service.
type retryBudgets struct {
	opts RetryBudgetOptions

	mu        sync.Mutex
	vms       int
	byService map[string]*retry.SharedBudget
}

func newRetryBudgets(o RetryBudgetOptions) *retryBudgets {
	return &retryBudgets{opts: o, vms: minVMs, byService: map[string]*retry.SharedBudget{}}
}

// setVMs sets the number of entry VMs that share the slack. The budgets are
// recreated if the number grows.
func (b *retryBudgets) setVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms > b.vms {
		b.vms = vms
		clear(b.byService)
	}
}

func (b *retryBudgets) forService(service string) *retry.SharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewSharedBudget(retry.BudgetOptions{
			Fraction: b.opts.Ratio * budgetSafetyFactor,
			Floor:    int(b.opts.Slack * budgetSafetyFactor / float64(b.vms)),
			Window:   b.opts.Window,
		})
		b.byService[service] = budget
	}
	return budget
}
