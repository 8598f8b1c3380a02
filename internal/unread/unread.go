// Package unread answers requests whose body is not read.
package unread

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"damaskbridge.example/damaskbridge/buffers"
)

// discardTime is how long the rest of a body is received after the answer.
const discardTime = 2 * time.Second

// Answer has answer write the answer, sends it, and then receives the rest of the
// body without keeping it. A client that sends its whole body before it reads would
// otherwise find its connection reset, and not know that it was refused. The answer
// ends the connection: with full duplex net/http takes whatever follows it for the next
// request, also if that is the rest of a body that could not be read to its end.
func Answer(w http.ResponseWriter, r *http.Request, answer func()) {
	control := http.NewResponseController(w)
	// A client that waits to be told to send its body never sends it. Then, and where
	// this is not supported, net/http decides about the connection.
	duplex := r.Header.Get("Expect") == "" && control.EnableFullDuplex() == nil
	if duplex {
		w.Header().Set("Connection", "close")
	}
	answer()
	if !duplex || control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	// The deadline stays: net/http reads on when it closes the body.
	_, _ = io.Copy(io.Discard, r.Body)
}

// AnswerError answers a request whose body could not be read.
func AnswerError(w http.ResponseWriter, r *http.Request, err error) {
	Answer(w, r, func() { writeError(w, err) })
}

func writeError(w http.ResponseWriter, err error) {
	var full *buffers.FullError
	if errors.As(err, &full) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		http.Error(w, "the body has not arrived in time; send it again", http.StatusRequestTimeout)
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the body is over the limit of "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes; send less", http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, "the body is not complete; send it again", http.StatusBadRequest)
}
