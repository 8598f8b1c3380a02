package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("connections of callers", func() {
	It("get a response to a request whose first bytes were read before a drain", func() {
		env := newTestEnv()
		c, err := net.Dial("tcp", env.server.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		reader := bufio.NewReader(c)
		readResponse := func() *http.Response {
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp
		}
		const head = "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testToken + "\r\n"
		_, err = io.WriteString(c, head+"\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(readResponse().Close).To(BeFalse())

		_, err = io.WriteString(c, head)
		Expect(err).NotTo(HaveOccurred())
		drained := make(chan error, 1)
		go func() { drained <- env.server.Drain(context.Background()) }()
		Eventually(func() error {
			probe, err := net.Dial("tcp", env.server.Addr())
			if err == nil {
				_ = probe.Close()
			}
			return err
		}).WithTimeout(10 * time.Second).Should(HaveOccurred())
		_, err = io.WriteString(c, "\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(readResponse().Close).To(BeTrue())
		Eventually(drained).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})
