package exchange

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request is an HTTP request. Body is sent with a Content-Length.
type Request struct {
	Method string
	// Target is the request target, path and query, and is sent unchanged.
	Target string
	Host   string
	Header http.Header
	// Body is sent as it is, part by part. It must not change until OnBodyRead.
	Body net.Buffers
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
	// OnConnection, if not nil, is called before the request is written, with the time
	// at which the opening of its connection began. The process at its other end was
	// there then.
	OnConnection func(openedAt time.Time)
	// OnStep, if not nil, is called at each step of the exchange, from any goroutine.
	OnStep func(Step)
	// OnBodyRead, if not nil, is called once when Body is read no more, also if it
	// was not sent. If the response comes before all of a large request is sent, it
	// is called from another goroutine, perhaps after the end of Do.
	OnBodyRead func()
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

// stepNotifier returns OnStep, or a function that does nothing.
func (r *Request) stepNotifier() func(Step) {
	if r.OnStep == nil {
		return func(Step) {}
	}
	return r.OnStep
}

func (r *Request) notifySent() {
	r.stepNotifier()(StepWritten)
	if r.OnSent != nil {
		r.OnSent()
	}
}

func (r *Request) notifyBodyRead() {
	if r.OnBodyRead != nil {
		r.OnBodyRead()
	}
}

func (r *Request) bodyLen() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// encodeHead returns the head of the request as it is sent.
func (r *Request) encodeHead() ([]byte, error) {
	bodyLen := r.bodyLen()
	var b bytes.Buffer
	b.Grow(typicalHeadBytes)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.WriteSubset(&b, framingHeaders); err != nil {
		return nil, err
	}
	if bodyLen > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(bodyLen) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// write writes the request. A small one is written at once, the body of a larger one
// without another copy of it.
func (r *Request) write(w io.Writer, head []byte) error {
	if len(head)+r.bodyLen() <= maxSequentialWriteBytes {
		for _, part := range r.Body {
			head = append(head, part...)
		}
		_, err := w.Write(head)
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	for _, part := range r.Body {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// typicalHeadBytes is the expected size of the request line and headers.
const typicalHeadBytes = 1 << 10

// framingHeaders are the headers that encodeHead sets itself or never sends.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Trailer": true}
