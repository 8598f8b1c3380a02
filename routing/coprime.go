package routing

import "math/rand/v2"

// coprime gives a random number below n that shares no factor with n.
func coprime(n int, rng *rand.Rand) int {
	for {
		if k := 1 + rng.IntN(n-1); gcd(k, n) == 1 {
			return k
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
