package stream

import "time"

// attempt is the reading position of one engine call.
type attempt struct {
	number int
	// start is the resume offset that was sent to the engine.
	start uint64
	// next is the number of the next token that the attempt must send.
	next     uint64
	progress time.Time
	received bool
}
