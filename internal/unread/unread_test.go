package unread

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// quotedRequest is a whole request that stands inside a body.
const quotedRequest = "POST /quoted HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// Guards against the rest of a body that is run as a request which no client has sent.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	const limit = 64
	signedChunk := "1;signature=" + strings.Repeat("a7", 256) + "\r\n-\r\n"
	for _, row := range []struct {
		name string
		// begun is sent before the answer, rest after it.
		begun string
		rest  string
		// timeout is that of the body, none if 0.
		timeout time.Duration
		status  int
	}{
		{name: "small chunks with extensions", begun: strings.Repeat(signedChunk, 40) + quotedRequest, status: http.StatusBadRequest},
		{name: "a chunk size that is no number", begun: "x\r\n" + quotedRequest, status: http.StatusBadRequest},
		{name: "a chunk that is longer than its size", begun: "1\r\n---\r\n" + quotedRequest, status: http.StatusBadRequest},
		{name: "a body that is late", begun: "1\r\n-\r\n", rest: quotedRequest, timeout: 50 * time.Millisecond, status: http.StatusRequestTimeout},
		{name: "a body over the limit that stops", begun: "80\r\n" + strings.Repeat("-", 100), rest: quotedRequest, status: http.StatusRequestEntityTooLarge},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			paths := make(chan string, 4)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				paths <- r.URL.Path
				if row.timeout > 0 {
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(row.timeout))
				}
				if _, err := io.ReadAll(http.MaxBytesReader(wrapper{w}, r.Body, limit)); err != nil {
					AnswerError(w, r, err)
				}
			}))
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			fmt.Fprint(c, "POST /sent HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+row.begun)
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(row.status))
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(c, row.rest)
			_, err = r.ReadByte()
			g.Expect(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "the connection goes on: %v", err)
			g.Expect(paths).To(HaveLen(1))
		})
	}
}

// wrapper has the methods of http.ResponseWriter only, as that of package callers:
// http.MaxBytesReader cannot tell net/http to close the connection.
type wrapper struct{ http.ResponseWriter }
