package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// A plain TCP link carries frames: the length of the rest as a varint, the
// kind (1 byte), the call's number as a varint, then the body of the kind. A
// request body is what encodeRequest gives, a response body what
// encodeResponse gives, the first frame of a client is a hello.

type frameKind uint8

const (
	frameHello frameKind = iota + 1
	frameRequest
	frameResponse
	framePing
	framePong
	// frameCancel says that the caller no longer waits for a call.
	frameCancel
)

// frame is one message on a plain link.
type frame struct {
	kind frameKind
	call uint64
	body []byte
}

// helloSeparator stands between the VM and the role in a hello frame.
const helloSeparator = '\n'

func encodeFrame(f frame) []byte {
	head := make([]byte, 0, headerRoom)
	head = append(head, byte(f.kind))
	head = binary.AppendUvarint(head, f.call)
	b := make([]byte, 0, headerRoom+len(head)+len(f.body))
	b = binary.AppendUvarint(b, uint64(len(head)+len(f.body)))
	b = append(b, head...)
	return append(b, f.body...)
}

func readFrame(r *bufio.Reader, limit uint64) (frame, error) {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	if length > limit+headerRoom {
		return frame{}, &TooLargeError{Bytes: length, Limit: limit}
	}
	var rest bytes.Buffer
	// The buffer grows with the bytes that arrive, not with the claimed length.
	if _, err := io.CopyN(&rest, r, int64(length)); err != nil {
		return frame{}, noEOF(err)
	}
	kind, err := rest.ReadByte()
	if err != nil {
		return frame{}, noEOF(err)
	}
	call, err := binary.ReadUvarint(&rest)
	if err != nil {
		return frame{}, noEOF(err)
	}
	return frame{kind: frameKind(kind), call: call, body: rest.Bytes()}, nil
}

func decodeRequestFrame(body []byte, limit uint64) (requestHeader, []byte, error) {
	r := bufio.NewReader(bytes.NewReader(body))
	h, err := readRequestHeader(r)
	if err != nil {
		return h, nil, err
	}
	rest, err := readBody(r, h.length, limit)
	return h, rest, err
}

func decodeResponseFrame(body []byte, limit uint64) (status, []byte, error) {
	r := bufio.NewReader(bytes.NewReader(body))
	s, length, err := readResponseHeader(r)
	if err != nil {
		return s, nil, err
	}
	rest, err := readBody(r, length, limit)
	return s, rest, err
}

// boundUnacknowledged has the kernel end a connection whose bytes stay
// unacknowledged for the given time, as on a silent cut.
func boundUnacknowledged(c net.Conn, limit time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// A kernel without the option leaves the progress timeout in charge.
	_ = sockopt.SetUserTimeout(raw, limit)
}
