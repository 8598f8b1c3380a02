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
	state   settings.SignState
	from    ids.VMID
}

type cachedSign struct {
	sign       settings.Sign
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
func (b *signCache) add(now time.Time, signs []settings.Sign, fromEntryVM bool) bool {
	b.expire(now)
	added := false
	for _, s := range signs {
		key := signKey{address: s.Address, state: s.State, from: s.From}
		observedAt := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		cached, ok := b.signs[key]
		// Copies of one observation yield different times, because transmission
		// delays vary.
		if ok && observedAt.Sub(cached.observedAt) < b.ttl/2 {
			continue
		}
		b.signs[key] = cachedSign{sign: s, receivedAt: now, observedAt: observedAt, fromEntryVM: fromEntryVM}
		added = true
	}
	return added
}

func (b *signCache) expire(now time.Time) {
	for key, cached := range b.signs {
		if now.Sub(cached.receivedAt) > b.ttl {
			delete(b.signs, key)
		}
	}
}

// list returns the cached signs that wanted accepts, with their present age.
func (b *signCache) list(now time.Time, wanted func(*cachedSign) bool) []settings.Sign {
	b.expire(now)
	var out []settings.Sign
	for _, cached := range b.signs {
		if !wanted(&cached) {
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
