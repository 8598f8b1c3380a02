package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// waitingPast returns a connection that waits and whose idle deadline is over.
func waitingPast() (client net.Conn, server *conn) {
	client, server = tcpPair()
	server.endRequest(time.Now().Add(-time.Hour), time.Minute)
	Expect(server.restoreDeadline()).To(Succeed())
	return client, server
}

// expectUnanswered expects one request without a response for a reason.
func expectUnanswered(s *Server, reason string) {
	Eventually(func() string { return metricsOf(s) }).WithTimeout(3 * time.Second).
		Should(ContainSubstring(`damask_callers_unanswered_total{reason="` + reason + `"} 1`))
}

// arrives sends text and waits until the server's kernel holds it.
func arrives(client net.Conn, server *conn, text string) {
	_, err := io.WriteString(client, text)
	Expect(err).NotTo(HaveOccurred())
	Eventually(server.hasUnreadData).WithTimeout(10 * time.Second).Should(BeTrue())
}

func readText(c *conn) string {
	buffer := make([]byte, 64)
	n, err := c.Read(buffer)
	Expect(err).NotTo(HaveOccurred())
	return string(buffer[:n])
}

var _ = ginkgo.Describe("a request of which fewer than four bytes were read", func() {
	// net/http sets the deadline of a head only when it has four bytes of it.
	ginkgo.It("is not ended by the deadline of the wait before it", func() {
		client, server := tcpPair()
		server.endRequest(time.Now(), time.Hour)
		server.closeIdle()
		arrives(client, server, "GE")
		Expect(readText(server)).To(Equal("GE"))
		next := make(chan error, 1)
		go func() {
			_, err := server.Read(make([]byte, 64))
			next <- err
		}()
		Consistently(next).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
		_, err := io.WriteString(client, "T / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(next).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})

	ginkgo.It("does not lose every deadline when one was noticed late", func() {
		client, server := waitingPast()
		arrives(client, server, "G")
		Expect(readText(server)).To(Equal("G"))
		arrives(client, server, "E")
		Expect(readText(server)).To(Equal("E"))
		server.mu.Lock()
		defer server.mu.Unlock()
		Expect(server.deadline()).NotTo(BeZero())
	})
})

var _ = ginkgo.Describe("the reason of a request without a response", func() {
	// stopAtOnce shuts the server down with no time left.
	stopAtOnce := func(s *Server) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(s.Shutdown(ctx)).To(MatchError(context.Canceled))
	}

	ginkgo.It("is not the caller if the time to stop was over while it was handled", func() {
		started := make(chan struct{})
		s := listen(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		})
		c, _ := dial(s)
		_, err := io.WriteString(c, headStart+headEnd)
		Expect(err).NotTo(HaveOccurred())
		<-started
		stopAtOnce(s)
		expectUnanswered(s, "stopped")
	})

	ginkgo.It("is counted if the time to stop was over while its body was read", func() {
		started := make(chan struct{})
		s := listen(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			if _, err := io.ReadAll(r.Body); err != nil {
				http.Error(w, "incomplete", http.StatusBadRequest)
			}
		})
		c, _ := dial(s)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody")
		Expect(err).NotTo(HaveOccurred())
		<-started
		stopAtOnce(s)
		expectUnanswered(s, "stopped")
	})

	// A caller that does not read keeps the answer from being written.
	ginkgo.It("is counted if the time to stop was over while its response was written", func() {
		started := make(chan struct{})
		s := listen(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			close(started)
			_, _ = w.Write(make([]byte, 64<<20))
		})
		c, _ := dial(s)
		_, err := io.WriteString(c, headStart+headEnd)
		Expect(err).NotTo(HaveOccurred())
		<-started
		stopAtOnce(s)
		expectUnanswered(s, "stopped")
	})

	ginkgo.It("is not the caller if the time to stop was over while its head was read", func() {
		s := listen(func(http.ResponseWriter, *http.Request) {})
		c, _ := dial(s)
		_, err := io.WriteString(c, headStart)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() connState { return stateOf(openConn(s))() }).WithTimeout(10 * time.Second).Should(Equal(stateReceiving))
		stopAtOnce(s)
		expectUnanswered(s, "stopped")
	})
})

