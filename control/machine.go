package control

import (
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// StateMachine is the replicated state. Only the replica's goroutine calls it.
type StateMachine interface {
	Apply(index uint64, data []byte) command.Result
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// SettingsView is an immutable settings tree, as *settings.Tree is.
type SettingsView interface {
	Version() uint64
	Since(version uint64) ([]settings.Change, bool)
	Encode() ([]byte, error)
}

// Views read the state machine. Only the replica's goroutine calls them; what
// they return must not change afterwards.
type Views struct {
	Settings func() SettingsView
	Sessions func() []ids.SessionID
	// IsOpen says whether a session is open. Nil means a search in Sessions,
	// which costs the leader time in proportion to all sessions.
	IsOpen func(ids.SessionID) bool
	// Document gives the published catalog document in force; nil for a state
	// machine without one.
	Document func() *catalog.Document
	// RetireBefore gives the time of the next Retire command; nil for none.
	RetireBefore func(nowUnixMS int64) int64
}
