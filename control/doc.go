// Package control runs the replicas of a control VM and answers the calls of
// entry VMs, tools and other control VMs. A Replica's goroutine owns the log,
// the disk and the state machine of one group; the Server's calls run on the
// goroutines of the transport and read published views.
package control
