package transport

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A truncated message, or one with trailing bytes, must never be accepted as a
// complete one.
func TestReadAcceptsCompleteMessagesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		timeout := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "left")) * time.Millisecond
		encoded := encodeRequest(MethodPropose, timeout, body)
		cut := rapid.IntRange(0, len(encoded)).Draw(t, "cut")
		r := bufio.NewReader(bytes.NewReader(encoded[:cut]))
		h, err := readRequestHeader(r)
		var got []byte
		if err == nil {
			got, err = readBody(r, h.bodyLen, 300)
		}
		if (err == nil) != (cut == len(encoded)) {
			t.Fatalf("message truncated to %d of %d bytes: error %v", cut, len(encoded), err)
		}
		if err == nil && (!bytes.Equal(got, body) || h.timeout != timeout || h.method != MethodPropose) {
			t.Fatalf("decoded the wrong header %v or body %q", h, got)
		}
		extended := bufio.NewReader(bytes.NewReader(append(encoded, 0)))
		if h, err := readRequestHeader(extended); err == nil {
			if _, err := readBody(extended, h.bodyLen, 300); err == nil {
				t.Fatal("a trailing byte was accepted")
			}
		}
	})
}
