// Package routing chooses the upstream for one attempt of one stage.
//
// A choice runs a chain: filters drop candidates, scorers add up their costs in
// milliseconds, and a picker takes one of the near-equal cheapest. Each plugin
// has a file of its own. Load reports of upstreams lag and may be false, so
// they are corrected by the VM's own in-flight counts, discounted by age and
// checked against the VM's own measurements.
//
// Router is pure: time and randomness are passed in and it starts nothing. It
// is not safe for concurrent use. Shared wraps it with a mutex for traffic
// goroutines.
//
// Example:
//
//	r := routing.NewShared(routing.DefaultOptions("lagos"), rand.New(rand.NewPCG(seed, 1)))
//	choice, err := r.Choose(view, routing.Request{Pool: "engines", Model: "m1"}, now)
//	if err != nil { ... }                       // *routing.NoCandidateError
//	...                                         // call choice.Upstream.Address
//	r.Done(choice.Ticket, routing.Outcome{Result: routing.Success, Latency: firstToken}, now)
//	r.ObserveLoad(address, routing.Load{Running: 3, Waiting: 1, At: at}, now)
//
// Every Choose must be followed by exactly one Done, also for a cancelled
// attempt; a second Done with the same ticket has no effect.
package routing
