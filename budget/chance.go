package budget

import "time"

// chanceSteps is the number of equal parts into which the remaining time is
// divided to add up distributions. The error of the sum is below the number of
// stages in such parts.
const chanceSteps = 48

// chance gives the probability that independent stages with the given
// distributions end within d. Stages without a distribution count as immediate.
func chance(stages []*Histogram, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	// sum[i] is the probability that the stages so far end in part i.
	var sum, next, part [chanceSteps]float64
	sum[0] = 1
	for _, h := range stages {
		if h == nil {
			continue
		}
		density(h, d, &part)
		convolve(&sum, &part, &next)
		sum = next
	}
	total := 0.0
	for _, p := range sum {
		total += p
	}
	return min(1, total)
}

// convolve gives the distribution of the sum of two; what exceeds the last part
// is dropped.
func convolve(a, b, out *[chanceSteps]float64) {
	*out = [chanceSteps]float64{}
	for i, p := range a {
		if p == 0 {
			continue
		}
		for j, q := range b[:chanceSteps-i] {
			out[i+j] += p * q
		}
	}
}

// density gives the probability of each part of d, in one pass over the
// buckets.
func density(h *Histogram, d time.Duration, part *[chanceSteps]float64) {
	at, below, before := 0, 0.0, 0.0
	for i := range part {
		end := d * time.Duration(i+1) / chanceSteps
		for at < bucketCount-1 && lower(at+1) <= end {
			below += float64(h.weights[at])
			at++
		}
		from, to := lower(at), lower(at+1)
		inside := min(1, float64(end-from)/float64(to-from))
		upTo := min(1, (below+inside*float64(h.weights[at]))/h.total)
		part[i] = upTo - before
		before = upTo
	}
}
