package callers

import (
	"flag"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	// No failure file: a failure repeats by its seed.
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against bytes of a request that are handed out together with those of the
// request before it.
func TestFramer(t *testing.T) {
	for _, row := range []struct {
		name   string
		head   string
		length int64
		body   string
	}{
		{name: "without a body", head: "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{name: "with bare line ends", head: "GET / HTTP/1.1\nHost: h\n\n"},
		{name: "after empty lines", head: "\r\n\r\nGET / HTTP/1.1\r\n\r\n"},
		{name: "with a length", head: "POST / HTTP/1.1\r\n\r\n", length: 5, body: "a\n\r\n\n"},
		{name: "in chunks", head: "POST / HTTP/1.1\r\n\r\n", length: -1, body: "3\r\na\n\n\r\n1F;x=0\r\n" + strings.Repeat("\n", 31) + "\r\n0\r\n\r\n"},
		{name: "in chunks with a trailer", head: "POST / HTTP/1.1\r\n\r\n", length: -1, body: "1\r\na\r\n0\r\nA: b\r\n\r\n"},
	} {
		t.Run(row.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				g := NewWithT(t)
				var f framer
				rest := []byte(row.head + row.body)
				take := func(want string) {
					for got := 0; got < len(want); {
						n := f.take(rest[:rapid.IntRange(1, len(rest)).Draw(t, "read")])
						g.Expect(n).To(BeNumerically(">", 0))
						got += n
						g.Expect(got).To(BeNumerically("<=", len(want)))
						rest = rest[n:]
					}
				}
				take(row.head)
				f.beginBody(row.length)
				g.Expect(f.headBegun()).To(BeFalse())
				take(row.body)
				g.Expect(f.headBegun()).To(BeFalse())
				g.Expect(f.take([]byte("G"))).To(Equal(1))
				g.Expect(f.headBegun()).To(BeTrue())
			})
		})
	}
}

// Guards against an end that is found in a body which net/http refuses.
func TestFramerFindsNoEndOfMalformedChunks(t *testing.T) {
	for _, body := range []string{"x\r\n", "\r\n", ";e\r\n", "0x1\r\n", "1 ;e\r\n", "1 1\r\n", "1\r\nab\r\n", "g\r\n", "1\na\r\n", "1;\re\r\na\r\n", "1\r\na\n", "1\r\na\r\r\n"} {
		t.Run(body, func(t *testing.T) {
			g := NewWithT(t)
			var f framer
			f.beginBody(-1)
			text := []byte(body + "\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n")
			for len(text) > 0 {
				text = text[f.take(text):]
			}
			g.Expect(f.phase).To(Equal(phaseUnknown))
		})
	}
}

// Guards against a body that is never handed out whole because its framing was not
// understood.
func TestFramerHandsOutWhatItCannotFollow(t *testing.T) {
	g := NewWithT(t)
	var f framer
	f.beginBody(-1)
	text := []byte("fffffffffffffffff\r\nabc")
	g.Expect(f.take(text)).To(Equal(len(text)))
	f.reset()
	g.Expect(f.take([]byte("G"))).To(Equal(1))
	g.Expect(f.headBegun()).To(BeTrue())
}
