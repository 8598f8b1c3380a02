package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// observationCache holds the recently reported states of upstreams. It is not
// safe for concurrent use.
type observationCache struct {
	// ttl is how long an observation is passed on after its receipt. Repetition
	// makes up for lost replies; a receiver ignores the copies.
	ttl          time.Duration
	observations map[observationKey]cachedObservation
}

type observationKey struct {
	address string
	state   settings.ObservedState
	from    ids.VMID
}

type cachedObservation struct {
	observation settings.Observation
	receivedAt  time.Time
	// observedAt is when the entry VM observed the state, by this VM's clock.
	observedAt time.Time
	// fromEntryVM is true if the observation came from an entry VM rather than
	// from another control VM.
	fromEntryVM bool
}

func newObservationCache(ttl time.Duration) *observationCache {
	return &observationCache{ttl: ttl, observations: map[observationKey]cachedObservation{}}
}

// add stores observations and reports whether any was new. A state that was
// observed again at a later time counts as new.
func (c *observationCache) add(now time.Time, observations []settings.Observation, fromEntryVM bool) bool {
	c.expire(now)
	added := false
	for _, o := range observations {
		key := observationKey{address: o.Address, state: o.State, from: o.From}
		observedAt := now.Add(-time.Duration(o.AgeMS) * time.Millisecond)
		cached, ok := c.observations[key]
		// Copies of one observation yield different times, because transmission
		// delays vary.
		if ok && observedAt.Sub(cached.observedAt) < c.ttl/2 {
			continue
		}
		c.observations[key] = cachedObservation{observation: o, receivedAt: now, observedAt: observedAt, fromEntryVM: fromEntryVM}
		added = true
	}
	return added
}

func (c *observationCache) expire(now time.Time) {
	for key, cached := range c.observations {
		if now.Sub(cached.receivedAt) > c.ttl {
			delete(c.observations, key)
		}
	}
}

// list returns the cached observations that include accepts, with their present
// age.
func (c *observationCache) list(now time.Time, include func(*cachedObservation) bool) []settings.Observation {
	c.expire(now)
	var out []settings.Observation
	for _, cached := range c.observations {
		if !include(&cached) {
			continue
		}
		o := cached.observation
		o.AgeMS = ageMS(now, cached.observedAt)
		out = append(out, o)
	}
	return out
}

// ageMS returns the time since t in milliseconds, rounded up and at least 0.
func ageMS(now, t time.Time) uint32 {
	d := max(0, now.Sub(t))
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}
