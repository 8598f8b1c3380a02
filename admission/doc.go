// Package admission decides which requests may use a pool now, which wait and
// which are rejected.
//
// Each pool has a Gate: an adaptive concurrency limit (Limiter) and a queue
// that is fair between workspaces, serves priorities in order and sheds
// requests that can no longer meet their deadline. Every entry VM sets its
// limits from its own observations, so that VMs with unequal shares of the
// traffic need no messages between them.
//
// Gate and Limiter are pure: time is passed in and they start nothing. They are
// not safe for concurrent use. Shared holds the gates of all pools behind a
// mutex for traffic goroutines; its owner calls Advance every few milliseconds.
//
// Example:
//
//	s := admission.NewShared(admission.DefaultOptions())
//	w := s.Offer("engines", admission.Request{
//		Workspace: "house-a", Weight: 2, Priority: admission.Interactive,
//		Deadline: deadline, Need: need,
//	}, now)
//	select {
//	case e := <-w.Done:                // exactly one event
//		if e.Rejection != nil { return e.Rejection.Problem(request) }
//	case <-caller.Done():
//		s.Cancel("engines", w.Ticket, now)
//	}
//	defer s.Release("engines", w.Ticket, admission.Sample{Latency: took}, now)
//
// Release must be called once for each granted ticket, and Cancel for a ticket
// that is given up while it waits. Cancel of a ticket that was granted in the
// meantime releases it.
package admission
