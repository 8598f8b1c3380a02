package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// signCache holds the recently reported states of upstreams. It is not safe for
// concurrent use.
type signCache struct {
	// ttl is how long a sign is passed on after its receipt. Repetition makes
	// up for lost replies; a receiver ignores the copies.
	ttl   time.Duration
	signs map[signKey]cachedSign
}

type signKey struct {
	address string
	state   settings.ObservedState
	from    ids.VMID
}

type cachedSign struct {
	sign       settings.Observation
	receivedAt time.Time
	// observedAt is when the entry VM observed the state, by this VM's clock.
	observedAt time.Time
	// fromEntryVM is true if the sign came from an entry VM rather than from
	// another control VM.
	fromEntryVM bool
}

func newSignCache(ttl time.Duration) *signCache {
	return &signCache{ttl: ttl, signs: map[signKey]cachedSign{}}
}

// add stores signs and reports whether any was new. A sign that was observed
// again at a later time counts as new.
func (c *signCache) add(now time.Time, signs []settings.Observation, fromEntryVM bool) bool {
	c.expire(now)
	added := false
	for _, s := range signs {
		key := signKey{address: s.Address, state: s.State, from: s.From}
		observedAt := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		cached, ok := c.signs[key]
		// Copies of one observation yield different times, because transmission
		// delays vary.
		if ok && observedAt.Sub(cached.observedAt) < c.ttl/2 {
			continue
		}
		c.signs[key] = cachedSign{sign: s, receivedAt: now, observedAt: observedAt, fromEntryVM: fromEntryVM}
		added = true
	}
	return added
}

func (c *signCache) expire(now time.Time) {
	for key, cached := range c.signs {
		if now.Sub(cached.receivedAt) > c.ttl {
			delete(c.signs, key)
		}
	}
}

// list returns the cached signs for which include returns true, with their current
// age.
func (c *signCache) list(now time.Time, include func(*cachedSign) bool) []settings.Observation {
	c.expire(now)
	var out []settings.Observation
	for _, cached := range c.signs {
		if !include(&cached) {
			continue
		}
		s := cached.sign
		s.AgeMS = ageMS(now, cached.observedAt)
		out = append(out, s)
	}
	return out
}

// ageMS returns the time since t in milliseconds, rounded up and at least 0.
func ageMS(now, t time.Time) uint32 {
	d := max(0, now.Sub(t))
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}
