// Package delta keeps named sets of values in step between VMs. A VM that holds
// a set in an earlier state receives only the difference; a VM that holds none,
// or a state that the sender has never had, receives the whole set compressed.
//
// A set is identified by a digest of its content, so that senders that obtained
// the same content independently can continue each other's differences. Whole
// sets are ordered by the time at which their content was read at its origin.
// Times travel as ages, so the VMs' clocks need not agree.
//
// The package does no I/O and reads no clock. The directory uses it for the
// lists of runners and of entry VMs. The load that it answers is a deployment of
// hundreds of VMs that watch thousands of runners, a few of which change every
// second.
package delta
