// Package gateway implements the data path of an entry VM in front of the
// runners that a catalog describes. It finds the route and the workspace of a
// request, runs its stages, chooses a runner, sends the request, repeats it
// where that is allowed, and relays the answer. It talks to callers and runners
// through interfaces and is independent of any wire format.
//
// Goroutines that serve requests read immutable snapshots of the directory
// state. A single goroutine owns the assembly of stage calls.
package gateway
