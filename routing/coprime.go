package routing

import "math/rand/v2"

// randomCoprime returns a random positive number below n that is coprime to n.
// N must be at least 2.
func randomCoprime(n int, rng *rand.Rand) int {
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
