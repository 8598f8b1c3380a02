package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
)

// cutResponse is what a server sends before it closes the connection.
type cutResponse struct {
	sent  []byte
	reset bool
}

// serveCutResponses answers the request of each connection with the next response.
func serveCutResponses(l net.Listener, next <-chan cutResponse) {
	for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
		r := bufio.NewReader(conn)
		for f, err := readFrame(r, 1000); err == nil && f.kind != frameRequest; {
			f, err = readFrame(r, 1000)
		}
		response := <-next
		if response.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_, _ = conn.Write(response.sent)
		_ = conn.Close()
	}
}

// A response that breaks off must never be taken for a whole one, or for one that
// says that the call was not executed.
func TestCutResponseIsNone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	next := make(chan cutResponse, 1)
	go serveCutResponses(l, next)
	for _, s := range []status{statusOK, statusRefused, statusError} {
		encoded := encodeResponse(s, []byte("whole body"))
		whole := encodeFrame(frame{kind: frameResponse, callID: 1, body: encoded})
		for n := range len(whole) {
			for _, reset := range []bool{false, true} {
				next <- cutResponse{whole[:n], reset}
				c := NewTCPClient(Peer{VM: "v", Role: RoleEntry}, Options{})
				body, err := c.Call(context.Background(), l.Addr().String(), MethodStatus, nil)
				_ = c.Close()
				var unknown *OutcomeUnknownError
				if !errors.As(err, &unknown) {
					t.Fatalf("status %d, %d of %d bytes, reset %v: body %q, error %v", s, n, len(whole), reset, body, err)
				}
			}
		}
		for n := range len(encoded) {
			if _, _, err := decodeResponseFrame(encoded[:n], 1000); err == nil {
				t.Fatalf("status %d: %d of %d bytes were accepted", s, n, len(encoded))
			}
		}
		if _, body, err := decodeResponseFrame(encoded, 1000); err != nil || !bytes.Equal(body, []byte("whole body")) {
			t.Fatalf("a whole response: body %q, error %v", body, err)
		}
	}
}
