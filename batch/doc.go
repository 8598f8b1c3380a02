// Package batch puts the pieces of many requests together into calls to the
// runners of a stage's service. It is pure: the time is passed in, and nothing
// here blocks. An Assembler is not safe for concurrent use; one goroutine owns
// it.
package batch
