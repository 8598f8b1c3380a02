// Package stream merges the numbered tokens of one or more attempts of an engine
// call into one completion. The reader gets every token exactly once and in
// order, even if attempts fail and are resumed.
//
// Assembler does no I/O and starts no goroutines; the current time is passed in.
// It is not safe for concurrent use; SharedAssembler wraps it with a mutex for
// a writer and several readers.
//
// Example:
//
//	a := stream.NewAssembler(stream.DefaultOptions())
//	resume := a.Begin(1, now)                 // send as Damask-Resume-Tokens
//	tok, verdict, err := a.Append(1, "to", now) // for each chunk
//	if a.Stalled(1, now) { ... }              // fail attempt 1, begin attempt 2
//	resume = a.Begin(2, now)                  // a little before the last token
//	end, err := a.Finish(2, completionTokens, now)
//	tokens, err := a.TokensAfter(lastEventID) // replay for a resumed caller
package stream
