package fence

import (
	"cmp"
	"slices"
	"time"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
)

const (
	// MaxTerm is the maximum term of a lease without a renewal.
	MaxTerm = 60 * time.Second
	// OrderExpiry is the longest time after it was sent that an order may still
	// be executed. Holders set expires_unix_ms of orders within it.
	OrderExpiry = 5 * time.Second
	// NetworkDelay is the longest time that the network delays an order.
	NetworkDelay = time.Second
	// Sweep removes an upstream that nobody holds after both sweepMinAge and
	// sweepMinCommands. The age alone would depend on a correct clock. At any
	// rate up to 250,000 commands/s, that many commands take longer than the
	// sum of MaxTerm, OrderExpiry and NetworkDelay.
	sweepMinAge      = 24 * time.Hour
	sweepMinCommands = 1 << 24
	// maxUpstreamBytes is the maximum length of an upstream's name.
	maxUpstreamBytes = 255
)

// Lease is the state of the lease on one upstream.
type Lease struct {
	Upstream string `cbor:"1,keyasint" json:"upstream"`
	// Token is the latest fencing token of the upstream.
	Token uint64 `cbor:"2,keyasint" json:"token"`
	// Held is false after the holder released its lease.
	Held          bool          `cbor:"3,keyasint,omitempty" json:"held"`
	Session       ids.SessionID `cbor:"4,keyasint" json:"session"`
	Nonce         uint64        `cbor:"5,keyasint" json:"-"`
	TermMS        uint32        `cbor:"6,keyasint" json:"term_ms"`
	ExpiresUnixMS int64         `cbor:"7,keyasint" json:"expires_unix_ms"`
	// UnreleasedTermMS is the longest term of an earlier holder that did not
	// release its lease. The state machine's time follows a wall clock and
	// cannot prove that such a term has expired, so each successor waits for the
	// whole term by its own clock.
	UnreleasedTermMS uint32 `cbor:"8,keyasint,omitempty" json:"owed_ms,omitempty"`
	// WaitMS is the wait that was returned together with the token: how long the
	// holder must wait before its first order if the upstream ignores tokens.
	WaitMS uint32 `cbor:"9,keyasint,omitempty" json:"wait_ms,omitempty"`
	// AcquireIndex is the log index of the latest AcquireLease command that
	// succeeded.
	AcquireIndex uint64 `cbor:"10,keyasint" json:"-"`
}

// Table holds the leases on all upstreams. It is not safe for concurrent use.
type Table struct {
	upstreams map[string]*Lease
	// lastToken is the latest token of any upstream. With one counter for all
	// upstreams, tokens also increase for an upstream that was removed and
	// returns.
	lastToken uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{upstreams: map[string]*Lease{}}
}

// Acquire grants or renews the lease on an upstream. The session must be open.
// index is the log index of the command.
func (t *Table) Acquire(c *command.AcquireLease, nowUnixMS int64, index uint64) command.Result {
	r := t.acquire(c, nowUnixMS)
	if r.Code == command.OK {
		t.upstreams[c.Upstream].AcquireIndex = index
	}
	return r
}

func (t *Table) acquire(c *command.AcquireLease, nowUnixMS int64) command.Result {
	if r, ok := validateAcquire(c); !ok {
		return r
	}
	l, known := t.upstreams[c.Upstream]
	if !known {
		return t.grant(&Lease{Upstream: c.Upstream}, c, nowUnixMS)
	}
	if l.Session == c.Session {
		return t.renew(l, c, nowUnixMS)
	}
	if l.Held && nowUnixMS < l.ExpiresUnixMS {
		return command.Result{Code: command.LeaseHeld, Detail: "held by session " + l.Session.String(), WaitMS: uint32(l.ExpiresUnixMS - nowUnixMS)}
	}
	return t.grant(l, c, nowUnixMS)
}

func validateAcquire(c *command.AcquireLease) (command.Result, bool) {
	if c.Upstream == "" || len(c.Upstream) > maxUpstreamBytes {
		return command.Result{Code: command.Malformed, Detail: "the upstream's name is empty or longer than 255 bytes"}, false
	}
	if c.TermMS == 0 || int64(c.TermMS) > MaxTerm.Milliseconds() {
		return command.Result{Code: command.Malformed, Detail: "the term must be from 1 ms to " + MaxTerm.String()}, false
	}
	return command.Result{}, true
}

// renew extends the lease of its present holder, with the same token. If the
// holder has released the lease, it is granted again with a new token, but not
// to a repeat of the same message.
func (t *Table) renew(l *Lease, c *command.AcquireLease, nowUnixMS int64) command.Result {
	if l.Held {
		l.Nonce = c.Nonce
		l.TermMS = max(l.TermMS, c.TermMS)
		l.ExpiresUnixMS = nowUnixMS + int64(c.TermMS)
		return command.Result{FencingToken: l.Token, WaitMS: l.WaitMS}
	}
	if l.Nonce == c.Nonce {
		return command.Result{Code: command.NotOwner, Detail: "the lease was released; acquire it with a new nonce"}
	}
	return t.grant(l, c, nowUnixMS)
}

func (t *Table) grant(l *Lease, c *command.AcquireLease, nowUnixMS int64) command.Result {
	firstGrant := l.Token == 0
	if l.Held {
		l.UnreleasedTermMS = max(l.UnreleasedTermMS, l.TermMS)
	}
	t.lastToken++
	l.Token = t.lastToken
	l.Held = true
	l.Session = c.Session
	l.Nonce = c.Nonce
	l.TermMS = c.TermMS
	l.ExpiresUnixMS = nowUnixMS + int64(c.TermMS)
	l.WaitMS = 0
	if !firstGrant {
		l.WaitMS = l.UnreleasedTermMS + uint32((OrderExpiry + NetworkDelay).Milliseconds())
	}
	t.upstreams[l.Upstream] = l
	return command.Result{FencingToken: l.Token, WaitMS: l.WaitMS}
}

// Release releases a lease. Its holder sends no more orders with the token.
func (t *Table) Release(c *command.ReleaseLease) command.Result {
	l, ok := t.upstreams[c.Upstream]
	if !ok || l.Token != c.Token {
		return command.Result{Code: command.NotOwner, Detail: "the token is not the latest of the upstream"}
	}
	l.Held = false
	return command.Result{}
}

// EndSession expires the leases of a session, so that other sessions can acquire
// them. The session's process may still be running, so its successors wait for
// its terms.
func (t *Table) EndSession(id ids.SessionID, nowUnixMS int64) {
	for _, l := range t.upstreams {
		if l.Held && l.Session == id {
			l.ExpiresUnixMS = min(l.ExpiresUnixMS, nowUnixMS)
		}
	}
}

// Sweep removes upstreams whose last lease expired long ago, so that entries of
// replaced VMs do not accumulate. The tokens of an upstream that returns still
// increase.
func (t *Table) Sweep(nowUnixMS int64, index uint64) {
	oldest := nowUnixMS - sweepMinAge.Milliseconds()
	for name, l := range t.upstreams {
		if l.ExpiresUnixMS < oldest && index-l.AcquireIndex > sweepMinCommands {
			delete(t.upstreams, name)
		}
	}
}

// Leases returns the leases on all upstreams, sorted by name.
func (t *Table) Leases() []Lease {
	all := make([]Lease, 0, len(t.upstreams))
	for _, l := range t.upstreams {
		all = append(all, *l)
	}
	slices.SortFunc(all, func(a, b Lease) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
