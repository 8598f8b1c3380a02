package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"damaskbridge.example/damaskbridge/buffers"
)

var _ = ginkgo.Describe("a server with bounds", func() {
	start := func(b Bounds, h http.HandlerFunc) *Server {
		s, err := Listen("127.0.0.1:0", Limits{}, h, &log.Logger{Level: log.PanicLevel})
		Expect(err).NotTo(HaveOccurred())
		s.SetBounds(b)
		s.Start()
		ginkgo.DeferCleanup(s.Close)
		return s
	}
	dial := func(s *Server) net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(c.Close)
		return c
	}
	get := func(c net.Conn) (int, error) {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	age := func(s *Server) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			c.progressAt = c.progressAt.Add(-minStall)
			c.mu.Unlock()
		}
	}
	open := func(s *Server) int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns)
	}

	ginkgo.It("closes the connection that has made no progress for longest for a new one", func() {
		s := start(Bounds{MaxConns: 2}, ok)
		first, second := dial(s), dial(s)
		Eventually(open).WithArguments(s).Should(Equal(2))
		fmt.Fprint(second, "GET / HT")
		Eventually(func() connState {
			s.mu.Lock()
			defer s.mu.Unlock()
			state := stateNew
			for c := range s.conns {
				c.mu.Lock()
				state = max(state, c.state)
				c.mu.Unlock()
			}
			return state
		}).Should(Equal(stateReceiving))
		age(s)
		Expect(get(dial(s))).To(Equal(http.StatusOK))
		_, err := get(first)
		Expect(err).To(HaveOccurred())
		fmt.Fprint(second, "TP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(second), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against new connections that push out requests which runners work on.
	ginkgo.It("never closes one whose request is being worked on", func() {
		release := make(chan struct{})
		s := start(Bounds{MaxConns: 1}, func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.WriteHeader(http.StatusOK)
		})
		working := make(chan int, 1)
		c := dial(s)
		go func() {
			status, _ := get(c)
			working <- status
		}()
		Eventually(func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				if _, evictable := c.holder(); !evictable {
					return true
				}
			}
			return false
		}).Should(BeTrue())
		age(s)
		_, err := get(dial(s))
		Expect(err).To(HaveOccurred())
		close(release)
		Eventually(working).Should(Receive(Equal(http.StatusOK)))
	})

	ginkgo.It("refuses a head that finds no room, and serves an ordinary one beside it", func() {
		memory := buffers.New(0)
		served := 0
		s := start(Bounds{Memory: memory}, func(w http.ResponseWriter, r *http.Request) {
			served++
			ok(w, r)
		})
		c := dial(s)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: 1\r\n", 200))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(get(dial(s))).To(Equal(http.StatusOK))
		Expect(served).To(Equal(1))
	})

	ginkgo.It("gives the room of a head back", func() {
		memory := buffers.New(1 << 20)
		s := start(Bounds{Memory: memory}, ok)
		c := dial(s)
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: 1\r\n", 200)+"\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(memory.Peak()).To(BeNumerically(">", 0))
		Eventually(memory.Used).Should(BeZero())
		half := dial(s)
		fmt.Fprint(half, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: 1\r\n", 200))
		Eventually(memory.Used).Should(BeNumerically(">", 0))
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Shutdown(ended)
		Eventually(memory.Used).Should(BeZero())
	})
})
