package virtualtime

import (
	"slices"
	"time"
)

// Percentile gives the percentile of sorted latencies, of which there is at
// least one. The percent is from 0 to 99.
func Percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[len(sorted)*percent/100]
}

// PartBelow gives the part of sorted latencies that are below a limit, from 0
// to 1.
func PartBelow(sorted []time.Duration, limit time.Duration) float64 {
	below, _ := slices.BinarySearch(sorted, limit)
	return float64(below) / float64(len(sorted))
}
