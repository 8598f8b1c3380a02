// Package membership tracks the state of the upstreams as one entry VM sees it.
// It merges three sources: the platform's membership list, which lags, the VM's
// own observations, and the observations sent by other entry VMs.
//
// Tracker performs no I/O, takes the time as an argument and is not safe for
// concurrent use. View is an immutable snapshot: publish it through an
// atomic.Pointer after each change. States that expire carry their end time, so
// a View need not be rebuilt as time passes. ConcurrentTracker guards a Tracker
// with a mutex for processes in which several goroutines report observations.
//
// Example:
//
//	t := membership.NewTracker(membership.DefaultOptions(self))
//	t.ApplyList(list, now)                // after each GET /members
//	t.ApplyObservations(reply.Observations, now) // with each Renew
//	t.ObserveDraining(address, now)       // Damask-Draining or draining in /load
//	t.ObserveRefused(address, now)        // connection refused
//	t.ObserveSuccess(address, now)        // any other response, also of /load
//	renew.Observations = t.Observations(now)
//	view.Store(t.View())
//	for _, u := range view.Load().Pool("engines") {
//		if u.Usable(now) { ... u.Weight(now) ... }
//	}
package membership
