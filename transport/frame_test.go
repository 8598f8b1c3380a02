package transport

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A message that is cut off or has trailing bytes must never be taken for a
// whole one.
func TestFrameReadsWholeMessagesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
		left := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "left")) * time.Millisecond
		whole := encodeRequest(MethodPropose, left, body)
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		r := bufio.NewReader(bytes.NewReader(whole[:cut]))
		h, err := readRequestHeader(r)
		var got []byte
		if err == nil {
			got, err = readBody(r, h.length, 300)
		}
		if (err == nil) != (cut == len(whole)) {
			t.Fatalf("cut at %d of %d: error %v", cut, len(whole), err)
		}
		if err == nil && (!bytes.Equal(got, body) || h.left != left || h.method != MethodPropose) {
			t.Fatalf("read %v %q", h, got)
		}
		long := bufio.NewReader(bytes.NewReader(append(whole, 0)))
		if h, err := readRequestHeader(long); err == nil {
			if _, err := readBody(long, h.length, 300); err == nil {
				t.Fatal("a trailing byte was accepted")
			}
		}
	})
}
