// Package membership keeps an entry VM's view of the upstreams. It joins the
// platform's lagging membership list with what the VM has seen for itself and
// with signs from other entry VMs.
//
// Tracker is pure and belongs to the control goroutine; it is not safe for
// concurrent use. View is immutable: publish it through an atomic.Pointer after
// each change. States that end by themselves carry their end time, so a View
// needs no rebuild as time passes. Shared wraps a Tracker with a mutex for
// processes in which traffic goroutines report directly.
//
// Example:
//
//	t := membership.NewTracker(membership.DefaultOptions(self))
//	t.ApplyList(list, now)             // for each GET /members
//	t.ApplySigns(reply.Signs, now)     // with each Renew
//	t.ObserveDraining(address, now)    // Damask-Draining or draining in /load
//	t.ObserveRefused(address, now)     // connection refused
//	t.ObserveSuccess(address, now)     // any other response, also of /load
//	renew.Signs = t.Signs(now)
//	view.Store(t.View())
//	for _, u := range view.Load().Pool("engines") {
//		if u.Usable(now) { ... u.Trust(now) ... }
//	}
package membership
