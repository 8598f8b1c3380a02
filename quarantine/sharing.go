package quarantine

import (
	"math/bits"
	"time"
)

// sharingCounts counts the requests with each part over one to two evidence windows.
// If there are too many parts it forgets the older half. It is not safe for concurrent
// use.
type sharingCounts struct {
	// newer counts since rotatedAt, older in the window before.
	newer, older map[Part]uint32
	rotatedAt    time.Time
}

// add counts a request with these parts.
func (s *sharingCounts) add(now time.Time, parts []Part) {
	if s.newer == nil || now.Sub(s.rotatedAt) > evidenceWindow || len(s.newer) >= maxAnswered/2 {
		s.newer, s.older, s.rotatedAt = map[Part]uint32{}, s.newer, now
	}
	for _, p := range parts {
		s.newer[p]++
	}
}

// magnitude returns how many binary digits the number of requests with a part has. It
// changes seldom, so that reports do.
func (s *sharingCounts) magnitude(p Part) uint8 {
	return uint8(bits.Len32(s.newer[p] + s.older[p]))
}

// joinSharing returns about how many requests at all entry VMs have had each part of the
// reported crashes.
func joinSharing(reports []*Report) map[Part]uint64 {
	requests := map[Part]uint64{}
	for _, r := range reports {
		seen := Set{}
		for _, c := range r.Crashes {
			for i, p := range c.Parts {
				if i < len(c.Sharing) && !seen[p] {
					requests[p] += 1 << min(c.Sharing[i], maxMagnitude)
					seen[p] = true
				}
			}
		}
	}
	return requests
}

// maxMagnitude is the greatest magnitude of a count.
const maxMagnitude = 32

// leastShared returns those of the parts that the fewest requests have had.
func leastShared(parts []Part, requests map[Part]uint64) []Part {
	var least []Part
	for _, p := range parts {
		switch {
		case len(least) == 0 || requests[p] < requests[least[0]]:
			least = []Part{p}
		case requests[p] == requests[least[0]]:
			least = append(least, p)
		}
	}
	return least
}
