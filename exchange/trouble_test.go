package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessly writes text until the peer closes the connection, or until limit
// bytes are sent, and returns the number of bytes.
func endlessly(c net.Conn, text string, limit int) (sent int) {
	block := []byte(strings.Repeat(text, 4096/len(text)))
	for sent < limit {
		n, err := c.Write(block)
		sent += n
		if err != nil {
			return sent
		}
	}
	return sent
}

// troubleLimit is what a server in trouble sends at most: far more than any
// bound of this package and the socket buffers.
const troubleLimit = 64 << 20

// A server in trouble sends bytes that are no response, without end. Each
// attempt ends within its bounds and closes the connection.
var _ = ginkgo.Describe("a server in trouble", func() {
	sent := make(chan int, 1)
	serve := func(head, text string) *scriptedServer {
		return newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, head)
			sent <- endlessly(c, text, troubleLimit)
		})
	}

	ginkgo.DescribeTable("does not fill the memory",
		func(head, text string) {
			server := serve(head, text)
			pool := NewPool()
			_, err := pool.Do(context.Background(), server.addr(), newRequest("a"))
			var e *Error
			Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
			Expect(e.Sent && e.ResponseStarted).To(BeTrue())
			Expect(<-sent).To(BeNumerically("<", troubleLimit))
			Expect(pool.idle[server.addr()]).To(BeEmpty())
		},
		ginkgo.Entry("with header lines without end", "HTTP/1.1 200 OK\r\n", "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n"),
		ginkgo.Entry("with a header line without end", "HTTP/1.1 200 OK\r\nX-More: ", "aaaaaaaaaaaaaaaa"),
		ginkgo.Entry("with a status line without end", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaa"),
		ginkgo.Entry("with a response to another request without end", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "aaaaaaaaaaaaaaaa"),
		ginkgo.Entry("with interim responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"),
	)

	ginkgo.It("does not keep a caller that stops reading its body", func() {
		server := serve("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "aaaaaaaaaaaaaaaa")
		pool := NewPool()
		resp, err := pool.Do(context.Background(), server.addr(), newRequest("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.CopyN(io.Discard, resp.Body, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(<-sent).To(BeNumerically("<", troubleLimit))
		Expect(pool.idle[server.addr()]).To(BeEmpty())
	})

	ginkgo.It("ends an attempt at its deadline while chunks go on", func() {
		server := serve("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n")
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		resp, err := NewPool().Do(ctx, server.addr(), newRequest("a"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, troubleLimit))
		if err != nil {
			Expect(errors.Is(err, context.DeadlineExceeded) || isTimeout(err)).To(BeTrue(), "%v", err)
		}
	})

	// Guards against a late second copy of a response that names no request, on a
	// connection that is in use again.
	ginkgo.It("does not answer a request with a response that names none, on a reused connection", func() {
		release := make(chan struct{})
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			req, _ := readRequest(r)
			fmt.Fprint(c, responseText(req.Header.Get("X-Id"), "first"))
			if req, _ = readRequest(r); req == nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			<-release
		})
		ginkgo.DeferCleanup(func() { close(release) })
		pool := NewPool()
		Expect(send(pool, server.addr(), newRequest("a"))).To(Equal("first"))
		_, err := send(pool, server.addr(), newRequest("b"))
		Expect(errors.Is(err, errUnidentified)).To(BeTrue(), "%v", err)
		Expect(WasSent(err)).To(BeTrue())
		Expect(server.accepted.Load()).To(Equal(int64(1)))
		Expect(pool.idle[server.addr()]).To(BeEmpty())
	})

	ginkgo.It("may answer without naming the request on a new connection", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
		})
		Expect(send(NewPool(), server.addr(), newRequest("a"))).To(Equal("busy"))
	})

	ginkgo.It("gets no other request on a connection that was abandoned after the whole response", func() {
		server := newEchoServer("x")
		pool := NewPool()
		resp, err := pool.Do(context.Background(), server.addr(), newRequest("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Abandon(resp)
		Expect(resp.Body.Close()).To(Succeed())
		Expect(pool.idle[server.addr()]).To(BeEmpty())
		Abandon(&http.Response{Body: http.NoBody})
	})
})

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
