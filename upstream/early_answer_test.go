package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// uploadBytes is more than the kernel's buffers hold, readBytes what a runner reads
	// of it before it answers.
	uploadBytes = 8 << 20
	readBytes   = 8 << 10
)

// startEarlyRunner starts a runner that answers each call once it has read part of it.
// end ends the connection.
func startEarlyRunner(answer string, end func(net.Conn, *bufio.Reader)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go func() {
				r := bufio.NewReader(conn)
				_, _ = io.CopyN(io.Discard, r, readBytes)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nDamask-Attempt: "+testAttempt().String()+"\r\n"+answer)
				end(conn, r)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("an answer that comes while the call is still being written", func() {
	call := func(addr string) (ServiceResult, error) {
		c := NewClient(Options{})
		defer c.Close()
		return c.Service(context.Background(), addr, testAttempt(), ServiceCall{Op: "book", Body: make([]byte, uploadBytes)})
	}

	// The kernel reports a reset once: if the write gets it, the read sees an orderly end.
	DescribeTable("is none if the connection ends before the call is written", func(linger int) {
		addr := startEarlyRunner("\r\npart", func(conn net.Conn, r *bufio.Reader) {
			// The client gets the head meanwhile.
			_, _ = io.CopyN(io.Discard, r, 128*readBytes)
			if linger >= 0 {
				_ = conn.(*net.TCPConn).SetLinger(linger)
			}
		})
		for n := range 100 {
			out, err := call(addr)
			Expect(err).To(HaveOccurred(), "%d: %q", n, out.Body)
			Expect(CauseOf(err)).To(Equal(ConnectionBroken))
			Expect(MayHaveStarted(err)).To(BeTrue())
		}
	},
		Entry("by a reset", 0),
		Entry("by a close", -1),
	)

	DescribeTable("is whole", func(answer string) {
		addr := startEarlyRunner(answer, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
		for range 20 {
			out, err := call(addr)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(out.Body)).To(Equal("whole"))
		}
	},
		Entry("with a length", "Content-Length: 5\r\n\r\nwhole"),
		Entry("in chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
	)

	It("is whole without a length if the runner has read the call", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				answerWholeCall(conn)
			}
		}()
		for range 20 {
			out, err := call(l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			Expect(string(out.Body)).To(Equal("whole"))
		}
	})
})

// answerWholeCall answers a call without a length, after it has read all of it.
func answerWholeCall(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nDamask-Attempt: "+testAttempt().String()+"\r\n\r\nwhole")
}
