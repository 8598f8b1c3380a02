package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damaskbridge.example/damaskbridge/internal/timer"
)

// balancer spreads requests over the entry VMs that say that they are ready,
// as the platform's load balancer does.
type balancer struct {
	entries []*target
	client  *http.Client
	next    atomic.Uint64
}

// target is one entry VM as the balancer sees it.
type target struct {
	Entry
	ready atomic.Bool
}

func newBalancer(entries []Entry, client *http.Client) *balancer {
	b := &balancer{client: client}
	for _, e := range entries {
		b.entries = append(b.entries, &target{Entry: e})
	}
	return b
}

// run checks /readyz of every entry VM until ctx ends.
func (b *balancer) run(ctx context.Context, interval time.Duration) {
	var checks sync.WaitGroup
	for _, t := range b.entries {
		checks.Go(func() { b.watch(ctx, t, interval) })
	}
	checks.Wait()
}

func (b *balancer) watch(ctx context.Context, t *target, interval time.Duration) {
	timer.Every(ctx, interval, func() { t.ready.Store(b.check(ctx, t, interval)) })
}

// checkAll checks every entry VM once.
func (b *balancer) checkAll(ctx context.Context, limit time.Duration) {
	var checks sync.WaitGroup
	for _, t := range b.entries {
		checks.Go(func() { t.ready.Store(b.check(ctx, t, limit)) })
	}
	checks.Wait()
}

func (b *balancer) check(ctx context.Context, t *target, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, max(limit, minReadyTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// minReadyTimeout is the least time that an entry VM has to answer /readyz.
const minReadyTimeout = time.Second

// pick returns the next ready entry VM that has not been tried; where there is
// none, the next one not tried, and then any.
func (b *balancer) pick(tried map[*target]bool) *target {
	n := len(b.entries)
	first := int(b.next.Add(1) % uint64(n))
	var fallback *target
	for i := range n {
		t := b.entries[(first+i)%n]
		if tried[t] {
			continue
		}
		if t.ready.Load() {
			return t
		}
		if fallback == nil {
			fallback = t
		}
	}
	if fallback != nil {
		return fallback
	}
	return b.entries[first]
}
