package entry

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// snapshot is the control state that requests read. It is immutable, and its
// methods accept a nil receiver.
type snapshot struct {
	tree    *settings.Tree
	session ids.SessionID
	lease   settingsLease
	// drain is set when an operator has asked this VM to drain.
	drain bool
}

// current reports whether new requests may be accepted under the snapshot.
func (s *snapshot) current(now time.Time) bool {
	return s != nil && s.tree != nil && s.lease.valid(now)
}

// owns reports whether session is current and may dispatch claimed requests.
func (s *snapshot) owns(session ids.SessionID, now time.Time) bool {
	return s.current(now) && s.session == session
}
