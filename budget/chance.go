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
		next = [chanceSteps]float64{}
		for i, p := range sum {
			if p == 0 {
				continue
			}
			for j := range chanceSteps - i {
				next[i+j] += p * part[j]
			}
		}
		sum = next
	}
	total := 0.0
	for _, p := range sum {
		total += p
	}
	return min(1, total)
}

// density gives the probability of each part of d.
func density(h *Histogram, d time.Duration, part *[chanceSteps]float64) {
	before := 0.0
	for i := range part {
		upTo := h.Below(d * time.Duration(i+1) / chanceSteps)
		part[i] = upTo - before
		before = upTo
	}
}
