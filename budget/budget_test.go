package budget

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a plan that grants more than the remaining time, hedges after
// the cancellation, or becomes less likely to succeed with more time.
func TestPlanStaysWithinDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker(DefaultOptions())
		var stages []Key
		for i := range rapid.IntRange(1, 6).Draw(t, "stages") {
			k := Key{Stage: string(rune('a' + i))}
			stages = append(stages, k)
			for range rapid.IntRange(0, 40).Draw(t, "samples") {
				tr.Observe(k, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond, start)
			}
		}
		remaining := time.Duration(rapid.IntRange(-10, 8000).Draw(t, "remaining")) * time.Millisecond
		p := tr.Plan(stages, remaining, start)
		var sum time.Duration
		for _, g := range p.Grants {
			sum += g.Time
			if g.CancelAfter > max(0, remaining) || g.HedgeAfter > g.CancelAfter {
				t.Fatalf("hedge after %v, cancel after %v with %v left", g.HedgeAfter, g.CancelAfter, remaining)
			}
		}
		if sum > max(0, remaining)+time.Microsecond {
			t.Fatalf("granted %v of %v", sum, remaining)
		}
		if remaining <= 0 && p.Feasible {
			t.Fatal("feasible without time")
		}
		more := tr.Plan(stages, remaining+time.Second, start)
		// A longer remaining time has coarser steps, which change the sum by up to
		// one step per stage.
		if more.Probability < p.Probability-0.15 {
			t.Fatalf("probability fell from %v to %v with more time", p.Probability, more.Probability)
		}
	})
}

// Guards against a quantile error of more than one bucket.
func TestQuantileError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.IntRange(1, 200_000), 1, 200).Draw(t, "ms")
		var h Histogram
		for _, ms := range samples {
			h.Observe(time.Duration(ms)*time.Millisecond, time.Minute, start)
		}
		slices.Sort(samples)
		q := rapid.Float64Range(0.01, 0.99).Draw(t, "q")
		rank := min(len(samples)-1, int(q*float64(len(samples))))
		exactLow := float64(samples[max(0, rank-1)]) / 1.2
		exactHigh := float64(samples[rank]) * 1.2
		got := float64(h.Quantile(q)) / float64(time.Millisecond)
		if got < exactLow || got > exactHigh {
			t.Fatalf("quantile %v is %v ms, want between %v and %v", q, got, exactLow, exactHigh)
		}
		if b := h.FractionBelow(h.Quantile(q)); b < q-0.01 || b > q+0.01 {
			t.Fatalf("FractionBelow(Quantile(%v)) = %v", q, b)
		}
	})
}

var _ = Describe("Tracker", func() {
	stages := []Key{{Stage: "encode"}, {Stage: "generate", Class: SizeClass(128)}}
	var tr *Tracker
	BeforeEach(func() {
		tr = NewTracker(DefaultOptions())
		for i := range 100 {
			tr.Observe(stages[0], time.Duration(10+i%10)*time.Millisecond, start)
			tr.Observe(stages[1], time.Duration(200+i)*time.Millisecond, start)
		}
	})

	It("reports a request as infeasible only if it cannot meet its deadline", func() {
		Expect(tr.Plan(stages, 100*time.Millisecond, start).Feasible).To(BeFalse())
		p := tr.Plan(stages, 2*time.Second, start)
		Expect(p.Feasible).To(BeTrue())
		Expect(p.Probability).To(BeNumerically(">", 0.99))
		Expect(p.Need).To(BeNumerically("~", 265*time.Millisecond, 30*time.Millisecond))
		Expect(p.Grants[1].Time).To(BeNumerically(">", 5*p.Grants[0].Time))
		Expect(p.Grants[0].CancelAfter).To(BeNumerically("<", 1800*time.Millisecond), "time is reserved for the later stage")
		Expect(p.Grants[0].HedgeAfter).To(BeNumerically("~", 19*time.Millisecond, 3*time.Millisecond))
	})

	It("ignores distributions with too few or outdated samples", func() {
		Expect(tr.Plan([]Key{{Stage: "new"}}, time.Millisecond, start).Feasible).To(BeTrue())
		later := start.Add(10 * DefaultHalfLife)
		tr.Observe(stages[0], time.Second, later)
		_, ok := tr.Quantile(stages[0], 0.5)
		Expect(ok).To(BeFalse())
	})

	It("limits the number of distributions", func() {
		o := DefaultOptions()
		o.MaxKeys = 3
		tr = NewTracker(o)
		for i := range 10 {
			tr.Observe(Key{Stage: "s", Class: uint8(i)}, time.Second, start.Add(time.Duration(i)*time.Second))
		}
		Expect(tr.histograms).To(HaveLen(3))
		Expect(tr.histograms).To(HaveKey(Key{Stage: "s", Class: 9}))
	})
})

func BenchmarkPlan(b *testing.B) {
	tr := NewTracker(DefaultOptions())
	stages := []Key{{Stage: "a"}, {Stage: "b"}, {Stage: "c"}, {Stage: "d"}}
	for i := range 1000 {
		tr.Observe(stages[i%4], time.Duration(20+i%300)*time.Millisecond, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		tr.Plan(stages, time.Second, start)
	}
}

func BenchmarkObserve(b *testing.B) {
	tr := NewTracker(DefaultOptions())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tr.Observe(Key{Stage: "a"}, time.Duration(i%1000)*time.Millisecond, start)
	}
}

// Guards against a one-pass distribution that differs from
// Histogram.FractionBelow, which defines it.
func TestDiscretize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Histogram
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 300_000), 1, 50).Draw(t, "ms") {
			h.Observe(time.Duration(ms)*time.Millisecond, time.Minute, start)
		}
		d := time.Duration(rapid.IntRange(1, 400_000).Draw(t, "d")) * time.Millisecond
		var part [probabilitySteps]float64
		discretize(&h, d, &part)
		sum := 0.0
		for i, p := range part {
			sum += p
			want := h.FractionBelow(d * time.Duration(i+1) / probabilitySteps)
			if sum < want-1e-6 || sum > want+1e-6 {
				t.Fatalf("part %d: %v, want %v", i, sum, want)
			}
		}
	})
}
