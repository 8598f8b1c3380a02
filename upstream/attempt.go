package upstream

import (
	"fmt"

	"damaskbridge.example/damaskbridge/ids"
)

// Attempt names one attempt at one stage of one request. The upstream returns
// it with its response, so that a late or swapped response is recognized.
type Attempt struct {
	Request ids.RequestID
	Stage   string
	Number  int
}

// String gives "request/stage/number", as sent in the Damask-Attempt header.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}
