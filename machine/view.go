package machine

import (
	"time"

	"damaskbridge.example/damaskbridge/catalog"

	"damaskbridge.example/damaskbridge/fence"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/ledger"
	"damaskbridge.example/damaskbridge/session"
	"damaskbridge.example/damaskbridge/settings"
)

// Tree gives the present settings.
func (m *Machine) Tree() *settings.Tree { return m.tree }

// Document gives the catalog document in force, nil before the first. It is
// immutable.
func (m *Machine) Document() *catalog.Document { return m.catalog.Document() }

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

// RetireEvery is how often a leader should ask RetireBefore. One Retire removes
// a bounded number of entries, so the interval bounds the rate of removal: at
// 1 s it is 5,000 keys/s.
const RetireEvery = time.Second

// retireLag is how far the ledger's watermark may stay behind while no entry
// is due, which saves commands.
const retireLag = time.Minute

// RetireBefore is the time to propose in a Retire command now, or 0 if none is
// needed.
func (m *Machine) RetireBefore(nowUnixMS int64) int64 {
	before := nowUnixMS - m.tree.Duration("", settings.AnswerRetention).Milliseconds()
	if m.ledger.IsDue(before) || before-m.ledger.Watermark() >= retireLag.Milliseconds() {
		return before
	}
	return 0
}
