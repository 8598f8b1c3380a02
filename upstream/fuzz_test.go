package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
)

// FuzzChatReader guards against a damaged or truncated engine stream that makes
// the reader panic, emits tokens out of order or is accepted without its end.
func FuzzChatReader(f *testing.F) {
	f.Add([]byte(chunkA+chunkB+finishChunk+endMarkerLine), 0)
	f.Add([]byte(chunkA+chunkB+endMarkerLine), 0)
	f.Add([]byte(chunkA+finishChunk+chunkB+endMarkerLine), 3)
	f.Add([]byte(`data: {"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`+"\n"+finishChunk+endMarkerLine), 0)
	f.Add([]byte(`data: {"choices":[],"usage":{"prompt_tokens":-5}}`+"\n"+finishChunk+endMarkerLine), 1)
	f.Add([]byte(": comment\r\nevent: x\r\n"+finishChunk+"data:[DONE]\r\n"), 0)
	f.Add([]byte(finishChunk+"data: [DONE]"), 0)
	f.Add([]byte("data: "+strings.Repeat("x", maxLineBytes+1)+"\n"+finishChunk+endMarkerLine), 0)
	f.Fuzz(func(t *testing.T, stream []byte, skip int) {
		skip = int(uint16(skip))
		next := skip
		r := &chatReader{
			body: bufio.NewReaderSize(bytes.NewReader(stream), maxLineBytes), position: skip,
			emit: func(position int, text string) error {
				next++
				if position != next || text == "" {
					t.Fatalf("token %d %q, want number %d with text", position, text, next)
				}
				return nil
			},
		}
		var end ChatResult
		if err := r.readStream(&end); err != nil {
			return
		}
		if end.LastPosition != next || end.PromptTokens < 0 || end.CachedTokens < 0 {
			t.Fatalf("end %+v after token %d", end, next)
		}
		if !bytes.Contains(stream, endMarker) || !mayContainFinishReason(stream) {
			t.Fatalf("accepted a stream without its end: %q", stream)
		}
	})
}

// mayContainFinishReason reports whether a stream may contain the key
// finish_reason. Part of the key may be written as an escape or as a non-ASCII
// letter that encoding/json folds to ASCII.
func mayContainFinishReason(stream []byte) bool {
	outside := func(r rune) bool { return r > '~' || r == '\\' }
	return bytes.Contains(bytes.ToLower(stream), []byte("finish_reason")) || bytes.IndexFunc(stream, outside) >= 0
}

// FuzzChatReaderCut guards against a stream that is accepted although it was
// truncated before the end of its end marker.
func FuzzChatReaderCut(f *testing.F) {
	f.Add("one", "two", 10)
	f.Add("data: [DONE]", "\n\n", 60)
	f.Fuzz(func(t *testing.T, first, second string, cut int) {
		var b bytes.Buffer
		for _, text := range []string{first, second} {
			b.WriteString(`data: {"choices":[{"delta":{"content":` + quoteJSON(text) + "}}]}\n\n")
		}
		b.WriteString(finishChunk + endMarkerLine)
		stream := b.Bytes()
		markerEnd := len(stream) - len("\n\n")
		truncated := stream[:int(uint32(cut))%(markerEnd+1)]
		run := func(stream []byte) error {
			r := &chatReader{body: bufio.NewReaderSize(bytes.NewReader(stream), maxLineBytes), emit: func(int, string) error { return nil }}
			return r.readStream(&ChatResult{})
		}
		if err := run(truncated); err == nil {
			t.Fatalf("accepted a stream that was truncated after %d of %d bytes", len(truncated), len(stream))
		}
		if err := run(stream); err != nil && len(stream) < maxLineBytes {
			t.Fatalf("complete stream: %v", err)
		}
	})
}

func quoteJSON(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteString(`\` + string(r))
		case r < ' ':
			b.WriteString(" ")
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// FuzzLoadHeader guards against a load header whose counts are negative or
// overflow when added, which would make a busy runner look idle to the router.
func FuzzLoadHeader(f *testing.F) {
	f.Add("running=2;waiting=0;at=1700000000000")
	f.Add("running=-4;waiting=9223372036854775807")
	f.Add(";;=;running=;at=x;running=1=2")
	f.Fuzz(func(t *testing.T, header string) {
		r := parseLoadHeader(header)
		if r.Running < 0 || r.Waiting < 0 || r.AtUnixMS < 0 || r.Running > math.MaxInt-r.Waiting {
			t.Fatalf("%q gives %+v", header, r)
		}
	})
}

// startFuzzRunner starts a runner that responds to each call with *body, which
// the fuzz target sets.
func startFuzzRunner(f *testing.F) (c *Client, addr string, body *[]byte) {
	body = new([]byte)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(*body) }))
	c = NewClient(Options{})
	f.Cleanup(s.Close)
	f.Cleanup(c.Close)
	return c, s.Listener.Addr().String(), body
}

// FuzzMembers guards against members whose address is not ip:port, to which
// requests would be sent, and members without a pool.
func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"seq":1,"at_unix_ms":2,"members":[{"vm":"a","address":"10.0.0.1:80","pool":"p","region":"r","state":"live"}]}`))
	f.Add([]byte(`{"members":[{"address":"10.0.0.1:80/x","pool":"p"},{"address":"","pool":"p"},{"address":"[::1%eth0]:9","pool":"p"},{"address":"1.2.3.4:0","pool":"p"}]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"members":[null,{}]}`))
	c, addr, body := startFuzzRunner(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		*body = raw
		l, err := c.Members(context.Background(), "http://"+addr+"/members")
		if err != nil && len(l.Members) > 0 {
			t.Fatalf("%q gives an error and a list", raw)
		}
		for _, m := range l.Members {
			if _, err := netip.ParseAddrPort(m.Address); err != nil || m.Pool == "" {
				t.Fatalf("%q gives member %+v", raw, m)
			}
		}
	})
}

// FuzzCacheEvents guards against cache events that make the decoder panic and
// against a hash for an event without a prefix.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(`[{"seq":1,"kind":"stored","prefix":"00ff","at_unix_ms":5}]`))
	f.Add([]byte(`[{"seq":18446744073709551615,"kind":"?","prefix":"-1"},{"prefix":"1ffffffffffffffff"},null]`))
	f.Add([]byte(`[`))
	c, addr, body := startFuzzRunner(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		*body = raw
		events, err := c.CacheEvents(context.Background(), addr, 0)
		if err != nil && !errors.Is(err, io.EOF) && CauseOf(err) != ResponseMismatch {
			t.Fatalf("%q: %v", raw, err)
		}
		for i := range events {
			hash, err := events[i].Hash()
			if err == nil && len(events[i].Prefix) == 0 {
				t.Fatalf("event without a prefix gives hash %x", hash)
			}
		}
	})
}
