package virtualtime

import (
	"slices"
	"time"
)

// Percentile returns a percentile of the sorted latencies, of which there must
// be at least one. The percent must be from 0 to 99.
func Percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[len(sorted)*percent/100]
}

// FractionBelow returns the fraction, from 0 to 1, of the sorted latencies that
// are below the limit.
func FractionBelow(sorted []time.Duration, limit time.Duration) float64 {
	below, _ := slices.BinarySearch(sorted, limit)
	return float64(below) / float64(len(sorted))
}