// Guards against a lock held while net/http waits for its accept loop, whose state
// hook needs the same lock.
var _ = ginkgo.It("closing the server ends although a connection is being accepted", func() {
	s, err := Listen("127.0.0.1:0", Limits{}, http.NotFoundHandler(), listen(func(http.ResponseWriter, *http.Request) {}).log)
	Expect(err).NotTo(HaveOccurred())
	entered, release := make(chan struct{}), make(chan struct{})
	s.currentServer.httpServer.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		close(entered)
		<-release
		return contextWithConn(ctx, c)
	}
	s.Start()
	dial(s)
	<-entered
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	Eventually(func() error {
		probe, err := net.Dial("tcp", s.Addr())
		if err == nil {
			_ = probe.Close()
		}
		return err
	}).WithTimeout(10 * time.Second).Should(HaveOccurred())
	// Close holds the lock or is about to take it.
	Consistently(closed).WithTimeout(200 * time.Millisecond).ShouldNot(BeClosed())
	close(release)
	Eventually(closed).WithTimeout(5 * time.Second).Should(BeClosed())
})

var _ = ginkgo.It("a raised idle timeout holds also for a deadline that is being handled", func() {
	client, server := tcpPair()
	server.endRequest(time.Now().Add(-time.Hour), time.Minute)
	server.raiseIdleTimeout(2 * time.Hour)
	read := make(chan error, 1)
	go func() {
		_, err := server.readLate(make([]byte, 64), os.ErrDeadlineExceeded)
		read <- err
	}()
	Consistently(read).WithTimeout(200 * time.Millisecond).ShouldNot(Receive())
	_, err := io.WriteString(client, "G")
	Expect(err).NotTo(HaveOccurred())
	Eventually(read).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
})

var _ = ginkgo.Describe("what net/http does on its own", func() {
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

	// A head that is sent slowly must not live on reads that are granted late.
	ginkgo.It("a head sent byte by byte ends with its timeout", func() {
		s := listen(ok)
		s.SetLimits(Limits{HeaderTimeout: 100 * time.Millisecond})
		c, r := dial(s)
		ended := make(chan string, 1)
		go func() {
			b, _ := io.ReadAll(r)
			ended <- string(b)
		}()
		go func() {
			for {
				if _, err := io.WriteString(c, "x"); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive())
	})

	ginkgo.It("pipelined requests are answered while keep-alive is enabled, HTTP/1.0 included", func() {
		s := listen(ok)
		c, r := dial(s)
		_, err := io.WriteString(c, headStart+headEnd+headStart+headEnd+"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"+headStart+headEnd)
		Expect(err).NotTo(HaveOccurred())
		for range 4 {
			_, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	ginkgo.It("a request with 100-continue whose body is not read gets its answer, and the connection ends", func() {
		s := listen(ok)
		c, r := dial(s)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(r, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
	})

	ginkgo.It("an expectation that net/http refuses counts as answered", func() {
		s := listen(ok)
		c, r := dial(s)
		Expect(sendRequest(c, r, "Expect: something\r\n").StatusCode).To(Equal(http.StatusExpectationFailed))
		Expect(s.Shutdown(context.Background())).To(Succeed())
		Expect(metricsOf(s)).NotTo(ContainSubstring("unanswered"))
	})

	ginkgo.It("a connection without a request does not hold the shutdown longer than its head may take", func() {
		s := listen(ok)
		s.SetLimits(Limits{HeaderTimeout: 100 * time.Millisecond})
		dial(s)
		Eventually(func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.conns)
		}).WithTimeout(10 * time.Second).Should(Equal(1))
		Expect(s.Shutdown(context.Background())).To(Succeed())
	})
})
