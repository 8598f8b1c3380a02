package callers

import "net/http"

// answer tells the caller with its head whether the connection is kept.
type answer struct {
	http.ResponseWriter
	server *Server
	began  bool
}

// WriteHeader writes the head of the answer.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK && !a.began {
		a.began = true
		if a.server.isEnding() {
			a.Header().Set("Connection", "close")
		}
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (a *answer) Write(b []byte) (int, error) {
	if !a.began {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the writer behind.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
