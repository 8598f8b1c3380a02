package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

func listen(h http.HandlerFunc) *Server {
	s, err := Listen("127.0.0.1:0", h, &log.Logger{Level: log.PanicLevel})
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func dial(s *Server) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.Addr())
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(c.Close)
	return c, bufio.NewReader(c)
}

func ask(c net.Conn, r *bufio.Reader, header string) *http.Response {
	_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", header)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp
}

var _ = ginkgo.Describe("the callers' listener", func() {
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

	ginkgo.It("puts changed limits in force for new connections and keeps open ones", func() {
		s := listen(ok)
		old, oldReader := dial(s)
		large := "X-Large: " + strings.Repeat("x", 20<<10) + "\r\n"
		Expect(ask(old, oldReader, large).StatusCode).To(Equal(http.StatusOK))
		s.SetLimits(Limits{MaxHeaderBytes: 4 << 10})
		Expect(ask(old, oldReader, large).StatusCode).To(Equal(http.StatusOK))
		c, r := dial(s)
		Expect(ask(c, r, large).StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	ginkgo.It("ends an idle connection after the limit", func() {
		s := listen(ok)
		s.SetLimits(Limits{IdleTimeout: 50 * time.Millisecond})
		c, r := dial(s)
		ask(c, r, "")
		_, err := r.ReadByte()
		Expect(err).To(Equal(io.EOF))
	})

	ginkgo.It("answers on kept connections after keep-alive was ended, and closes them", func() {
		s := listen(ok)
		busy := make(chan struct{})
		slow := listen(func(w http.ResponseWriter, _ *http.Request) {
			<-busy
			w.WriteHeader(http.StatusOK)
		})
		c, r := dial(slow)
		answer := make(chan *http.Response, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answer <- ask(c, r, "")
		}()
		time.AfterFunc(50*time.Millisecond, func() {
			slow.EndKeepAlive()
			close(busy)
		})
		Expect((<-answer).Close).To(BeTrue())
		_ = s
	})

	// A stop must not cut a request off.
	ginkgo.It("waits at a stop for the requests under way", func() {
		began, finish := make(chan struct{}), make(chan struct{})
		s := listen(func(w http.ResponseWriter, _ *http.Request) {
			close(began)
			<-finish
			w.WriteHeader(http.StatusTeapot)
		})
		c, r := dial(s)
		answer := make(chan int, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answer <- ask(c, r, "").StatusCode
		}()
		<-began
		stopped := make(chan error, 1)
		go func() { stopped <- s.Stop(context.Background()) }()
		Consistently(stopped).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		close(finish)
		Expect(<-answer).To(Equal(http.StatusTeapot))
		Expect(<-stopped).To(Succeed())
		_, err := net.Dial("tcp", s.Addr())
		Expect(err).To(HaveOccurred())
	})
})
