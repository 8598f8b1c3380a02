package gateway

import "net/http"

// Responder answers one caller. Exactly one of Pass, Stream and Refuse is
// called.
type Responder interface {
	// Pass gives a runner's whole answer.
	Pass(status int, header http.Header, body []byte) error
	// Stream begins an answer that follows in parts.
	Stream(status int, header http.Header) (EventWriter, error)
	// Refuse gives an answer of this system's own.
	Refuse(r *Refusal)
}

// EventWriter takes the parts of a streamed answer.
type EventWriter interface {
	// Write passes whole events on at once.
	Write(events []byte) error
	// Abort ends the answer so that the caller sees it is not complete.
	Abort()
}
