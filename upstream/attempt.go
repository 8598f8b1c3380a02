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
}

// String returns "request/stage/number", as sent in the Damask-Attempt header.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}
