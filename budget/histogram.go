package budget

import (
	"math"
	"time"
)

const (
	// The buckets range from bucketBase up to 262 s, each 19% wider than the
	// previous one.
	bucketCount        = 80
	bucketsPerDoubling = 4
	bucketBase         = 250 * time.Microsecond
	// decaySteps is how many times per half-life the weights are reduced.
	decaySteps = 16
)

// Histogram is a latency histogram of fixed size in which old samples lose
// weight exponentially. The zero value is empty.
type Histogram struct {
	weights   [bucketCount]float32
	total     float64
	decayedAt time.Time
}

// Observe adds a sample.
func (h *Histogram) Observe(d, halfLife time.Duration, now time.Time) {
	h.decay(halfLife, now)
	h.weights[bucketOf(d)]++
	h.total++
}

// decay reduces the weights according to the time since the last decay.
func (h *Histogram) decay(halfLife time.Duration, now time.Time) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
		return
	}
	elapsed := now.Sub(h.decayedAt)
	if elapsed < halfLife/decaySteps {
		return
	}
	h.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
}

// Weight returns the total weight of the samples, which is at most their
// number.
func (h *Histogram) Weight() float64 { return h.total }

// Quantile returns the q-quantile of the latencies, or 0 for an empty
// histogram. The error is at most one bucket, or 19%.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.total <= 0 {
		return 0
	}
	left := q * h.total
	last := 0
	for i := range h.weights {
		w := float64(h.weights[i])
		if w <= 0 {
			continue
		}
		last = i
		if left <= w {
			return lerp(lowerBound(i), lowerBound(i+1), left/w)
		}
		left -= w
	}
	return lowerBound(last + 1)
}

// FractionBelow returns the fraction of samples up to d.
func (h *Histogram) FractionBelow(d time.Duration) float64 {
	if h.total <= 0 || d <= 0 {
		return 0
	}
	at := bucketOf(d)
	sum := 0.0
	for i := range at {
		sum += float64(h.weights[i])
	}
	from, to := lowerBound(at), lowerBound(at+1)
	fraction := min(1, float64(d-from)/float64(to-from))
	return min(1, (sum+fraction*float64(h.weights[at]))/h.total)
}

// bucketOf returns the bucket of a latency. Latencies outside the range belong
// to the first or the last bucket.
func bucketOf(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	i := 1 + int(bucketsPerDoubling*math.Log2(float64(d)/float64(bucketBase)))
	return min(i, bucketCount-1)
}

// lowerBound returns the lower bound of a bucket.
func lowerBound(i int) time.Duration { return bounds[i] }

var bounds = makeBounds()

func makeBounds() (b [bucketCount + 1]time.Duration) {
	for i := 1; i <= bucketCount; i++ {
		b[i] = time.Duration(float64(bucketBase) * math.Exp2(float64(i-1)/bucketsPerDoubling))
	}
	return b
}

func lerp(a, b time.Duration, fraction float64) time.Duration {
	return a + time.Duration(fraction*float64(b-a))
}
