// Package control implements the replicas of a control VM and the server that
// answers the calls of entry VMs, tools and other control VMs.
//
// A Replica's goroutine owns the log, the disk and the state machine of one
// raft group. The Server's handlers run on the goroutines of the transport and
// read the views that the replica publishes.
//
// Entry VMs serve requests under a settings lease, which they renew at any
// control VM. A control VM grants a lease on the strength of a confirmation: the
// start of a leader's heartbeat round that a majority has confirmed. Each
// control VM reports its subscribers to the leader, which thereby learns which
// settings version is in effect on every entry VM and which sessions to expire.
package control
