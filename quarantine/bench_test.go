package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkDetectorUpdate measures the decision after an outage of all runners of
// a large system, in which no request had an answer.
func BenchmarkDetectorUpdate(b *testing.B) {
	const vms, runners, partsPerCrash, popularParts, otherParts = 300, 3000, 10, 200, 50_000
	r := rand.New(rand.NewPCG(1, 1))
	var reports []*Report
	for range vms {
		report := &Report{}
		for range maxCrashes {
			c := Crash{Runner: fmt.Sprint("r", r.IntN(runners))}
			for range partsPerCrash {
				p := r.IntN(popularParts)
				if r.IntN(2) == 0 {
					p = popularParts + r.IntN(otherParts)
				}
				c.Parts = append(c.Parts, Part(p))
			}
			report.Crashes = append(report.Crashes, c)
		}
		reports = append(reports, report)
	}
	now := time.Unix(1_700_000_000, 0)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			d := NewDetector(now, nil)
			d.Update(now, reports, nil)
			b.ReportMetric(float64(len(d.parts)), "parts")
		}
	})
	b.Run("next", func(b *testing.B) {
		d := NewDetector(now, nil)
		d.Update(now, reports, nil)
		for b.Loop() {
			d.Update(now, reports, nil)
		}
	})
}
