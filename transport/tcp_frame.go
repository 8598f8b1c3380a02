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

// A plain TCP connection carries frames. A frame consists of the length of the
// rest as a varint, the kind (1 byte), the call ID as a varint and the body. The
// body of a request is encoded by encodeRequest, that of a response by
// encodeResponse. The first frame of a client is a hello.

type frameKind uint8

const (
	frameHello frameKind = iota + 1
	frameRequest
	frameResponse
	framePing
	framePong
	// frameCancel means that the caller no longer waits for the call.
	frameCancel
)

// frame is one message on a plain TCP connection.
type frame struct {
	kind   frameKind
	callID uint64
	body   []byte
}

// helloSeparator separates the VM from the role in a hello frame.
const helloSeparator = '\n'

func encodeFrame(f frame) []byte {
	head := make([]byte, 0, maxHeaderBytes)
	head = append(head, byte(f.kind))
	head = binary.AppendUvarint(head, f.callID)
	b := make([]byte, 0, maxHeaderBytes+len(head)+len(f.body))
	b = binary.AppendUvarint(b, uint64(len(head)+len(f.body)))
	b = append(b, head...)
	return append(b, f.body...)
}

func readFrame(r *bufio.Reader, limit uint64) (frame, error) {
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return frame{}, err
	}
	if length > limit+maxHeaderBytes {
		return frame{}, &TooLargeError{Bytes: length, Limit: limit}
	}
	var rest bytes.Buffer
	// The buffer grows as bytes arrive, so that a false length allocates little
	// memory.
	if _, err := io.CopyN(&rest, r, int64(length)); err != nil {
		return frame{}, unexpectedEOF(err)
	}
	kind, err := rest.ReadByte()
	if err != nil {
		return frame{}, unexpectedEOF(err)
	}
	callID, err := binary.ReadUvarint(&rest)
	if err != nil {
		return frame{}, unexpectedEOF(err)
	}
	return frame{kind: frameKind(kind), callID: callID, body: rest.Bytes()}, nil
}

func decodeRequestFrame(body []byte, limit uint64) (requestHeader, []byte, error) {
	r := bufio.NewReader(bytes.NewReader(body))
	h, err := readRequestHeader(r)
	if err != nil {
		return h, nil, err
	}
	rest, err := readBody(r, h.bodyLen, limit)
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

// setUserTimeout makes the kernel close a connection whose sent bytes stay
// unacknowledged for the given time, for example because a path drops all
// packets.
func setUserTimeout(c net.Conn, limit time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// Without kernel support, only the progress timeout closes such a connection.
	_ = sockopt.SetUserTimeout(raw, limit)
}
