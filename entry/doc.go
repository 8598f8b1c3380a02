// Package entry implements the entry VM: it accepts callers' requests, runs
// pipelines and service calls on upstreams, and writes an audit trail for each
// request.
//
// One goroutine, the subscriber, owns the control state (session, settings
// lease and settings tree) and publishes it as an immutable snapshot that
// request goroutines read without locking.
package entry
