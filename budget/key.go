package budget

import "math/bits"

// Key names one latency distribution: a stage of a pool and a size class.
type Key struct {
	// Stage names the pool, or the pool and the pipeline's stage where stages
	// that share a pool differ.
	Stage string
	// Class separates requests of different size; see SizeClass.
	Class uint8
}

// SizeClass groups token counts by their magnitude: a class per power of two.
func SizeClass(tokens int) uint8 {
	return uint8(bits.Len(uint(max(tokens, 0))))
}
