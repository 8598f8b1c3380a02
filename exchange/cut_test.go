package exchange

import (
	"bufio"
	"fmt"
	"net"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	cutHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Other: some text\r\n"
	cutBody = "hello, whole body"
)

// cutResponse is what a server sends before it closes the connection.
type cutResponse struct {
	sent  string
	reset bool
}

func (r cutResponse) write(c net.Conn) {
	if r.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	fmt.Fprint(c, r.sent)
}

var _ = ginkgo.Describe("a response that breaks off", func() {
	// Guards against a part of a response that is taken for all of it.
	ginkgo.DescribeTable("is none, wherever it does",
		func(whole string, endsWithConnection bool) {
			next := make(chan cutResponse, 1)
			server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
				readRequest(r)
				(<-next).write(c)
			})
			bodyAt := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
			for n := range len(whole) {
				for _, reset := range []bool{false, true} {
					sent := whole[:n]
					next <- cutResponse{sent, reset}
					body, err := send(NewPool(), server.addr(), newRequest("a"))
					if endsWithConnection && n >= bodyAt && !reset {
						Expect(err).NotTo(HaveOccurred(), "%q", sent)
						Expect(body).To(Equal(whole[bodyAt:n]))
						continue
					}
					Expect(err).To(HaveOccurred(), "%q, reset %v: %q", sent, reset, body)
					Expect(WasSent(err)).To(BeTrue())
				}
			}
			next <- cutResponse{sent: whole}
			Expect(send(NewPool(), server.addr(), newRequest("a"))).To(Equal(cutBody))
		},
		ginkgo.Entry("with a length", cutHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(cutBody))+cutBody, false),
		ginkgo.Entry("in chunks", cutHead+"Transfer-Encoding: chunked\r\n\r\n"+chunked(cutBody[:7])+chunked(cutBody[7:])+"0\r\n\r\n", false),
		ginkgo.Entry("with a trailer", cutHead+"Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n"+chunked(cutBody)+"0\r\nX-Sum: 1\r\n\r\n", false),
		// Nothing tells an orderly end from a cut.
		ginkgo.Entry("ended by its connection", cutHead+"\r\n"+cutBody, true),
	)
})

func chunked(s string) string { return fmt.Sprintf("%x;ext=1\r\n%s\r\n", len(s), s) }
