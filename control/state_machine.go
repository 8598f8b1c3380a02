package control

import (
	"damaskbridge.example/damaskbridge/catalog"
	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// StateMachine is the replicated state. Only the replica's goroutine calls its
// methods.
type StateMachine interface {
	Apply(index uint64, data []byte) command.Result
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// SettingsView is an immutable settings tree, as implemented by *settings.Tree.
type SettingsView interface {
	Version() uint64
	Since(version uint64) ([]settings.Change, bool)
	Encode() ([]byte, error)
}

// Views reads the state machine. Only the replica's goroutine calls its
// functions; the returned values must be immutable.
type Views struct {
	Settings func() SettingsView
	Sessions func() []ids.SessionID
	// IsOpen reports whether a session is open. If it is nil, the leader
	// searches the result of Sessions, which takes time in proportion to the
	// number of sessions.
	IsOpen func(ids.SessionID) bool
	// Document returns the catalog document in force. It is nil for a state
	// machine without one.
	Document func() *catalog.Document
	// Evacuations returns the evacuated data centres. It is nil for a state machine
	// without them.
	Evacuations func() *evacuation.Table
	// RetireCutoff returns the time of the next Retire command, or 0 if none is
	// due.
	RetireCutoff func(nowUnixMS int64) int64
}
