package exchange

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// Request is one request. Body is sent with its length.
type Request struct {
	Method string
	// Target is the request target, path and query, and is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
	// MaxIdle bounds the idle connections to the address that are kept
	// afterwards; 0 means the pool's default, a negative number none.
	MaxIdle int
	// Match says whether a response belongs to this request; nil accepts any.
	// Responses that do not are read and dropped.
	Match func(*http.Response) bool
	// Sent is called once the whole request is written; nil means nobody.
	Sent func()
}

func (r *Request) wasSent() {
	if r.Sent != nil {
		r.Sent()
	}
}

// encode gives the bytes of the request.
func (r *Request) encode() ([]byte, error) {
	var b bytes.Buffer
	b.Grow(headRoomBytes + len(r.Body))
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

// headRoomBytes is the usual size of a request's head.
const headRoomBytes = 1 << 10

// framingHeaders are written by encode itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true}
