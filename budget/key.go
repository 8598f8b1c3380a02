package budget

import "math/bits"

// Key identifies one latency distribution: a stage and a size class.
type Key struct {
	// Stage is the name of the pool, or the pool and the pipeline stage if stages
	// that share a pool have different latencies.
	Stage string
	// Class separates requests of different sizes; see SizeClass.
	Class uint8
}

// SizeClass returns the size class of a token count. There is one class per
// power of two.
func SizeClass(tokens int) uint8 {
	return uint8(bits.Len(uint(max(tokens, 0))))
}
