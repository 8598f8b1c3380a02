package virtualtime

import (
	"math"
	"math/rand/v2"
	"time"
)

// LogNormal returns a random factor from the log-normal distribution with mean
// 1. The standard deviation of the factor's logarithm is sigma.
func LogNormal(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

// ArrivalInterval returns a random time between two arrivals of a Poisson
// process with the given rate per second.
func ArrivalInterval(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// WeightedIndex returns a random index of shares. The probability of an index
// is its share; the shares must add up to 1.
func WeightedIndex(rng *rand.Rand, shares []float64) int {
	x, i := rng.Float64(), 0
	for ; i < len(shares)-1 && x > shares[i]; i++ {
		x -= shares[i]
	}
	return i
}
