package budget

import "time"

// probabilitySteps is the number of equal steps into which the remaining time
// is divided to convolve distributions. The error of the sum is less than one
// step per stage.
const probabilitySteps = 48

// completionProbability returns the probability that independent stages with
// the given latency distributions finish within d. A stage without a
// distribution counts as immediate.
func completionProbability(stages []*Histogram, d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	// sum[i] is the probability that the stages so far finish in step i.
	var sum, next, part [probabilitySteps]float64
	sum[0] = 1
	for _, h := range stages {
		if h == nil {
			continue
		}
		discretize(h, d, &part)
		convolve(&sum, &part, &next)
		sum = next
	}
	total := 0.0
	for _, p := range sum {
		total += p
	}
	return min(1, total)
}

// convolve computes the distribution of the sum of two independent latencies.
// Probability beyond the last step is dropped.
func convolve(a, b, out *[probabilitySteps]float64) {
	*out = [probabilitySteps]float64{}
	for i, p := range a {
		if p == 0 {
			continue
		}
		for j, q := range b[:probabilitySteps-i] {
			out[i+j] += p * q
		}
	}
}

// discretize computes the probability of each step of d in one pass over the
// buckets.
func discretize(h *Histogram, d time.Duration, part *[probabilitySteps]float64) {
	at, below, previous := 0, 0.0, 0.0
	for i := range part {
		end := d * time.Duration(i+1) / probabilitySteps
		for at < bucketCount-1 && lowerBound(at+1) <= end {
			below += float64(h.weights[at])
			at++
		}
		from, to := lowerBound(at), lowerBound(at+1)
		inside := min(1, float64(end-from)/float64(to-from))
		upTo := min(1, (below+inside*float64(h.weights[at]))/h.total)
		part[i] = upTo - previous
		previous = upTo
	}
}
