package warmup

import "time"

// Limiter holds a holder's token buckets. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// NewLimiter returns a Limiter whose buckets are full.
func NewLimiter() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// May reports whether a request may be sent to a process of a runner now.
func (m *Limiter) May(now time.Time, process string, l Limit) bool {
	perSecond, burst := l.bucket()
	if burst < 1 {
		return false
	}
	b := m.buckets[process]
	if b == nil {
		m.buckets[process] = &bucket{tokens: burst, at: now}
		return true
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.tokens+passed.Seconds()*perSecond, burst)
		b.at = now
	}
	return b.tokens >= 1
}

// Take counts a request that May has allowed.
func (m *Limiter) Take(process string) {
	if b := m.buckets[process]; b != nil {
		b.tokens--
	}
}

// Retain forgets the buckets of processes for which keep returns false.
func (m *Limiter) Retain(keep func(process string) bool) {
	for process := range m.buckets {
		if !keep(process) {
			delete(m.buckets, process)
		}
	}
}
