package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"
)

// A request on a stream consists of the method (1 byte), the timeout of the
// call in ms as a varint (0 means none), the length of the body as a varint, the
// body and the end of the stream. A response consists of the status (1 byte),
// the length of the body as a varint, the body and the end of the stream.

type status uint8

const (
	statusOK status = iota
	// statusError means that the body is the message of the handler's error.
	statusError
	// statusRefused means that the handler was not called; the body is the
	// reason.
	statusRefused
)

const (
	maxHeaderBytes = 1 + 2*binary.MaxVarintLen64
	// initialBodyBytes is the largest buffer allocated for a body before any of
	// it arrives, so that a false length allocates little memory.
	initialBodyBytes = 64 << 10
)

var errTrailingBytes = errors.New("unexpected bytes after the body of a message")

// uvarintLen returns the encoded length of v in bytes.
func uvarintLen(v uint64) int {
	return len(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), v))
}

// responseLen returns the encoded length of a response with a body of n bytes.
func responseLen(n int) int { return 1 + uvarintLen(uint64(n)) + n }

type requestHeader struct {
	method  Method
	timeout time.Duration
	bodyLen uint64
}

// encodedLen returns the encoded length of the request in bytes.
func (h *requestHeader) encodedLen() int {
	return 1 + uvarintLen(uint64(h.timeout.Milliseconds())) + uvarintLen(h.bodyLen) + int(h.bodyLen)
}

// remainingTime returns the time until the deadline of ctx, at least 1 ms, or 0
// if it has none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}

func encodeRequest(m Method, timeout time.Duration, body []byte) []byte {
	b := make([]byte, 0, maxHeaderBytes+len(body))
	b = append(b, byte(m))
	b = binary.AppendUvarint(b, uint64(timeout.Milliseconds()))
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

func encodeResponse(s status, body []byte) []byte {
	b := make([]byte, 0, maxHeaderBytes+len(body))
	b = append(b, byte(s))
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

// maxTimeoutMillis limits a received timeout, so that its conversion to a
// time.Duration cannot overflow.
const maxTimeoutMillis = uint64(24 * time.Hour / time.Millisecond)

func readRequestHeader(r *bufio.Reader) (requestHeader, error) {
	m, err := r.ReadByte()
	if err != nil {
		return requestHeader{}, err
	}
	timeoutMillis, err := binary.ReadUvarint(r)
	if err != nil {
		return requestHeader{}, unexpectedEOF(err)
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return requestHeader{}, unexpectedEOF(err)
	}
	timeout := time.Duration(min(timeoutMillis, maxTimeoutMillis)) * time.Millisecond
	return requestHeader{method: Method(m), timeout: timeout, bodyLen: length}, nil
}

func readResponseHeader(r *bufio.Reader) (status, uint64, error) {
	s, err := r.ReadByte()
	if err != nil {
		return 0, 0, unexpectedEOF(err)
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, 0, unexpectedEOF(err)
	}
	return status(s), length, nil
}

// readBody reads exactly length bytes, followed by the end of the stream.
func readBody(r *bufio.Reader, length, limit uint64) ([]byte, error) {
	if length > limit {
		return nil, &TooLargeError{Bytes: length, Limit: limit}
	}
	body := make([]byte, 0, min(length, initialBodyBytes))
	for uint64(len(body)) < length {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(length, uint64(2*cap(body))))
			copy(grown, body)
			body = grown
		}
		n, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	switch _, err := r.ReadByte(); {
	case err == nil:
		return nil, errTrailingBytes
	case !errors.Is(err, io.EOF):
		return nil, err
	}
	return body, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for a stream that ended
// in the middle of a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
