package machine

import (
	"fmt"
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
)

// maxUnixMS is the latest timestamp that a command may carry, in the year 9999.
// It keeps sums of timestamps and durations within 64 bits.
var maxUnixMS = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()

// Machine is the replicated state. It is not safe for concurrent use; the
// replica's control goroutine owns it. The settings trees that it returns are
// immutable and may be shared.
type Machine struct {
	applied      uint64
	nowUnixMS    int64
	tree         *settings.Tree
	sessions     *session.Table
	ledger       *ledger.Ledger
	fences       *fence.Table
	weightBudget *fence.Budget
	catalog      catalog.ActiveDocument
	evacuations  *evacuation.Table
}

// New returns an empty state.
func New() *Machine {
	return &Machine{
		tree:         settings.NewTree(),
		sessions:     session.NewTable(),
		ledger:       ledger.New(),
		fences:       fence.NewTable(),
		weightBudget: fence.NewBudget(),
	}
}

// Apply applies the command at the given log index. It returns a result for
// every input: a command that cannot be decoded is Malformed and changes nothing
// but the applied index. Indexes must increase; an index that was already
// applied is Malformed too.
func (m *Machine) Apply(index uint64, data []byte) command.Result {
	if index <= m.applied {
		return malformed("index %d was applied before; the newest is %d", index, m.applied)
	}
	m.applied = index
	c, err := command.Decode(data)
	if err != nil {
		return malformed("the command cannot be read: %v", err)
	}
	if c.NowUnixMS < 0 || c.NowUnixMS > maxUnixMS {
		return malformed("time %d is out of range; correct the leader's clock", c.NowUnixMS)
	}
	if n := countBodies(c); n != 1 {
		return malformed("the command has %d bodies; send one", n)
	}
	m.nowUnixMS = max(m.nowUnixMS, c.NowUnixMS)
	return m.dispatch(c)
}

// countBodies returns the number of operations that c carries.
func countBodies(c *command.Command) int {
	n := 0
	for _, set := range []bool{
		c.OpenSession != nil, c.ExpireSession != nil, c.Reserve != nil, c.Claim != nil,
		c.Record != nil, c.ReleaseKey != nil, c.LookupKey != nil, c.Retire != nil, c.Change != nil,
		c.AcquireLease != nil, c.ReleaseLease != nil, c.DrawWeights != nil, c.CloseSession != nil,
		c.Publish != nil, c.Evacuate != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (m *Machine) dispatch(c *command.Command) command.Result {
	switch {
	case c.OpenSession != nil:
		return m.openSession(c.OpenSession)
	case c.ExpireSession != nil:
		return m.expireSession(c.ExpireSession)
	case c.CloseSession != nil:
		return m.closeSession(c.CloseSession)
	case c.Reserve != nil:
		return m.sessions.Reserve(c.Reserve)
	case c.Claim != nil:
		return m.claim(c.Claim)
	case c.Record != nil:
		return m.ledger.Record(c.Record, m.nowUnixMS)
	case c.ReleaseKey != nil:
		return m.release(c.ReleaseKey)
	case c.LookupKey != nil:
		return m.ledger.Lookup(c.LookupKey)
	case c.Retire != nil:
		return m.retire(c.Retire)
	case c.Change != nil:
		return m.change(c.Change)
	case c.AcquireLease != nil:
		return m.acquire(c.AcquireLease)
	case c.ReleaseLease != nil:
		return m.fences.Release(c.ReleaseLease)
	case c.Publish != nil:
		m.catalog.Publish(c.Publish)
		return command.Result{Code: command.OK}
	case c.Evacuate != nil:
		return m.evacuate(c.Evacuate)
	}
	return m.drawWeights(c.DrawWeights)
}

func (m *Machine) openSession(c *command.OpenSession) command.Result {
	replaced, r := m.sessions.Open(c, m.nowUnixMS)
	if replaced != nil {
		m.releaseSession(*replaced)
	}
	m.sessions.Retire(m.nowUnixMS - m.tree.Duration("", settings.AuditRetention).Milliseconds())
	return r
}

func (m *Machine) expireSession(c *command.ExpireSession) command.Result {
	r := m.sessions.Expire(c.Session, m.nowUnixMS)
	if r.Code == command.OK {
		m.releaseSession(c.Session)
	}
	return r
}

func (m *Machine) closeSession(c *command.CloseSession) command.Result {
	wasOpen := m.sessions.IsOpen(c.Session)
	r := m.sessions.Close(c, m.nowUnixMS)
	if wasOpen && r.Code == command.OK {
		m.releaseSession(c.Session)
	}
	return r
}

// releaseSession marks the claims of an ended session as unknown, expires its
// fencing tokens and discards its weight-store draws.
func (m *Machine) releaseSession(id ids.SessionID) {
	m.ledger.EndSession(id, m.nowUnixMS)
	m.fences.EndSession(id, m.nowUnixMS)
	m.weightBudget.EndSession(id)
}

func (m *Machine) claim(c *command.Claim) command.Result {
	if r := m.sessions.CheckRequest(c.Request); r.Code != command.OK {
		return r
	}
	return m.ledger.Claim(c)
}

// release releases a key. It also blocks later claims of a request that does
// not own the key: its entry VM has given up on the request, and a claim may
// still be in flight.
func (m *Machine) release(c *command.ReleaseKey) command.Result {
	r := m.ledger.Release(c)
	if r.Code == command.NotOwner && m.sessions.CheckRequest(c.Request).Code == command.OK {
		m.ledger.BlockClaim(c.Request)
	}
	return r
}

// retire forgets upstreams whose last fencing token ended long ago and removes
// old answers, but never one younger than the setting ledger.answer_retention,
// whatever time the command specifies.
func (m *Machine) retire(c *command.Retire) command.Result {
	m.fences.Sweep(m.nowUnixMS, m.applied)
	cutoff := m.nowUnixMS - m.tree.Duration("", settings.AnswerRetention).Milliseconds()
	return m.ledger.Retire(min(c.BeforeUnixMS, cutoff), m.nowUnixMS)
}

func (m *Machine) change(c *settings.Change) command.Result {
	change := *c
	change.AtUnixMS = m.nowUnixMS
	change.Version = 0
	tree, r := m.tree.Apply(change)
	m.tree = tree
	return command.Result{Change: &r}
}

func (m *Machine) acquire(c *command.AcquireLease) command.Result {
	if !m.sessions.IsOpen(c.Session) {
		return sessionEnded(c.Session)
	}
	return m.fences.Acquire(c, m.nowUnixMS, m.applied)
}

func (m *Machine) drawWeights(c *command.DrawWeights) command.Result {
	if !m.sessions.IsOpen(c.Session) {
		return sessionEnded(c.Session)
	}
	return m.weightBudget.Draw(c, m.tree.Int("", settings.WeightStoreRate), m.nowUnixMS)
}

func (m *Machine) evacuate(o *evacuation.Order) command.Result {
	next, outcome := m.evacuations.Apply(m.nowUnixMS, o)
	m.evacuations = next
	switch outcome {
	case evacuation.InForce:
		return command.Result{Code: command.OK}
	case evacuation.Outdated:
		return command.Result{Code: command.Outdated, Detail: "another order has changed the data centre; look at its state and order again"}
	}
	return malformed("the order names no data centre that can be kept")
}

func malformed(format string, args ...any) command.Result {
	return command.Result{Code: command.Malformed, Detail: fmt.Sprintf(format, args...)}
}

func sessionEnded(id ids.SessionID) command.Result {
	return command.Result{Code: command.SessionEnded, Detail: "session " + id.String() + " is not open; open one with a new incarnation"}
}
