package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a response that cannot be passed on", func() {
	ginkgo.DescribeTable("is a damaged one", func(head string) {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, head+"X-Id: a\r\n\r\n"+chunked(cutBody)+"0\r\n\r\n")
		})
		_, err := NewPool().Do(context.Background(), server.addr(), newRequest("a"))
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		Expect(e.Sent && e.ResponseStarted).To(BeTrue())
	},
		// net/http panics when it writes such a status.
		ginkgo.Entry("a status below 100", "HTTP/1.1 042 Odd\r\nContent-Length: 0\r\n"),
		ginkgo.Entry("a status with a sign", "HTTP/1.1 +20 Odd\r\nContent-Length: 0\r\n"),
		ginkgo.Entry("status 0", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n"),
		ginkgo.Entry("another protocol", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n"),
		// Its chunk sizes would become part of the body.
		ginkgo.Entry("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"),
		ginkgo.Entry("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n"),
		ginkgo.Entry("a line without a colon", "HTTP/1.1 200 OK\r\nContent-Le\r\n"),
		ginkgo.Entry("a line break in a value", "HTTP/1.1 200 OK\r\nX-A: a\rb\r\nContent-Length: 0\r\n"),
		ginkgo.Entry("another transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n"),
		ginkgo.Entry("a trailer that would set the length", "HTTP/1.1 200 OK\r\nTrailer: Content-Length\r\nTransfer-Encoding: chunked\r\n"),
	)

	ginkgo.It("may be of HTTP/1.0 with a length", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "HTTP/1.0 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok")
		})
		Expect(send(NewPool(), server.addr(), newRequest("a"))).To(Equal("ok"))
	})

	ginkgo.DescribeTable("has no body that its status or the method forbids", func(method, head string) {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprint(c, head+"X-Id: a\r\nContent-Length: 5\r\n\r\nbytes")
		})
		pool := NewPool()
		r := newRequest("a")
		r.Method = method
		Expect(send(pool, server.addr(), r)).To(BeEmpty())
	},
		ginkgo.Entry("204", "POST", "HTTP/1.1 204 No Content\r\n"),
		ginkgo.Entry("304", "POST", "HTTP/1.1 304 Not Modified\r\n"),
		ginkgo.Entry("HEAD", "HEAD", "HTTP/1.1 200 OK\r\n"),
	)
})
