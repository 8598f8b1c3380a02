// Package fence grants the right to give orders to an upstream, with fencing
// tokens that grow from holder to holder, and slices of the weight store's
// rate budget. It is pure; times are those of the state machine, in
// milliseconds since 1970.
package fence
