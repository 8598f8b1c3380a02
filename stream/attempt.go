package stream

import "time"

// attempt is the read position in the stream of one engine call.
type attempt struct {
	number int
	// resumeOffset is the number of tokens that the engine was told to skip.
	resumeOffset uint64
	// nextNumber is the number of the token that the attempt must send next.
	nextNumber   uint64
	lastProgress time.Time
	receivedAny  bool
	// paused is true while nothing is read from the engine.
	paused bool
}
