package standin

import (
	"encoding/json"
	"net/http"
)

// response is a complete response before it is sent.
type response struct {
	status int
	header http.Header
	body   []byte
}

func jsonResponse(status int, v any) response {
	body, err := json.Marshal(v)
	if err != nil {
		// Only values of this package's own types are passed in.
		panic(err)
	}
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	return response{status: status, header: h, body: append(body, '\n')}
}

func errorResponse(status int, kind, message string) response {
	type detail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	return jsonResponse(status, struct {
		Error detail `json:"error"`
	}{detail{Message: message, Type: kind}})
}

func (r response) copyHeader(h http.Header) {
	for name, values := range r.header {
		h[name] = values
	}
}

func (r response) write(w http.ResponseWriter) {
	r.copyHeader(w.Header())
	w.WriteHeader(r.status)
	// The caller may be gone; there is no one left to tell.
	_, _ = w.Write(r.body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	jsonResponse(status, v).write(w)
}
