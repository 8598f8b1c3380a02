package transport

import (
	"bufio"
	"bytes"
	"testing"
)

// FuzzFrame guards against a message between VMs that ends the process, or is taken
// for another one than was sent.
func FuzzFrame(f *testing.F) {
	f.Add(encodeFrame(frame{kind: frameRequest, callID: 7, body: []byte("body")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Add([]byte{2, byte(frameResponse), 0x80})
	f.Fuzz(func(t *testing.T, sent []byte) {
		const limit = 1 << 16
		got, err := readFrame(bufio.NewReader(bytes.NewReader(sent)), limit)
		if err != nil {
			return
		}
		_, _, _ = decodeRequestFrame(got.body, limit)
		_, _, _ = decodeResponseFrame(got.body, limit)
		again, err := readFrame(bufio.NewReader(bytes.NewReader(encodeFrame(got))), limit+maxHeaderBytes)
		if err != nil || again.kind != got.kind || again.callID != got.callID || !bytes.Equal(again.body, got.body) {
			t.Fatalf("got %+v, then %+v, %v", got, again, err)
		}
	})
}
