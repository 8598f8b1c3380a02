package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/internal/virtualtime"
)

// The prefix model: engines keep the prompt prefixes of a few templates, and a
// request whose prefix is cached takes a quarter of the time. Cache events come
// late and a part of them is lost.
const (
	prefixEngines   = 10
	prefixVMs       = 4
	prefixTemplates = 60
	prefixCached    = 12
	prefixBlocks    = 16
	prefixMiss      = 80 * time.Millisecond
	prefixHit       = 20 * time.Millisecond
	prefixRate      = 600.0 // per second
	prefixLost      = 0.2
	prefixLag       = 500 * time.Millisecond
)

// engineCache is a least recently used cache of templates.
type engineCache struct {
	templates []int
	seq       uint64
	running   int
	queue     []func()
}

// use gives whether the template was cached, and the events of the change.
func (e *engineCache) use(template int, at time.Time) (bool, []CacheEvent) {
	if i := slices.Index(e.templates, template); i >= 0 {
		e.templates = append(slices.Delete(e.templates, i, i+1), template)
		return true, nil
	}
	var events []CacheEvent
	emit := func(template int, stored bool) {
		for _, p := range chainOf(template) {
			e.seq++
			events = append(events, CacheEvent{Seq: e.seq, Stored: stored, Prefix: p, At: at})
		}
	}
	emit(template, true)
	e.templates = append(e.templates, template)
	if len(e.templates) > prefixCached {
		emit(e.templates[0], false)
		e.templates = e.templates[1:]
	}
	return false, events
}

func chainOf(template int) []uint64 {
	chain := make([]uint64, prefixBlocks)
	for i := range chain {
		chain[i] = uint64(template*1000 + i + 1)
	}
	return chain
}

// simulatePrefix gives the part of cached prompts and the latencies.
func simulatePrefix(saveMS float64, seed uint64) (hits float64, latencies []time.Duration) {
	c := &virtualtime.Clock{}
	rng := rand.New(rand.NewPCG(seed, 5))
	zipf := rand.NewZipf(rng, 1.1, 5, prefixTemplates-1)
	view := pool(prefixEngines).View()
	index := map[string]int{}
	for i := range prefixEngines {
		index[address(i)] = i
	}
	engines := make([]engineCache, prefixEngines)
	vms := make([]*Router, prefixVMs)
	for i := range vms {
		o := DefaultOptions("lagos")
		o.PrefixSaveMS = saveMS
		vms[i] = NewRouter(o, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	hit := 0
	var arrive func()
	arrive = func() {
		at := c.Now()
		vm := vms[rng.IntN(prefixVMs)]
		template := int(zipf.Uint64())
		choice, err := vm.Choose(view, Request{Pool: "p", Prefix: chainOf(template)}, start.Add(at))
		if err != nil {
			panic(err)
		}
		n := index[choice.Upstream.Address]
		e := &engines[n]
		begin := func() {
			e.running++
			cached, events := e.use(template, start.Add(c.Now()))
			d := prefixMiss
			if cached {
				hit++
				d = prefixHit
			}
			for _, r := range vms {
				if rng.Float64() >= prefixLost {
					c.After(prefixLag, func() { r.ObserveCache(address(n), events) })
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
		if gap := virtualtime.Gap(rng, prefixRate); at+gap < modelTime {
			c.After(gap, arrive)
		}
	}
	c.After(0, arrive)
	c.Run()
	slices.Sort(latencies)
	return float64(hit) / float64(len(latencies)), latencies
}

// Guards prefix affinity: it finds more cached prompts than a choice without
// it, and it does not pay for that with the slow tail.
func TestPrefixExperiment(t *testing.T) {
	type figures struct{ hits, p50, p99 float64 }
	run := func(saveMS float64) (f figures) {
		for seed := range *experimentSeeds {
			hits, l := simulatePrefix(saveMS, uint64(seed+1))
			n := float64(*experimentSeeds)
			f.hits += hits / n
			f.p50 += virtualtime.Percentile(l, 50).Seconds() * 1000 / n
			f.p99 += virtualtime.Percentile(l, 99).Seconds() * 1000 / n
		}
		t.Logf("block saves %2.0f ms: cached %.3f p50 %3.0f ms p99 %3.0f ms", saveMS, f.hits, f.p50, f.p99)
		return f
	}
	without := run(0)
	for _, ms := range []float64{1, 2, 8} {
		run(ms)
	}
	with := run(DefaultPrefixSaveMS)
	if with.hits < without.hits+0.2 || with.p99 > without.p99 {
		t.Errorf("with affinity %+v, without %+v", with, without)
	}
}
