package gateway

import "net/http"

// Responder sends the answer to one caller. Exactly one of Respond,
// Stream and Refuse is called, and only once.
type Responder interface {
	// Respond sends a runner's complete answer.
	Respond(status int, header http.Header, body *Body) error
	// Stream starts an answer whose events follow.
	Stream(status int, header http.Header) (EventWriter, error)
	// Refuse sends an error answer of the gateway itself.
	Refuse(r *Refusal)
}

// EventWriter writes the events of a streamed answer.
type EventWriter interface {
	// Write sends complete events without delay.
	Write(events []byte) error
	// Abort ends the answer in a way that tells the caller that it is incomplete.
	Abort()
}
