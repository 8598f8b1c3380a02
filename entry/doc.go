// Package entry is the program of an entry VM: it accepts callers' requests,
// runs pipelines and service calls on upstreams and accounts for each request.
//
// One goroutine, the subscriber, owns the control state and publishes an
// immutable snapshot; the goroutines of requests read it.
package entry
