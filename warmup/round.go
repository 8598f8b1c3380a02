package warmup

// minRoundedMS is the finest resolution of a remaining warm-up time in ms.
const minRoundedMS = 250

// RoundUpMS rounds a remaining time in ms up to 250 ms times a power of two. A list
// that carries it then changes only a few times while a runner warms up.
func RoundUpMS(ms float64) int64 {
	if ms <= 0 {
		return 0
	}
	rounded := int64(minRoundedMS)
	for float64(rounded) < ms && rounded < 1<<40 {
		rounded *= 2
	}
	return rounded
}
