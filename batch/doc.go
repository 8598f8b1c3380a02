// Package batch groups the pieces of many requests into calls to the runners of
// a stage's service. It does no I/O and never blocks; the current time is passed
// in. An Assembler is not safe for concurrent use and is owned by one goroutine.
package batch
