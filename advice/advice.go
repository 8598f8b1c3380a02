package advice

import "time"

// Advice is what one answer of a runner says about later requests. The zero value
// says nothing.
type Advice struct {
	// Leaving says that the runner is about to end and wants nothing new.
	Leaving bool
	// Pause is how long the runner wants no request at all from this VM; 0 if it
	// named no time.
	Pause time.Duration
	// Unreadable says that the answer named a time that is none. It asks for nothing.
	Unreadable bool
}

// IsZero reports whether the answer says nothing.
func (a Advice) IsZero() bool { return a == Advice{} }
