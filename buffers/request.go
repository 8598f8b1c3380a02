package buffers

import (
	"net/http"
	"time"
)

// ReadRequest reads the body of a caller's request, of up to limit bytes. It returns
// a *http.MaxBytesError if the body is larger, and a *FullError if the request finds
// no room. Such a body is not read if the head tells its length. A body that has not
// arrived by the deadline ends with os.ErrDeadlineExceeded.
func (m *Memory) ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	if r.Body != http.NoBody && control.SetReadDeadline(deadline) == nil {
		defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	}
	return m.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, HeaderBytes(r.Header))
}

// headerFieldBytes is what a field of a head takes beside its name and value.
const headerFieldBytes = 128

// HeaderBytes returns the memory that the fields of a head take, in bytes.
func HeaderBytes(h http.Header) int64 {
	var n int
	for name, values := range h {
		n += headerFieldBytes + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}
