package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// signBoard keeps recent signs of upstreams. It is not safe for concurrent
// use.
type signBoard struct {
	// keep is how long a sign is passed on after its arrival here. Several
	// copies make up for lost replies; a copy has no effect at its receiver.
	keep  time.Duration
	signs map[signKey]heldSign
}

type signKey struct {
	address string
	state   settings.SignState
	from    ids.VMID
}

type heldSign struct {
	sign    settings.Sign
	arrived time.Time
	// seen is when the entry VM saw the sign, by this VM's clock.
	seen time.Time
	// local is true if an entry VM, not another control VM, brought it.
	local bool
}

func newSignBoard(keep time.Duration) *signBoard {
	return &signBoard{keep: keep, signs: map[signKey]heldSign{}}
}

// add takes signs and says whether any was new. A sign that comes again with a
// later sight is passed on again.
func (b *signBoard) add(now time.Time, signs []settings.Sign, local bool) bool {
	b.expire(now)
	fresh := false
	for _, s := range signs {
		key := signKey{address: s.Address, state: s.State, from: s.From}
		seen := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		held, ok := b.signs[key]
		// A copy's computed time varies by the delays on its way.
		if ok && seen.Sub(held.seen) < b.keep/2 {
			continue
		}
		b.signs[key] = heldSign{sign: s, arrived: now, seen: seen, local: local}
		fresh = true
	}
	return fresh
}

func (b *signBoard) expire(now time.Time) {
	for key, h := range b.signs {
		if now.Sub(h.arrived) > b.keep {
			delete(b.signs, key)
		}
	}
}

// list gives the held signs that wanted accepts, with their present age.
func (b *signBoard) list(now time.Time, wanted func(*heldSign) bool) []settings.Sign {
	b.expire(now)
	var out []settings.Sign
	for _, h := range b.signs {
		if !wanted(&h) {
			continue
		}
		s := h.sign
		s.AgeMS = ageMS(now, h.seen)
		out = append(out, s)
	}
	return out
}

// ageMS gives the time since t in milliseconds, rounded up and at least 0.
func ageMS(now, t time.Time) uint32 {
	d := max(0, now.Sub(t))
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}
