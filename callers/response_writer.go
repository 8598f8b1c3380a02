package callers

import "net/http"

// responseWriter adds "Connection: close" to the response header after
// Server.DisableKeepAlive.
type responseWriter struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader writes the status line and the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if w.server.isKeepAliveDisabled() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes part of the response body.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
