package gateway

import (
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/retry"
)

// BudgetOptions bound the repeats of all entry VMs together.
type BudgetOptions struct {
	// Ratio is the part of a service's requests that may be repeated, Slack the
	// number of repeats beyond it in a Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare keeps room for the requests that other VMs count otherwise.
	ratioShare = 0.8
	// fewestVMs is the number of entry VMs by which the slack is shared at
	// least, because a VM may not know of all others.
	fewestVMs = 8
)

// budgets holds the budget of each service.
type budgets struct {
	opts BudgetOptions

	mu        sync.Mutex
	vms       int
	byService map[string]*retry.SharedBudget
}

func newBudgets(o BudgetOptions) *budgets {
	return &budgets{opts: o, vms: fewestVMs, byService: map[string]*retry.SharedBudget{}}
}

// share notes how many entry VMs share the slack. Budgets are made anew when
// they are more than before.
func (b *budgets) share(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms > b.vms {
		b.vms = vms
		clear(b.byService)
	}
}

func (b *budgets) of(service string) *retry.SharedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewSharedBudget(retry.BudgetOptions{
			Part:   b.opts.Ratio * ratioShare,
			Floor:  int(b.opts.Slack * ratioShare / float64(b.vms)),
			Window: b.opts.Window,
		})
		b.byService[service] = budget
	}
	return budget
}
