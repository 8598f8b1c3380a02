// Package admission implements admission control: it decides which requests may
// use a pool now, which are queued and which are rejected.
//
// Each pool has a Gate, which combines an adaptive concurrency limit (Limiter)
// with a queue. The queue is fair between workspaces, serves priorities in order
// and sheds requests that can no longer meet their deadline. Every entry VM
// derives its limits from its own observations, so VMs with unequal shares of
// the traffic do not have to coordinate.
//
// Gate and Limiter are deterministic: the caller passes the time in, and they
// start no goroutines or timers. They are not safe for concurrent use.
// Controller guards the gates of all pools with a mutex; its owner calls Advance
// every few milliseconds.
//
// Example:
//
//	c := admission.NewController(admission.DefaultOptions())
//	w := c.Offer("engines", admission.Request{
//		Workspace: "workspace-a", Weight: 2, Priority: admission.Interactive,
//		Deadline: deadline, RemainingTime: need,
//	}, now)
//	select {
//	case e := <-w.Done:                // exactly one event
//		if e.Rejection != nil { return e.Rejection.Problem(request) }
//	case <-caller.Done():
//		c.Cancel("engines", w.Ticket, now)
//	}
//	defer c.Release("engines", w.Ticket, admission.Sample{Latency: took}, now)
//
// Release must be called once for each granted ticket, and Cancel for a ticket
// that is abandoned while it waits. Cancel releases a ticket that was granted in
// the meantime.
package admission
