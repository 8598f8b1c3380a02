// Package exchange sends single HTTP/1.1 requests over pooled connections. Unlike
// the transport of net/http, it never retries a request, it reports whether any
// byte of a request was sent, and it skips responses that belong to another
// request. Parsing and chunking are left to net/http.
package exchange
