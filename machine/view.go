package machine

import (
	"time"

	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
)

// Tree returns the current settings.
func (m *Machine) Tree() *settings.Tree { return m.tree }

// Document returns the catalog document in effect, nil before the first one. It
// is immutable.
func (m *Machine) Document() *catalog.Document { return m.catalog.Document() }

// Evacuations returns the state of the evacuated data centres, nil before the first
// order. It is immutable.
func (m *Machine) Evacuations() *evacuation.Table { return m.evacuations }

// OpenSessions returns all open sessions, ordered by VM.
func (m *Machine) OpenSessions() []session.Info { return m.sessions.OpenSessions() }

// EndedSessions returns the retained ended sessions, oldest first.
func (m *Machine) EndedSessions() []session.Info { return m.sessions.Ended() }

// Session returns an open or ended session.
func (m *Machine) Session(id ids.SessionID) (session.Info, bool) { return m.sessions.Find(id) }

// Applied returns the index of the last applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// NowUnixMS returns the state machine's time in Unix milliseconds. It never
// decreases.
func (m *Machine) NowUnixMS() int64 { return m.nowUnixMS }

// LedgerStats returns counts of the ledger's entries.
func (m *Machine) LedgerStats() ledger.Stats { return m.ledger.Stats() }

// Leases returns the fencing-token holders of all upstreams.
func (m *Machine) Leases() []fence.Lease { return m.fences.Leases() }

// RetireInterval is the interval at which a leader should call RetireCutoff. One
// Retire command removes a limited number of entries, so the interval limits the
// removal rate: at 1 s it is 5,000 keys/s.
const RetireInterval = time.Second

// maxWatermarkLag is how far the ledger's watermark may lag while no entry is
// due. A longer lag needs fewer Retire commands.
const maxWatermarkLag = time.Minute

// RetireCutoff returns the time to propose in a Retire command at nowUnixMS, or
// 0 if no command is needed. Both are in Unix milliseconds.
func (m *Machine) RetireCutoff(nowUnixMS int64) int64 {
	before := nowUnixMS - m.tree.Duration("", settings.AnswerRetention).Milliseconds()
	if m.ledger.HasDue(before) || before-m.ledger.Watermark() >= maxWatermarkLag.Milliseconds() {
		return before
	}
	return 0
}
