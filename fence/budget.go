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
	// burst is the time for which unused rate is kept. A jump of the clock by
	// any length adds at most this much.
	burst = time.Second
	// maxNonces is the number of granted draws that are remembered for each
	// session, so that a repeated message draws nothing again.
	maxNonces = 32
)

// Draw is one granted draw.
type Draw struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64
	Bytes uint64
}

// Draws lists the newest granted draws of one session, oldest first.
type Draws struct {
	_       struct{} `cbor:",toarray"`
	Session ids.SessionID
	Draws   []Draw
}

// Budget is the weight store's rate limit as one token bucket. It is not safe
// for concurrent use.
type Budget struct {
	// level is the content of the bucket, in bytes.
	level uint64
	// filled is the time up to which the bucket was filled.
	filled int64
	// started is false until the first draw, which finds a full bucket.
	started bool
	draws   map[ids.SessionID][]Draw
}

// NewBudget gives a budget that nothing was drawn from.
func NewBudget() *Budget {
	return &Budget{draws: map[ids.SessionID][]Draw{}}
}

// Draw grants bytes of the weight store to an open session, or tells when the
// draw may succeed. The holder pulls the bytes at once and draws again for
// more. bytesPerSecond is the setting weights.bytes_per_second.
func (b *Budget) Draw(c *command.DrawWeights, bytesPerSecond int64, nowUnixMS int64) command.Result {
	rate := uint64(max(bytesPerSecond, 1))
	if c.Bytes == 0 || c.Bytes > Most(bytesPerSecond) {
		return command.Result{Code: command.Malformed, Detail: "a draw must be from 1 byte to one second of weights.bytes_per_second; split it"}
	}
	for _, d := range b.draws[c.Session] {
		if d.Nonce == c.Nonce {
			return b.again(d, c)
		}
	}
	b.fill(rate, nowUnixMS)
	if c.Bytes > b.level {
		return command.Result{Code: command.RateExhausted, WaitMS: waitMS(c.Bytes-b.level, rate)}
	}
	b.level -= c.Bytes
	b.remember(c)
	return command.Result{}
}

// Most is the largest draw: one second of the rate.
func Most(bytesPerSecond int64) uint64 { return uint64(max(bytesPerSecond, 1)) }

func (b *Budget) again(d Draw, c *command.DrawWeights) command.Result {
	if d.Bytes != c.Bytes {
		return command.Result{Code: command.Malformed, Detail: "the nonce was used for another draw; use a new one"}
	}
	return command.Result{}
}

// fill adds what the rate gives for the time since the last filling, up to one
// burst. A time before the last filling adds nothing.
func (b *Budget) fill(rate uint64, nowUnixMS int64) {
	full := Most(int64(rate))
	if !b.started {
		b.started = true
		b.level, b.filled = full, nowUnixMS
		return
	}
	b.level = min(b.level, full)
	elapsed := nowUnixMS - b.filled
	if elapsed <= 0 {
		return
	}
	if elapsed >= burst.Milliseconds() {
		b.level, b.filled = full, nowUnixMS
		return
	}
	gain := rate * uint64(elapsed) / 1000
	if gain == 0 {
		return // The time counts with the next filling.
	}
	b.level = min(b.level+gain, full)
	b.filled = nowUnixMS
}

// waitMS is the time in which the rate gives missing bytes, rounded up.
func waitMS(missing, rate uint64) uint32 {
	hi, lo := bits.Mul64(missing, 1000)
	ms, rest := bits.Div64(hi, lo, rate)
	if rest > 0 {
		ms++
	}
	return uint32(ms)
}

func (b *Budget) remember(c *command.DrawWeights) {
	list := append(b.draws[c.Session], Draw{Nonce: c.Nonce, Bytes: c.Bytes})
	if len(list) > maxNonces {
		list = slices.Clone(list[len(list)-maxNonces:])
	}
	b.draws[c.Session] = list
}

// EndSession forgets the draws of a session, which cannot draw any more.
func (b *Budget) EndSession(id ids.SessionID) { delete(b.draws, id) }

func (b *Budget) sortedDraws() []Draws {
	all := make([]Draws, 0, len(b.draws))
	for id, list := range b.draws {
		all = append(all, Draws{Session: id, Draws: slices.Clone(list)})
	}
	slices.SortFunc(all, func(x, y Draws) int {
		return cmp.Or(cmp.Compare(x.Session.VM, y.Session.VM), cmp.Compare(x.Session.Incarnation, y.Session.Incarnation))
	})
	return all
}
