package audit

import "sort"

// numberSet holds the batch numbers stored for one session as ranges. A writer
// numbers its batches in order, so the set has few ranges: one more for each
// time the writer moved to another control VM and back.
type numberSet struct {
	ranges []numberRange
}

type numberRange struct {
	_    struct{} `cbor:",toarray"`
	Low  uint64
	High uint64
}

func (s *numberSet) has(n uint64) bool {
	i := s.after(n)
	return i < len(s.ranges) && s.ranges[i].Low <= n
}

// after gives the first range whose end is not below n.
func (s *numberSet) after(n uint64) int {
	return sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].High >= n })
}

// addRanges adds all numbers of the ranges.
func (s *numberSet) addRanges(ranges []numberRange) {
	for _, r := range ranges {
		for n := r.Low; n <= r.High; n++ {
			s.add(n)
		}
	}
}

func (s *numberSet) add(n uint64) {
	if s.has(n) {
		return
	}
	i := s.after(n)
	joinsLeft := i > 0 && s.ranges[i-1].High+1 == n
	joinsRight := i < len(s.ranges) && s.ranges[i].Low == n+1
	switch {
	case joinsLeft && joinsRight:
		s.ranges[i-1].High = s.ranges[i].High
		s.ranges = append(s.ranges[:i], s.ranges[i+1:]...)
	case joinsLeft:
		s.ranges[i-1].High = n
	case joinsRight:
		s.ranges[i].Low = n
	default:
		s.ranges = append(s.ranges, numberRange{})
		copy(s.ranges[i+1:], s.ranges[i:])
		s.ranges[i] = numberRange{Low: n, High: n}
	}
}
