package entry

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
)

// snapshot is the control state that requests read. It is immutable.
type snapshot struct {
	tree    *settings.Tree
	session ids.SessionID
	lease   lease
	// drain is set when an operator asked this VM to drain.
	drain bool
}

// current says whether new requests may be accepted under the snapshot.
func (s *snapshot) current(now time.Time) bool {
	return s != nil && s.tree != nil && s.lease.valid(now)
}

// owns says whether the session may still dispatch claimed requests.
func (s *snapshot) owns(session ids.SessionID, now time.Time) bool {
	return s.current(now) && s.session == session
}
