package machine

import (
	"time"

	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
)

// Tree gives the present settings.
func (m *Machine) Tree() *settings.Tree { return m.tree }

// OpenSessions gives all open sessions, by VM.
func (m *Machine) OpenSessions() []session.Info { return m.sessions.OpenSessions() }

// EndedSessions gives the ended sessions that are still kept, oldest first.
func (m *Machine) EndedSessions() []session.Info { return m.sessions.Ended() }

// Session gives an open or ended session.
func (m *Machine) Session(id ids.SessionID) (session.Info, bool) { return m.sessions.Find(id) }

// Applied is the index of the newest applied command.
func (m *Machine) Applied() uint64 { return m.applied }

// NowUnixMS is the state machine's time. It never goes back.
func (m *Machine) NowUnixMS() int64 { return m.now }

// LedgerStats counts the ledger's content.
func (m *Machine) LedgerStats() ledger.Stats { return m.ledger.Stats() }

// Holdings gives the holders of all upstreams.
func (m *Machine) Holdings() []fence.Holding { return m.fences.Holdings() }

// RetireBefore is the time to propose in the next Retire command.
func (m *Machine) RetireBefore(nowUnixMS int64) int64 {
	return nowUnixMS - m.tree.Duration("", settings.AnswerRetention).Milliseconds()
}

// RetireEvery is how often a leader should propose a Retire command.
const RetireEvery = 10 * time.Second
