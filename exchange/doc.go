// Package exchange sends single HTTP/1.1 requests over kept connections.
// Unlike the transport of net/http it never repeats a request by itself, it
// says whether a byte was sent, and it passes over responses that belong to
// another request. Parsing and chunking are those of net/http.
package exchange
