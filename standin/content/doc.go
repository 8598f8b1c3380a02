// Package content defines the deterministic content of the simulated
// upstreams. The simulators produce it and tests and the load generator
// compute it again from the request, so that every response can be checked
// against its own request. All functions are pure and safe for concurrent use.
package content
