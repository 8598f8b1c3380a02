package buffers

import (
	"io"
	"net/http"
	"time"
)

const (
	// freeDocumentBytes is the part of what a document takes that is not counted.
	freeDocumentBytes = 512 << 10
	// decodedFactor is how much a document takes with what it is decoded into, as a
	// multiple of its size.
	decodedFactor = 4
)

// ReadDocument reads a request's body of up to limit bytes that is decoded as a whole,
// and takes the room for that until release is called. It returns a
// *http.MaxBytesError if the body is larger, a *FullError if it finds no room, and
// os.ErrDeadlineExceeded if it has not arrived by the deadline.
func (m *Memory) ReadDocument(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body []byte, release func(), err error) {
	if r.ContentLength > limit {
		return nil, func() {}, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	if control.SetReadDeadline(deadline) == nil {
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	account := m.NewAccount(Document, freeDocumentBytes)
	body, err = io.ReadAll(account.Reader(http.MaxBytesReader(w, r.Body, limit)))
	if err == nil {
		err = account.Resize(decodedFactor * int64(len(body)))
	}
	return body, account.Close, err
}
