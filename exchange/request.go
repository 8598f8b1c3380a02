package exchange

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// Request is an HTTP request. Body is sent with a Content-Length.
type Request struct {
	Method string
	// Target is the request target, path and query, and is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConn forces a new connection.
	NewConn bool
	// MaxIdle is the maximum number of idle connections to keep to the address
	// afterwards; 0 means the pool's default, a negative number none.
	MaxIdle int
	// Match reports whether a response belongs to this request; nil accepts all.
	Match func(*http.Response) Match
	// OnSent, if not nil, is called once the whole request is written. For a large
	// request it is called from another goroutine.
	OnSent func()
}

// Match is the result of comparing a response with a request.
type Match int

const (
	// Own is a response to the request.
	Own Match = iota
	// Foreign is a response to another request. It is discarded.
	Foreign
	// Unidentified is a response that does not say to which request it belongs.
	// It is accepted on a new connection only, on which there is no other request.
	Unidentified
)

func (r *Request) match(resp *http.Response) Match {
	if r.Match == nil {
		return Own
	}
	return r.Match(resp)
}

func (r *Request) notifySent() {
	if r.OnSent != nil {
		r.OnSent()
	}
}

// encode returns the request as it is sent.
func (r *Request) encode() ([]byte, error) {
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.WriteSubset(&b, framingHeaders); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes(), nil
}

// typicalHeadBytes is the expected size of the request line and headers.
const typicalHeadBytes = 1 << 10

// framingHeaders are the headers that encode sets itself or never sends.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true}
