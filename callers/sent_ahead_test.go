package callers

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/internal/sockopt"
)

// Guards against requests that are handled long after their client has left, because
// its close is not seen behind the requests that it has sent ahead.
var _ = ginkgo.Describe("requests that are sent ahead", func() {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"

	for _, apart := range []bool{false, true} {
		name := "together"
		if apart {
			name = "one after the other"
		}
		ginkgo.It("are not handled once their client has left, sent "+name, func() {
			var handled atomic.Int64
			started, left, end := make(chan struct{}, 3), make(chan struct{}, 3), make(chan struct{})
			s := listen(func(_ http.ResponseWriter, r *http.Request) {
				handled.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				started <- struct{}{}
				select {
				case <-r.Context().Done():
					left <- struct{}{}
				case <-end:
				}
			})
			ginkgo.DeferCleanup(func() { close(end) })
			c, _ := dial(s)
			if apart {
				_, _ = io.WriteString(c, request)
				<-started
				_, _ = io.WriteString(c, request+request)
			} else {
				_, _ = io.WriteString(c, request+request+request)
				<-started
			}
			Expect(c.Close()).To(Succeed())
			Eventually(left).WithTimeout(10 * time.Second).Should(Receive())
			Expect(shutdown(s)).To(Succeed())
			Expect(handled.Load()).To(BeEquivalentTo(1))
		})
	}

	ginkgo.It("are not handled if their client has left before the answer is written", func() {
		var handled atomic.Int64
		started, release := make(chan struct{}, 3), make(chan struct{})
		s := listen(func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			started <- struct{}{}
			<-release
			w.WriteHeader(http.StatusOK)
		})
		c, _ := dial(s)
		_, _ = io.WriteString(c, request+request)
		<-started
		server := openConn(s)
		Expect(c.Close()).To(Succeed())
		Eventually(func() bool { return peerClosed(server) }).WithTimeout(10 * time.Second).Should(BeTrue())
		close(release)
		expectUnanswered(s, "caller_left_before")
		Expect(shutdown(s)).To(Succeed())
		Expect(handled.Load()).To(BeEquivalentTo(1))
	})

	ginkgo.It("are all answered while their client stays", func() {
		s := listen(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})
		c, r := dial(s)
		_, _ = io.WriteString(c, request+request+request)
		for range 3 {
			resp, err := http.ReadResponse(r, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(resp.Body)).To(Equal([]byte("hi")))
		}
	})
})

// shutdown shuts the server down, within a time that a failed spec needs.
func shutdown(s *Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.Shutdown(ctx)
}

func peerClosed(c *conn) bool { return sockopt.PeerClosed(c.Conn.(syscall.Conn)) }
