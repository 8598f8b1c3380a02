package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/internal/virtualtime"
)

// Parameters of the prefix simulation: engines cache the prompt prefixes of a few
// templates, and a request whose prefix is cached takes a quarter of the time.
// Cache events arrive late, and a fraction of them is lost.
const (
	prefixEngines        = 10
	prefixVMs            = 4
	prefixTemplates      = 60
	prefixCacheTemplates = 12
	prefixBlocks         = 16
	prefixMissTime       = 80 * time.Millisecond
	prefixHitTime        = 20 * time.Millisecond
	prefixRequestRate    = 600.0 // per second
	prefixEventLoss      = 0.2
	prefixEventLag       = 500 * time.Millisecond
)

// modelEngine is an engine with an LRU cache of templates and a FIFO queue.
type modelEngine struct {
	// templates are the cached ones, least recently used first.
	templates []int
	seq       uint64
	running   int
	queue     []func()
}

// lookup uses the template and adds it to the cache if needed. It reports whether
// the template was cached, and returns the cache events.
func (e *modelEngine) lookup(template int, at time.Time) (bool, []CacheEvent) {
	if i := slices.Index(e.templates, template); i >= 0 {
		e.templates = append(slices.Delete(e.templates, i, i+1), template)
		return true, nil
	}
	var events []CacheEvent
	emit := func(template int, stored bool) {
		for _, p := range prefixOf(template) {
			e.seq++
			events = append(events, CacheEvent{Seq: e.seq, Stored: stored, Prefix: p, At: at})
		}
	}
	emit(template, true)
	e.templates = append(e.templates, template)
	if len(e.templates) > prefixCacheTemplates {
		emit(e.templates[0], false)
		e.templates = e.templates[1:]
	}
	return false, events
}

// prefixOf returns the prefix hashes of a template.
func prefixOf(template int) []uint64 {
	chain := make([]uint64, prefixBlocks)
	for i := range chain {
		chain[i] = uint64(template*1000 + i + 1)
	}
	return chain
}

// simulatePrefix returns the fraction of requests whose prefix was cached, and the
// sorted latencies.
func simulatePrefix(saveMS float64, seed uint64) (hits float64, latencies []time.Duration) {
	c := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 5))
	zipf := rand.NewZipf(rng, 1.1, 5, prefixTemplates-1)
	view := newTracker(prefixEngines).View()
	index := map[string]int{}
	for i := range prefixEngines {
		index[address(i)] = i
	}
	engines := make([]modelEngine, prefixEngines)
	vms := make([]*Router, prefixVMs)
	for i := range vms {
		o := DefaultOptions("lagos")
		o.PrefixSavedMSPerBlock = saveMS
		vms[i] = NewRouter(o, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	hit := 0
	var arrive func()
	arrive = func() {
		at := c.Now()
		vm := vms[rng.IntN(prefixVMs)]
		template := int(zipf.Uint64())
		choice, err := vm.Choose(view, Request{Pool: "p", Prefix: prefixOf(template)}, start.Add(at))
		if err != nil {
			panic(err)
		}
		n := index[choice.Upstream.Address]
		e := &engines[n]
		begin := func() {
			e.running++
			cached, events := e.lookup(template, start.Add(c.Now()))
			d := prefixMissTime
			if cached {
				hit++
				d = prefixHitTime
			}
			for _, r := range vms {
				if rng.Float64() >= prefixEventLoss {
					c.After(prefixEventLag, func() { r.ObserveCache(address(n), events) })
				}
			}
			c.After(d, func() {
				e.running--
				latencies = append(latencies, c.Now()-at)
				vm.Done(choice.Ticket, Outcome{Latency: c.Now() - at}, start.Add(c.Now()))
				if len(e.queue) > 0 {
					next := e.queue[0]
					e.queue = e.queue[1:]
					next()
				}
			})
		}
		if e.running < modelSlots {
			begin()
		} else {
			e.queue = append(e.queue, begin)
		}
		if gap := virtualtime.ArrivalInterval(rng, prefixRequestRate); at+gap < modelDuration {
			c.After(gap, arrive)
		}
	}
	c.After(0, arrive)
	c.Run()
	slices.Sort(latencies)
	return float64(hit) / float64(len(latencies)), latencies
}

// TestPrefixExperiment guards against prefix affinity that does not raise the
// cache hit rate by at least 0.2, or that raises the 99th percentile of latency.
func TestPrefixExperiment(t *testing.T) {
	type result struct{ hits, p50, p99 float64 }
	run := func(saveMS float64) (res result) {
		for seed := range *experimentSeeds {
			hits, l := simulatePrefix(saveMS, uint64(seed+1))
			n := float64(*experimentSeeds)
			res.hits += hits / n
			res.p50 += virtualtime.Percentile(l, 50).Seconds() * 1000 / n
			res.p99 += virtualtime.Percentile(l, 99).Seconds() * 1000 / n
		}
		t.Logf("%2.0f ms saved per block: cache hit rate %.3f p50 %3.0f ms p99 %3.0f ms", saveMS, res.hits, res.p50, res.p99)
		return res
	}
	without := run(0)
	for _, ms := range []float64{1, 2, 8} {
		run(ms)
	}
	with := run(DefaultPrefixSavedMSPerBlock)
	if with.hits < without.hits+0.2 || with.p99 > without.p99 {
		t.Errorf("prefix affinity gives %+v, without affinity %+v", with, without)
	}
}
