package upstream

import (
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// Attempt identifies one attempt at one stage of one request. The upstream echoes
// it in its response, so that a response to another attempt is detected.
type Attempt struct {
	Request ids.RequestID
	Stage   string
	Number  int
	// OnWritten, if set, is called when the whole request has been written.
	OnWritten func()
	// OnSilent, if set, is called each time Stage or Service has received no byte
	// for the progress timeout. The call then goes on: it ends with its context or
	// its connection. Chat does not call it.
	OnSilent func()
}

// String returns "request/stage/number", as sent in the Damask-Attempt header.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}
