// Package routing selects the upstream for one attempt of one stage.
//
// A selection has three steps: filters drop candidates, scorers add up the cost
// of each remaining candidate in milliseconds, and a picker takes one of those
// whose cost is close to the lowest. Each plugin has its own file. Load reports
// of upstreams lag and may be false. They are therefore corrected by the VM's
// own in-flight counts, discounted by age and checked against the VM's own
// measurements.
//
// Router is deterministic: the caller passes time and randomness in, and it
// starts no goroutines or timers. It is not safe for concurrent use.
// ConcurrentRouter guards a Router with a mutex.
//
// Example:
//
//	r := routing.NewConcurrentRouter(routing.DefaultOptions("lagos"), rand.New(rand.NewPCG(seed, 1)))
//	choice, err := r.Choose(view, routing.Request{Pool: "engines", Model: "m1"}, now)
//	if err != nil { ... }                       // *routing.NoCandidateError
//	...                                         // call choice.Upstream.Address
//	r.Done(choice.Ticket, routing.Outcome{Result: routing.Success, Latency: firstToken}, now)
//	r.ObserveLoad(address, routing.Load{Running: 3, Waiting: 1, At: at}, now)
//
// Every successful Choose must be followed by one Done, also for a cancelled
// attempt. A second Done with the same ticket has no effect.
package routing
