package audit

import "sort"

// numberSet holds the numbers of a session's stored batches as ranges. A writer
// numbers its batches in order, so there are few ranges: one more for each time
// the writer switched to another control VM and back.
type numberSet struct {
	ranges []numberRange
}

type numberRange struct {
	_    struct{} `cbor:",toarray"`
	Low  uint64
	High uint64
}

func (s *numberSet) contains(n uint64) bool {
	i := s.search(n)
	return i < len(s.ranges) && s.ranges[i].Low <= n
}

// search returns the index of the first range whose end is at least n.
func (s *numberSet) search(n uint64) int {
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
	if s.contains(n) {
		return
	}
	i := s.search(n)
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
