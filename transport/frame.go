package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"
)

// A request on a stream is: method (1 byte), time left for the call in ms as a
// varint (0 means no limit), length of the body as a varint, body, end of
// stream. A response is: status (1 byte), length of the body as a varint, body,
// end of stream.

type status uint8

const (
	statusOK status = iota
	// statusError carries the message of the handler's error.
	statusError
	// statusRefused carries the reason why the handler was not called.
	statusRefused
)

const (
	headerRoom = 1 + 2*binary.MaxVarintLen64
	// firstRead is how much memory a body gets before its bytes arrive, so
	// that a claimed length alone allocates little.
	firstRead = 64 << 10
)

var errTrailing = errors.New("bytes follow the body of a message")

// uvarintBytes is the encoded length of v.
func uvarintBytes(v uint64) int {
	return len(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), v))
}

// responseBytes is the framed length of a response with a body of n bytes.
func responseBytes(n int) int { return 1 + uvarintBytes(uint64(n)) + n }

type requestHeader struct {
	method Method
	left   time.Duration
	length uint64
}

// bytes is the framed length of the request.
func (h *requestHeader) bytes() int {
	return 1 + uvarintBytes(uint64(h.left.Milliseconds())) + uvarintBytes(h.length) + int(h.length)
}

// timeLeft gives the time until ctx ends, at least 1 ms, or 0 without a limit.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}

func encodeRequest(m Method, left time.Duration, body []byte) []byte {
	b := make([]byte, 0, headerRoom+len(body))
	b = append(b, byte(m))
	b = binary.AppendUvarint(b, uint64(left.Milliseconds()))
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

func encodeResponse(s status, body []byte) []byte {
	b := make([]byte, 0, headerRoom+len(body))
	b = append(b, byte(s))
	b = binary.AppendUvarint(b, uint64(len(body)))
	return append(b, body...)
}

// maxLeft bounds a received time limit, so that it cannot overflow.
const maxLeft = uint64(24 * time.Hour / time.Millisecond)

func readRequestHeader(r *bufio.Reader) (requestHeader, error) {
	m, err := r.ReadByte()
	if err != nil {
		return requestHeader{}, err
	}
	leftMS, err := binary.ReadUvarint(r)
	if err != nil {
		return requestHeader{}, noEOF(err)
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return requestHeader{}, noEOF(err)
	}
	left := time.Duration(min(leftMS, maxLeft)) * time.Millisecond
	return requestHeader{method: Method(m), left: left, length: length}, nil
}

func readResponseHeader(r *bufio.Reader) (status, uint64, error) {
	s, err := r.ReadByte()
	if err != nil {
		return 0, 0, noEOF(err)
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, 0, noEOF(err)
	}
	return status(s), length, nil
}

// readBody reads exactly length bytes and the end of the stream.
func readBody(r *bufio.Reader, length, limit uint64) ([]byte, error) {
	if length > limit {
		return nil, &TooLargeError{Bytes: length, Limit: limit}
	}
	body := make([]byte, 0, min(length, firstRead))
	for uint64(len(body)) < length {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(length, uint64(2*cap(body))))
			copy(grown, body)
			body = grown
		}
		n, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, noEOF(err)
		}
	}
	switch _, err := r.ReadByte(); {
	case err == nil:
		return nil, errTrailing
	case !errors.Is(err, io.EOF):
		return nil, err
	}
	return body, nil
}

// noEOF reports a stream that ended inside a message as cut off.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
