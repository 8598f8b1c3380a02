package control

import (
	"time"

	"damaskbridge.example/damaskbridge/ids"
)

// drainRequests holds the operators' recent requests to drain entry VMs, with
// the time at which each arrived.
type drainRequests map[ids.SessionID]time.Time

// drainRequestTTL is how long a drain request is passed on. It covers the
// longest time that an entry VM takes to move to another control VM.
const drainRequestTTL = 30 * time.Second

func (d drainRequests) add(now time.Time, list []ids.SessionID) {
	for _, id := range list {
		if _, ok := d[id]; !ok {
			d[id] = now
		}
	}
}

func (d drainRequests) list(now time.Time) []ids.SessionID {
	var out []ids.SessionID
	for id, since := range d {
		if now.Sub(since) > drainRequestTTL {
			delete(d, id)
			continue
		}
		out = append(out, id)
	}
	return out
}
