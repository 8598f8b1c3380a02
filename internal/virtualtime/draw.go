package virtualtime

import (
	"math"
	"math/rand/v2"
	"time"
)

// LogNormal draws a factor from the log-normal distribution with mean 1. Sigma
// is the standard deviation of the factor's logarithm.
func LogNormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// Gap draws the time to the next of Poisson arrivals at a rate per second.
func Gap(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// Pick draws an index of shares, each with the probability of its share. The
// shares add up to 1.
func Pick(rng *rand.Rand, shares []float64) int {
	x, i := rng.Float64(), 0
	for ; i < len(shares)-1 && x > shares[i]; i++ {
		x -= shares[i]
	}
	return i
}
