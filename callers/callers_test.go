package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

	// A request that was read while its connection was closed as idle ran at a
	// runner, and its caller got no answer.
	ginkgo.It("passes no request on whose connection it has closed as idle", func() {
		c := &conn{Conn: &net.TCPConn{}}
		c.closeIdle()
		Expect(c.begin()).To(BeTrue(), "the first request of a new connection is served")
		c.closeIdle()
		c.end()
		Expect(c.begin()).To(BeTrue(), "a connection with a request is not idle")
		c.end()
		c.closeIdle()
		Expect(c.begin()).To(BeFalse())
	})

	ginkgo.It("closes kept connections without a request and leaves new ones open", func() {
		s := listen(ok)
		kept, keptReader := dial(s)
		Expect(ask(kept, keptReader, "").Close).To(BeFalse())
		fresh, freshReader := dial(s)
		Eventually(func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.open)
		}).WithTimeout(10 * time.Second).Should(Equal(2))
		s.EndKeepAlive()
		_, err := keptReader.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Expect(ask(fresh, freshReader, "").Close).To(BeTrue())
		Eventually(func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.open)
		}).WithTimeout(10 * time.Second).Should(BeZero())
	})

	ginkgo.It("serves every request that it has read while kept connections are ended", func() {
		for range 20 {
			var ran atomic.Int64
			s := listen(func(w http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				w.WriteHeader(http.StatusOK)
			})
			answered := make(chan int, 10)
			for range 10 {
				c, r := dial(s)
				ask(c, r, "")
				go func() {
					n := 1
					for {
						if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
							break
						}
						if _, err := http.ReadResponse(r, nil); err != nil {
							break
						}
						n++
					}
					answered <- n
				}()
			}
			s.EndKeepAlive()
			total := 0
			for range 10 {
				total += <-answered
			}
			Expect(s.Stop(context.Background())).To(Succeed())
			Expect(ran.Load()).To(BeEquivalentTo(total))
		}
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
