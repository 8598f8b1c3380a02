package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var now = time.Unix(1_700_000_000, 0)

func prompt(shared string) *Prompt {
	return &Prompt{Parts: []Part{{"base", 2000}, {shared, 3000}, {"own", 1000}}, Tokens: 6000}
}

func engines(zones ...string) []*RunnerState {
	registry := NewRegistry()
	var list []*RunnerState
	for i, z := range zones {
		list = append(list, registry.GetOrCreate(fmt.Sprint("e", i), fmt.Sprint("10.0.0.", i, ":80"), z))
	}
	return list
}

var topology = &Topology{Zone: "z1", Regions: map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}}

var _ = ginkgo.Describe("PickEngine", func() {
	ginkgo.It("chooses the same runner for the same shared parts on every VM of a zone", func() {
		first := PickEngine(now, engines("z1", "z1", "z1", "z1"), prompt("s"), topology)
		second := PickEngine(now, engines("z1", "z1", "z1", "z1"), prompt("s"), topology)
		Expect(first.ID).To(Equal(second.ID))
		chosen := map[string]bool{}
		for i := range 40 {
			chosen[PickEngine(now, engines("z1", "z1", "z1", "z1"), prompt(fmt.Sprint(i)), topology).ID] = true
		}
		Expect(chosen).To(HaveLen(4))
	})

	ginkgo.It("keeps the preferred runner while processing the shared parts elsewhere would take longer", func() {
		list := engines("z1", "z1")
		preferred := PickEngine(now, list, prompt("s"), topology)
		preferred.PendingPromptTokens = 8000
		Expect(PickEngine(now, list, prompt("s"), topology)).To(Equal(preferred))
	})

	ginkgo.It("leaves the preferred runner when it has too much work ahead", func() {
		list := engines("z1", "z1")
		preferred := PickEngine(now, list, prompt("s"), topology)
		preferred.PendingPromptTokens = 40_000
		Expect(PickEngine(now, list, prompt("s"), topology)).NotTo(Equal(preferred))
	})

	ginkgo.It("stays in the VM's zone until its runners are overloaded", func() {
		list := engines("z3", "z2", "z1")
		Expect(PickEngine(now, list, prompt("s"), topology).Zone).To(Equal("z1"))
		list[2].Load = Load{Running: 60, Waiting: 20, At: now}
		Expect(PickEngine(now, list, prompt("s"), topology).Zone).To(Equal("z2"))
	})

	ginkgo.It("ignores an outdated load report", func() {
		list := engines("z2", "z1")
		list[1].Load = Load{Running: 60, Waiting: 20, At: now.Add(-time.Minute)}
		Expect(PickEngine(now, list, prompt("s"), topology).Zone).To(Equal("z1"))
	})

	ginkgo.It("backs off exponentially after failures and uses a runner in backoff if no other is left", func() {
		list := engines("z1", "z1")
		preferred := PickEngine(now, list, prompt("s"), topology)
		if preferred != list[0] {
			list[0], list[1] = list[1], list[0]
		}
		list[0].RecordFailure(now)
		Expect(PickEngine(now, list, prompt("s"), topology)).To(Equal(list[1]))
		Expect(list[0].InBackoff(now.Add(initialBackoff))).To(BeFalse())
		list[0].RecordFailure(now)
		Expect(list[0].InBackoff(now.Add(initialBackoff))).To(BeTrue())
		list[0].RecordSuccess()
		list[0].RecordFailure(now.Add(time.Hour))
		Expect(list[0].InBackoff(now.Add(time.Hour + initialBackoff))).To(BeFalse())
		Expect(PickEngine(now, list[:1], prompt("s"), topology)).To(Equal(list[0]))
		Expect(PickEngine(now, nil, prompt("s"), topology)).To(BeNil())
	})
})

var _ = ginkgo.Describe("the cached prefix of a runner", func() {
	ginkgo.It("covers the leading parts that the runner processed, until they expire", func() {
		e := engines("z1")[0]
		e.RecordPrompt(now, prompt("s"))
		Expect(e.CachedTokens(now, prompt("s"))).To(Equal(6000))
		Expect(e.CachedTokens(now, prompt("t"))).To(Equal(2000))
		Expect(e.CachedTokens(now.Add(prefixTTL+time.Second), prompt("s"))).To(BeZero())
	})

	ginkgo.It("excludes a part whose preceding parts differ", func() {
		e := engines("z1")[0]
		e.RecordPrompt(now, prompt("s"))
		other := &Prompt{Parts: []Part{{"another", 2000}, {"s", 3000}, {"own", 1000}}}
		Expect(e.CachedTokens(now, other)).To(BeZero())
	})

	ginkgo.It("is empty after a restart under the same ID", func() {
		e := engines("z1")[0]
		e.RecordPrompt(now, prompt("s"))
		e.ClearCache()
		Expect(e.CachedTokens(now, prompt("s"))).To(BeZero())
	})

	ginkgo.It("is fetched from a runner that has it and is not in backoff", func() {
		list := engines("z1", "z2", "z3")
		list[1].RecordPrompt(now, prompt("s"))
		Expect(PickCacheSource(now, list, list[0], prompt("s"))).To(Equal(list[1]))
		list[1].RecordFailure(now)
		Expect(PickCacheSource(now, list, list[0], prompt("s"))).NotTo(Equal(list[1]))
		list[0].RecordPrompt(now, prompt("s"))
		Expect(PickCacheSource(now, list, list[0], prompt("s"))).To(BeNil())
	})

	ginkgo.It("is not fetched for a prompt without shared parts", func() {
		list := engines("z1", "z2")
		Expect(PickCacheSource(now, list, list[0], &Prompt{Parts: []Part{{"own", 9000}}, Tokens: 9000})).To(BeNil())
	})
})

var _ = ginkgo.Describe("PickLeastLoaded", func() {
	slots := func(*RunnerState) int { return 6 }

	ginkgo.It("chooses the runner with the fewest requests per slot and prefers near zones", func() {
		list := engines("z3", "z1", "z1")
		list[1].ActiveRequests = 2
		Expect(PickLeastLoaded(now, list, slots, topology)).To(Equal(list[2]))
		list[2].ActiveRequests = 6
		list[1].ActiveRequests = 6
		Expect(PickLeastLoaded(now, list, slots, topology).Zone).To(Equal("z1"))
		list[1].Load = Load{Running: 6, Waiting: 12, At: now}
		list[2].Load = Load{Running: 6, Waiting: 12, At: now}
		Expect(PickLeastLoaded(now, list, slots, topology).Zone).To(Equal("z3"))
	})
})

// Guards against a rendezvous hash that reassigns keys of names that remain
// when another name is removed.
func TestRendezvousMovesOnlyTheKeysOfANameThatLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 2, 8, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		before := PickRendezvous(key, names)
		removed := rapid.IntRange(0, len(names)-1).Draw(t, "gone")
		rest := append(append([]string{}, names[:removed]...), names[removed+1:]...)
		after := PickRendezvous(key, rest)
		if names[removed] != before && after != before {
			t.Fatalf("key moved from %q to %q although %q left", before, after, names[removed])
		}
	})
}
