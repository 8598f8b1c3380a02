package routing

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/membership"
)

// BenchmarkChoose measures Choose with Done, for a whole pool and for a subset of
// 64 upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 12000} {
		view := newTracker(n).View()
		sources := map[string]Source{"whole": view}
		if n > 64 {
			sources["subset"] = NewSubsetView(view, 5, 64)
		}
		for name, source := range sources {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				r := newTestRouter(1)
				now := start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Millisecond)
					c, err := r.Choose(source, Request{Pool: "p"}, now)
					if err != nil {
						b.Fatal(err)
					}
					r.Done(c.Ticket, Outcome{Latency: 20 * time.Millisecond}, now)
				}
			})
		}
	}
}

// BenchmarkObserveLoad measures the processing of one load report.
func BenchmarkObserveLoad(b *testing.B) {
	r := newTestRouter(1)
	view := newTracker(20).View()
	if _, err := r.Choose(view, Request{Pool: "p"}, start); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.ObserveLoad(address(i%20), Load{Running: 2, At: now}, now)
	}
}

// BenchmarkSubset measures the computation of one VM's subset.
func BenchmarkSubset(b *testing.B) {
	all := newTracker(12000).View().Pool("p")
	b.ReportAllocs()
	for b.Loop() {
		Subset(17, 64, all)
	}
}

// heapGrowth returns the growth of the live heap by build, in bytes, and the value
// built.
func heapGrowth(build func() any) (bytes uint64, kept any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return after.HeapAlloc - before.HeapAlloc, kept
}

// BenchmarkMemory reports the heap of the membership tracker and of the router's
// statistics for 12,000 upstreams.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		tr, keptTracker := heapGrowth(func() any { t := newTracker(12000); t.View(); return t })
		view := keptTracker.(*membership.Tracker).View()
		whole, keptWhole := heapGrowth(func() any {
			r := newTestRouter(1)
			r.Explain(view, Request{Pool: "p"}, start)
			return r
		})
		part, keptPart := heapGrowth(func() any {
			r := newTestRouter(1)
			r.Explain(NewSubsetView(view, 5, 64), Request{Pool: "p"}, start)
			return r
		})
		b.ReportMetric(float64(tr), "tracker-B")
		b.ReportMetric(float64(whole), "router-12000-B")
		b.ReportMetric(float64(part), "router-subset-B")
		runtime.KeepAlive(keptTracker)
		runtime.KeepAlive(keptWhole)
		runtime.KeepAlive(keptPart)
	}
}

// TestSubsetBalance guards against an uneven spread of VMs over 12,000 upstreams,
// also after some VMs have left. No upstream may have more than two VMs above
// twice the mean, and with a mean above four none may be without a VM.
func TestSubsetBalance(t *testing.T) {
	const n, size = 12000, 64
	all := hashRing(newTracker(n).View().Pool("p"))
	for _, vms := range []int{200, 512, 850, 1000} {
		for _, gone := range []int{0, vms / 50} {
			uses := map[string]int{}
			for i := range vms {
				if gone > 0 && i%50 == 7 {
					continue
				}
				for _, u := range selectSubset(all, i, size) {
					uses[u.Address]++
				}
			}
			mean := float64((vms-gone)*size) / n
			least, most, variance := math.MaxInt, 0, 0.0
			for _, u := range all {
				k := uses[u.Address]
				least, most = min(least, k), max(most, k)
				variance += (float64(k) - mean) * (float64(k) - mean) / n
			}
			t.Logf("%4d VMs, %2d removed: VMs per upstream mean %.2f min %d max %d standard deviation %.2f", vms, gone, mean, least, most, math.Sqrt(variance))
			if float64(most) > 2*mean+2 || mean > 4 && least == 0 {
				t.Errorf("%d VMs: between %d and %d VMs per upstream, mean %.2f", vms, least, most, mean)
			}
		}
	}
}
