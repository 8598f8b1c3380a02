package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	earlyHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	// uploadBytes is more than the kernel's buffers hold, readBytes what the peer reads
	// of it before it answers.
	uploadBytes = 8 << 20
	readBytes   = 8 << 10
)

// upload returns a request that is still being written when its peer answers.
func upload() *Request {
	r := newRequest("a")
	r.Body = net.Buffers{make([]byte, uploadBytes)}
	return r
}

var _ = ginkgo.Describe("an answer that comes while the request is still being written", func() {
	// The kernel reports a reset once: if the write gets it, the read sees an orderly end.
	ginkgo.DescribeTable("is none if the connection ends before the request is written",
		func(end func(net.Conn)) {
			server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, r, readBytes)
				fmt.Fprint(c, earlyHead+"\r\npart")
				end(c)
			})
			for n := range 100 {
				body, err := send(NewPool(), server.addr(), upload())
				Expect(err).To(HaveOccurred(), "%d: %q", n, body)
				Expect(WasSent(err)).To(BeTrue())
			}
		},
		ginkgo.Entry("by a reset", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}),
		ginkgo.Entry("by a close", func(c net.Conn) { _ = c.Close() }),
	)

	ginkgo.It("is none if the peer takes no more of the request, once the time is over", func() {
		release := make(chan struct{})
		defer close(release)
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, readBytes)
			fmt.Fprint(c, earlyHead+"\r\npart")
			_ = c.(*net.TCPConn).CloseWrite()
			<-release
		})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		resp, err := NewPool().Do(ctx, server.addr(), upload())
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	ginkgo.DescribeTable("is whole", func(framing string, readsAll bool) {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, readBytes)
			fmt.Fprint(c, earlyHead+framing)
			if readsAll {
				_ = c.(*net.TCPConn).CloseWrite()
			}
			_, _ = io.Copy(io.Discard, r)
		})
		Expect(send(NewPool(), server.addr(), upload())).To(Equal("whole"))
	},
		ginkgo.Entry("with a length", "Content-Length: 5\r\n\r\nwhole", false),
		ginkgo.Entry("in chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false),
		ginkgo.Entry("without either if the peer reads the rest of the request", "\r\nwhole", true),
	)
})
