package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a bad part that stays free, and against a normal one that stays
// quarantined, whichever requests meet at the runners that the bad one ends.
func TestOnlyTheBadPartStaysQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bad Part = 100
		now := start
		vms := []*Evidence{NewEvidence(testDoubt), NewEvidence(testDoubt), NewEvidence(testDoubt)}
		pickVM := func(label string) *Evidence { return vms[rapid.IntRange(0, len(vms)-1).Draw(t, label)] }
		pickParts := func() []Part {
			return rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Part { return Part(rapid.IntRange(1, 6).Draw(t, "part")) }), 1, 3, rapid.ID[Part]).Draw(t, "parts")
		}
		answered := Set{}
		d := NewDetector(now, nil)
		known := Known{}
		exchange := func() {
			var reports []*Report
			for _, e := range vms {
				reports = append(reports, e.Report(now, known))
			}
			d.Update(now, reports, nil)
			known = NewKnown(d.Quarantined())
		}
		crashes := rapid.IntRange(0, 8).Draw(t, "crashes")
		for n := range crashes {
			now = now.Add(time.Second)
			runner := fmt.Sprint("r", n)
			pickVM("bad at").RecordLoss(now, on(runner), append(pickParts(), bad))
			for range rapid.IntRange(0, 3).Draw(t, "beside") {
				pickVM("lost at").RecordLoss(now, on(runner), pickParts())
			}
			for range rapid.IntRange(0, 3).Draw(t, "normal") {
				parts := pickParts()
				pickVM("answered at").RecordAnswer(now, parts)
				for _, p := range parts {
					answered[p] = true
				}
			}
			if rapid.Bool().Draw(t, "exchange") {
				exchange()
			}
		}
		// The first exchange may quarantine parts that the second one contests.
		exchange()
		exchange()
		quarantined := d.sortedParts()
		if want := crashes >= minCrashes; slices.Contains(quarantined, bad) != want {
			t.Fatalf("after %d crashes the bad part is quarantined: %v", crashes, !want)
		}
		for _, p := range quarantined {
			if answered[p] {
				t.Fatalf("part %d is quarantined although it was answered", p)
			}
		}
	})
}
