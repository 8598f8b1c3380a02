// Package fence grants leases on upstreams and draws from the weight store's
// rate budget. A lease is the exclusive right to send orders to an upstream; its
// fencing token increases with each new holder. The package is deterministic and
// does no I/O. Times come from the state machine and are Unix times in
// milliseconds.
package fence
