package fence

import (
	"cmp"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

const (
	// MaxTerm bounds how long a right lasts without a renewal.
	MaxTerm = 60 * time.Second
	// OrderExpiry is the longest time after its sending at which an order may
	// still be executed; holders set expires_unix_ms of orders within it.
	OrderExpiry = 5 * time.Second
	// NetworkDelay bounds the time for which the network holds an order back.
	NetworkDelay = time.Second
	// sweepAge and sweepCommands say when an upstream that nobody holds is
	// forgotten: after both. The age alone would trust the clock; that many
	// commands take longer than MaxTerm, OrderExpiry and NetworkDelay
	// together at any rate up to 250,000 commands/s.
	sweepAge      = 24 * time.Hour
	sweepCommands = 1 << 24
	// maxUpstreamBytes bounds the name of an upstream.
	maxUpstreamBytes = 255
)

// Holding is the state of one upstream.
type Holding struct {
	Upstream string `cbor:"1,keyasint" json:"upstream"`
	// Token is the newest fencing token of the upstream.
	Token uint64 `cbor:"2,keyasint" json:"token"`
	// Held is false after the holder gave its right back or its session ended.
	Held          bool          `cbor:"3,keyasint,omitempty" json:"held"`
	Session       ids.SessionID `cbor:"4,keyasint" json:"session"`
	Nonce         uint64        `cbor:"5,keyasint" json:"-"`
	TermMS        uint32        `cbor:"6,keyasint" json:"term_ms"`
	ExpiresUnixMS int64         `cbor:"7,keyasint" json:"expires_unix_ms"`
	// OwedMS is the longest term of an earlier holder that did not give its
	// right back. The state machine's time follows a wall clock and cannot
	// prove that such a term has run out, so each successor waits it out on
	// its own clock.
	OwedMS uint32 `cbor:"8,keyasint,omitempty" json:"owed_ms,omitempty"`
	// WaitMS is the wait that the holder was given with its token.
	WaitMS uint32 `cbor:"9,keyasint,omitempty" json:"wait_ms,omitempty"`
	// Touched is the log index of the newest Acquire of the holder.
	Touched uint64 `cbor:"10,keyasint" json:"-"`
}

// Table holds the rights of all upstreams. It is not safe for concurrent use.
type Table struct {
	upstreams map[string]*Holding
	// last is the newest token of all upstreams. One counter for all keeps
	// tokens growing even for an upstream that is entered anew.
	last uint64
}

// NewTable gives an empty table.
func NewTable() *Table {
	return &Table{upstreams: map[string]*Holding{}}
}

// Acquire grants or renews the right to give orders to an upstream. The
// session must be open. index is the command's place in the log.
func (t *Table) Acquire(c *command.Acquire, nowUnixMS int64, index uint64) command.Result {
	r := t.acquire(c, nowUnixMS)
	if r.Code == command.OK {
		t.upstreams[c.Upstream].Touched = index
	}
	return r
}

func (t *Table) acquire(c *command.Acquire, nowUnixMS int64) command.Result {
	if r, ok := checkAcquire(c); !ok {
		return r
	}
	h, known := t.upstreams[c.Upstream]
	if !known {
		return t.grant(&Holding{Upstream: c.Upstream}, c, nowUnixMS)
	}
	if h.Session == c.Session {
		return t.acquireAgain(h, c, nowUnixMS)
	}
	if h.Held && nowUnixMS < h.ExpiresUnixMS {
		return command.Result{Code: command.FenceHeld, Detail: "held by session " + h.Session.String(), WaitMS: uint32(h.ExpiresUnixMS - nowUnixMS)}
	}
	return t.grant(h, c, nowUnixMS)
}

func checkAcquire(c *command.Acquire) (command.Result, bool) {
	if c.Upstream == "" || len(c.Upstream) > maxUpstreamBytes {
		return command.Result{Code: command.Malformed, Detail: "the upstream's name is empty or longer than 255 bytes"}, false
	}
	if c.TermMS == 0 || int64(c.TermMS) > MaxTerm.Milliseconds() {
		return command.Result{Code: command.Malformed, Detail: "the term must be from 1 ms to " + MaxTerm.String()}, false
	}
	return command.Result{}, true
}

// acquireAgain renews the right of its present holder, with the same token.
// After the holder gave it back, a repeat of the same message gets nothing.
func (t *Table) acquireAgain(h *Holding, c *command.Acquire, nowUnixMS int64) command.Result {
	if h.Held {
		h.Nonce = c.Nonce
		h.TermMS = max(h.TermMS, c.TermMS)
		h.ExpiresUnixMS = nowUnixMS + int64(c.TermMS)
		return command.Result{Fence: h.Token, WaitMS: h.WaitMS}
	}
	if h.Nonce == c.Nonce {
		return command.Result{Code: command.NotOwner, Detail: "the right was given back; acquire it with a new nonce"}
	}
	return t.grant(h, c, nowUnixMS)
}

func (t *Table) grant(h *Holding, c *command.Acquire, nowUnixMS int64) command.Result {
	first := h.Token == 0
	if h.Held {
		h.OwedMS = max(h.OwedMS, h.TermMS)
	}
	t.last++
	h.Token = t.last
	h.Held = true
	h.Session = c.Session
	h.Nonce = c.Nonce
	h.TermMS = c.TermMS
	h.ExpiresUnixMS = nowUnixMS + int64(c.TermMS)
	h.WaitMS = 0
	if !first {
		h.WaitMS = h.OwedMS + uint32((OrderExpiry + NetworkDelay).Milliseconds())
	}
	t.upstreams[h.Upstream] = h
	return command.Result{Fence: h.Token, WaitMS: h.WaitMS}
}

// Drop gives a right back. Its holder gives no order with the token any more.
func (t *Table) Drop(c *command.Drop) command.Result {
	h, ok := t.upstreams[c.Upstream]
	if !ok || h.Token != c.Number {
		return command.Result{Code: command.NotOwner, Detail: "the token is not the newest of the upstream"}
	}
	h.Held = false
	return command.Result{}
}

// EndSession lets others acquire what the session holds. The session's process
// may still run, so its terms are owed to its successors.
func (t *Table) EndSession(id ids.SessionID, nowUnixMS int64) {
	for _, h := range t.upstreams {
		if h.Held && h.Session == id {
			h.ExpiresUnixMS = min(h.ExpiresUnixMS, nowUnixMS)
		}
	}
}

// Sweep forgets upstreams whose last right ended long ago, so that replaced
// VMs do not add up. Tokens of one that returns still grow.
func (t *Table) Sweep(nowUnixMS int64, index uint64) {
	oldest := nowUnixMS - sweepAge.Milliseconds()
	for name, h := range t.upstreams {
		if h.ExpiresUnixMS < oldest && index-h.Touched > sweepCommands {
			delete(t.upstreams, name)
		}
	}
}

// Holdings gives the state of all upstreams by name.
func (t *Table) Holdings() []Holding {
	all := make([]Holding, 0, len(t.upstreams))
	for _, h := range t.upstreams {
		all = append(all, *h)
	}
	slices.SortFunc(all, func(a, b Holding) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
