// Package gateway is the data path of an entry VM in front of runners that are
// described by a catalog: it finds a request's route and workspace, has its
// stages run, chooses a runner, sends the request, repeats it where that is
// allowed, and passes the answer on. It speaks to callers and runners through
// interfaces and knows no wire format.
//
// Traffic goroutines read immutable snapshots of what the directory says. One
// goroutine owns the assembly of stage calls.
package gateway
