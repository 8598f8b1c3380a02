// Package bounded reads numbers that callers, runners and operators state. They come out
// within bounds, so that sums and products of them do not overflow.
package bounded

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxDuration bounds durations.
	MaxDuration = 365 * 24 * time.Hour
	// MaxWhole bounds numbers of things.
	MaxWhole = 1 << 40
	// MaxFactor bounds numbers of things that are multiplied by other numbers.
	MaxFactor = 1 << 20
)

// Milliseconds returns ms as a duration within MaxDuration. What is no number counts as 0.
func Milliseconds(ms float64) time.Duration { return duration(ms, time.Millisecond) }

// Seconds is Milliseconds for seconds.
func Seconds(s float64) time.Duration { return duration(s, time.Second) }

func duration(n float64, unit time.Duration) time.Duration {
	if math.IsNaN(n) {
		return 0
	}
	limit := float64(MaxDuration)
	return time.Duration(min(max(n*float64(unit), -limit), limit))
}

// ParseMilliseconds reads a time in ms; 0 stands for a text that says none.
func ParseMilliseconds(s string) time.Duration {
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return max(Milliseconds(ms), 0)
}

// Whole returns n without its fraction, within MaxWhole.
func Whole(n float64) int64 { return int64(min(max(n, -MaxWhole), MaxWhole)) }

// Count reads a number of things. One that is negative counts as 0, and one over MaxWhole
// as that.
func Count(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, err
	}
	return min(max(n, 0), MaxWhole), nil
}

// Counts reads a comma-separated list of numbers of things; what is no number counts as 0.
func Counts(s string) []int {
	if s == "" {
		return nil
	}
	list := make([]int, 0, Entries([]string{s}))
	for field := range strings.SplitSeq(s, ",") {
		n, _ := Count(strings.TrimSpace(field))
		list = append(list, n)
	}
	return list
}

// Entries returns the number of entries of a comma-separated list that stands in several
// lines.
func Entries(lines []string) int {
	n := 0
	for _, line := range lines {
		n += 1 + strings.Count(line, ",")
	}
	return n
}
