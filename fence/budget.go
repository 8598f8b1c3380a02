package fence

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

const (
	// burstWindow is the time span of unused rate that the bucket holds. A clock
	// jump of any length adds at most that much.
	burstWindow = time.Second
	// maxDrawsPerSession is the number of granted draws kept for each session. A
	// repeated message of a kept draw takes no tokens.
	maxDrawsPerSession = 32
)

// Draw is a granted draw.
type Draw struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64
	Bytes uint64
}

// SessionDraws lists the latest granted draws of a session, oldest first.
type SessionDraws struct {
	_       struct{} `cbor:",toarray"`
	Session ids.SessionID
	Draws   []Draw
}

// Budget is a token bucket for the rate limit of the weight store. It is not
// safe for concurrent use.
type Budget struct {
	// tokens is the fill level of the bucket in bytes.
	tokens uint64
	// refilledAtMS is the time up to which the bucket has been refilled.
	refilledAtMS int64
	// started is false until the first draw, which fills the bucket.
	started bool
	draws   map[ids.SessionID][]Draw
}

// NewBudget returns a budget without draws; its bucket starts full.
func NewBudget() *Budget {
	return &Budget{draws: map[ids.SessionID][]Draw{}}
}

// Draw grants an open session a number of bytes to read from the weight store,
// or returns RateExhausted with the wait in ms after which the draw may succeed.
// The session reads the granted bytes at once and draws again for more.
// bytesPerSecond is the setting weights.bytes_per_second.
func (b *Budget) Draw(c *command.DrawWeights, bytesPerSecond int64, nowUnixMS int64) command.Result {
	rate := uint64(max(bytesPerSecond, 1))
	if c.Bytes == 0 || c.Bytes > MaxDraw(bytesPerSecond) {
		return command.Result{Code: command.Malformed, Detail: "a draw must be between 1 byte and one second of weights.bytes_per_second; split it"}
	}
	for _, d := range b.draws[c.Session] {
		if d.Nonce == c.Nonce {
			return b.repeatDraw(d, c)
		}
	}
	b.refill(rate, nowUnixMS)
	if c.Bytes > b.tokens {
		return command.Result{Code: command.RateExhausted, WaitMS: refillWaitMS(c.Bytes-b.tokens, rate)}
	}
	b.tokens -= c.Bytes
	b.recordDraw(c)
	return command.Result{}
}

// MaxDraw returns the maximum size of a draw in bytes, one second of the rate.
func MaxDraw(bytesPerSecond int64) uint64 { return uint64(max(bytesPerSecond, 1)) }

// repeatDraw returns the result of a command with the nonce of a granted draw.
func (b *Budget) repeatDraw(d Draw, c *command.DrawWeights) command.Result {
	if d.Bytes != c.Bytes {
		return command.Result{Code: command.Malformed, Detail: "the nonce was used for a different draw; use a new nonce"}
	}
	return command.Result{}
}

// refill adds the tokens for the time since the last refill, up to one
// burstWindow. A time before the last refill adds nothing.
func (b *Budget) refill(rate uint64, nowUnixMS int64) {
	full := MaxDraw(int64(rate))
	if !b.started {
		b.started = true
		b.tokens, b.refilledAtMS = full, nowUnixMS
		return
	}
	b.tokens = min(b.tokens, full)
	elapsed := nowUnixMS - b.refilledAtMS
	if elapsed <= 0 {
		return
	}
	if elapsed >= burstWindow.Milliseconds() {
		b.tokens, b.refilledAtMS = full, nowUnixMS
		return
	}
	gain := rate * uint64(elapsed) / 1000
	if gain == 0 {
		return // The elapsed time counts towards the next refill.
	}
	b.tokens = min(b.tokens+gain, full)
	b.refilledAtMS = nowUnixMS
}

// refillWaitMS returns the time in ms after which the missing bytes are refilled,
// rounded up.
func refillWaitMS(missing, rate uint64) uint32 {
	hi, lo := bits.Mul64(missing, 1000)
	ms, remainder := bits.Div64(hi, lo, rate)
	if remainder > 0 {
		ms++
	}
	return uint32(ms)
}

func (b *Budget) recordDraw(c *command.DrawWeights) {
	list := append(b.draws[c.Session], Draw{Nonce: c.Nonce, Bytes: c.Bytes})
	if len(list) > maxDrawsPerSession {
		list = slices.Clone(list[len(list)-maxDrawsPerSession:])
	}
	b.draws[c.Session] = list
}

// EndSession removes the draws of a session that has ended; it cannot draw again.
func (b *Budget) EndSession(id ids.SessionID) { delete(b.draws, id) }

func (b *Budget) sortedDraws() []SessionDraws {
	all := make([]SessionDraws, 0, len(b.draws))
	for id, list := range b.draws {
		all = append(all, SessionDraws{Session: id, Draws: slices.Clone(list)})
	}
	slices.SortFunc(all, func(x, y SessionDraws) int {
		return cmp.Or(cmp.Compare(x.Session.VM, y.Session.VM), cmp.Compare(x.Session.Incarnation, y.Session.Incarnation))
	})
	return all
}
