// Package unread answers requests whose body is not read.
package unread

import (
	"io"
	"net/http"
	"time"
)

// discardTime is how long the rest of a body is received after the answer.
const discardTime = 2 * time.Second

// Answer has answer write the answer, sends it, and then receives the rest of the
// body without keeping it. A client that sends its whole body before it reads would
// otherwise find its connection reset, and not know that it was refused.
func Answer(w http.ResponseWriter, r *http.Request, answer func()) {
	control := http.NewResponseController(w)
	// A client that waits to be told to send its body never sends it. Then, and where
	// this is not supported, net/http decides about the connection.
	duplex := r.Header.Get("Expect") == "" && control.EnableFullDuplex() == nil
	answer()
	if !duplex || control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = control.SetReadDeadline(time.Time{})
}
