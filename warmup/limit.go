package warmup

import "math"

// Limit bounds the requests of all VMs to one runner that warms up.
type Limit struct {
	// PerSecond is the steady rate that the runner bears.
	PerSecond float64
	// Excess and Slack bound any one second: PerSecond x Excess + Slack requests.
	Excess float64
	Slack  float64
}

// Max returns the greatest number of requests in any one second.
func (l Limit) Max() float64 { return l.PerSecond*l.Excess + l.Slack }

const (
	// holdersInSuccession is the number of buckets that may be used up within one
	// second: that of a holder and that of its successor, or of its next process.
	holdersInSuccession = 2
	// maxBurst is the greatest size of a bucket in requests.
	maxBurst = 4
)

// bucket returns the rate and the size of a holder's token bucket. Both are 0 if
// the limit leaves no room for one.
func (l Limit) bucket() (perSecond, burst float64) {
	perSecond = min(l.PerSecond, l.Max()-holdersInSuccession)
	if perSecond <= 0 {
		return 0, 0
	}
	return perSecond, min(math.Floor((l.Max()-perSecond)/holdersInSuccession), maxBurst)
}

// Probers returns how many VMs may try a runner once a second of which is not known
// whether it is cold.
func (l Limit) Probers() int { return int(l.Max() / 2) }
