package warmup

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "4303", "rapid.checks": "1500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestWarmup(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "warmup")
}

const process = "p"

// listed is a list of grants on its way to a VM.
type listed struct {
	confirmedAt time.Time
	grants      []Grant
	arrivesAt   time.Time
}

// holderVM is an entry VM that sends whenever it may.
type holderVM struct {
	name        string
	limiter     *Limiter
	grants      *Grants
	on          []listed
	frozenUntil time.Time
	// No list reaches it between these times.
	cutSince, cutUntil time.Time
}

// receive takes the lists that have arrived and are newer. Ages only make a list look
// older.
func (v *holderVM) receive(now time.Time, drift time.Duration) {
	for len(v.on) > 0 && !v.on[0].arrivesAt.After(now) {
		l := v.on[0]
		v.on = v.on[1:]
		if next := NewGrants(l.confirmedAt.Add(-drift), l.grants, v.name); v.grants == nil || next.confirmedAt.After(v.grants.confirmedAt) {
			v.grants = next
		}
	}
}

func shuffled(r *rand.Rand, names []string) []string {
	list := slices.Clone(names)
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Guards against a cold runner that gets more than it bears, summed over VMs whose
// lists lag and differ, that freeze or are cut off with a grant in hand, that
// restart, and whose leader is deposed without noticing.
func TestBoundHoldsOverAllVMs(t *testing.T) {
	mostSeen := 0
	rapid.Check(t, func(t *rapid.T) {
		// Drawn numbers are mostly small; these are to be spread evenly.
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limit := Limit{PerSecond: float64(r.IntN(21)), Excess: []float64{1, 1.5, 2}[r.IntN(3)], Slack: float64(r.IntN(9))}
		start := time.Unix(1_000_000, 0)
		names := []string{"a", "b", "c", "d", "e"}
		vms := map[string]*holderVM{}
		for _, name := range names {
			vms[name] = &holderVM{name: name, limiter: NewLimiter()}
		}
		// Each leader holds one roster and changes it at times.
		leaders := []*Allocator{NewAllocator(start)}
		rosters := [][]string{names}
		var deposedAt time.Time
		var sent []time.Time
		var restartedAt time.Time
		const step = 50 * time.Millisecond
		for now := start; now.Sub(start) < 30*time.Second; now = now.Add(step) {
			if r.IntN(200) == 0 {
				deposedAt = now
				leaders, rosters = append(leaders, NewAllocator(now)), append(rosters, names)
			}
			for i, leader := range leaders {
				isNewest := i == len(leaders)-1
				if !isNewest && i < len(leaders)-2 {
					continue
				}
				if r.IntN(200) == 0 {
					rosters[i] = shuffled(r, names)[r.IntN(len(names)+1):]
				}
				confirmedAt := now
				if !isNewest {
					// A majority no longer confirms it.
					confirmedAt = deposedAt
				}
				if r.IntN(5) == 0 {
					continue
				}
				// A VM that is cut off is missed soon.
				roster := slices.DeleteFunc(slices.Clone(rosters[i]), func(name string) bool {
					return now.Before(vms[name].cutUntil) && now.Sub(vms[name].cutSince) > 500*time.Millisecond
				})
				isPresent := func(vm string) bool { return slices.Contains(roster, vm) }
				choose := func(string) string {
					if len(roster) == 0 {
						return ""
					}
					return roster[0]
				}
				grants := leader.Assign(confirmedAt, []string{process}, choose, isPresent)
				for _, name := range names {
					lag := time.Duration(r.IntN(r.IntN(3000)+1)) * time.Millisecond
					arrivesAt := now.Add(lag)
					if n := len(vms[name].on); n > 0 && vms[name].on[n-1].arrivesAt.After(arrivesAt) {
						continue
					}
					vms[name].on = append(vms[name].on, listed{confirmedAt, grants, arrivesAt})
				}
			}
			for _, name := range names {
				v := vms[name]
				switch r.IntN(200) {
				case 0:
					v.frozenUntil = now.Add(time.Duration(r.IntN(8000)) * time.Millisecond)
				case 2:
					v.cutSince, v.cutUntil = now, now.Add(time.Duration(r.IntN(8000))*time.Millisecond)
				case 1:
					if now.Sub(restartedAt) > 2*time.Second {
						restartedAt = now
						v.limiter, v.grants = NewLimiter(), nil
					}
				}
				if now.Before(v.frozenUntil) {
					continue
				}
				// It sends first: what it knew before the freeze must not count.
				for v.grants.Holds(now, process) && v.limiter.May(now, process, limit) {
					v.limiter.Take(process)
					sent = append(sent, now)
				}
				if now.Before(v.cutUntil) {
					v.on = nil
				}
				v.receive(now, time.Duration(r.IntN(50))*time.Millisecond)
			}
		}
		first := 0
		for last := range sent {
			for sent[last].Sub(sent[first]) >= time.Second {
				first++
			}
			if n := last - first + 1; float64(n) > limit.Max() {
				t.Fatalf("%d requests within a second, the limit is %.1f (%+v)", n, limit.Max(), limit)
			}
		}
		mostSeen = max(mostSeen, len(sent))
	})
	if mostSeen == 0 {
		t.Error("no VM has sent anything: the test no longer covers the limit")
	}
}

var _ = ginkgo.Describe("a holder of a grant", func() {
	now := time.Now()
	limit := Limit{PerSecond: 8, Excess: 1.5, Slack: 5}

	ginkgo.It("sends at the steady rate, and a few at once", func() {
		m := NewLimiter()
		count := func(at time.Time) (n int) {
			for m.May(at, process, limit) {
				m.Take(process)
				n++
			}
			return n
		}
		Expect(count(now)).To(Equal(4))
		Expect(count(now.Add(500 * time.Millisecond))).To(Equal(4))
		Expect(count(now.Add(600 * time.Millisecond))).To(Equal(0))
	})

	ginkgo.It("sends nothing where the bound leaves no room for two holders", func() {
		Expect(NewLimiter().May(now, process, Limit{PerSecond: 1, Excess: 1, Slack: 0.5})).To(BeFalse())
	})

	// Guards against a suspended VM: its steady clock has stood still.
	ginkgo.It("holds none once the time of day says that the term is over", func() {
		g := NewGrants(now, []Grant{{Process: process, VM: "a"}}, "a")
		Expect(g.Holds(now.Add(time.Second), process)).To(BeTrue())
		Expect(g.Holds(now.Add(time.Second), "other")).To(BeFalse())
		g.confirmedOfDay = g.confirmedOfDay.Add(-Term)
		Expect(g.Holds(now.Add(time.Second), process)).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a runner that could not be reached", func() {
	now := time.Now()
	warmUp := 3 * time.Second

	ginkgo.It("is tried once in an interval until it has answered for its warm-up time", func() {
		var r Recovery
		Expect(r.IsPending(now, warmUp)).To(BeFalse())
		r.RecordFailure(now)
		Expect(r.IsPending(now, warmUp)).To(BeTrue())
		Expect(r.May(now, true)).To(BeFalse())
		Expect(r.May(now.Add(proberInterval), true)).To(BeTrue())
		Expect(r.May(now.Add(proberInterval), false)).To(BeFalse())
		Expect(r.May(now.Add(otherInterval), false)).To(BeTrue())
		r.Take(now.Add(proberInterval))
		Expect(r.May(now.Add(proberInterval), true)).To(BeFalse())
		recovered := now.Add(2 * time.Second)
		r.RecordSuccess(recovered)
		r.RecordSuccess(recovered.Add(time.Second))
		Expect(r.IsPending(recovered.Add(warmUp-1), warmUp)).To(BeTrue())
		Expect(r.IsPending(recovered.Add(warmUp), warmUp)).To(BeFalse())
	})

	// Guards against a runner that counts as sound because it answered before.
	ginkgo.It("counts as cold again after another failure", func() {
		var r Recovery
		r.RecordFailure(now)
		r.RecordSuccess(now.Add(time.Second))
		r.RecordFailure(now.Add(2 * time.Second))
		Expect(r.IsPending(now.Add(time.Hour), warmUp)).To(BeTrue())
	})
})
