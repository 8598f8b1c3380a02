package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
)

var _ = ginkgo.DescribeTable("a connection may lose its place to one of an address with two places", func(h holder, want bool) {
	Expect(h.mayLose(evictionTime, 2)).To(Equal(want))
},
	ginkgo.Entry("if its address holds more, whatever its progress", holder{places: 4, progressAt: since(0)}, true),
	ginkgo.Entry("not for one place more", holder{places: 3, progressAt: since(0)}, false),
	ginkgo.Entry("if it makes no progress", holder{places: 2, progressAt: since(minStall)}, true),
	ginkgo.Entry("not while it makes some", holder{places: 2, progressAt: since(minStall - 1)}, false),
	ginkgo.Entry("if its request comes very slowly", holder{places: 2, progressAt: since(0), receivingSince: since(minReception)}, true),
	ginkgo.Entry("not while its request is new", holder{places: 2, progressAt: since(0), receivingSince: since(minReception - 1)}, false),
	ginkgo.Entry("not if its address holds fewer, although it makes no progress", holder{places: 1, progressAt: since(time.Hour)}, false),
	ginkgo.Entry("not for its address while its answer is being written", holder{places: 100, progressAt: since(0), answering: true}, false),
	ginkgo.Entry("if its client takes nothing of its answer", holder{places: 2, progressAt: since(minStall), answering: true}, true),
)

// evictionTime is the time at which the table decides.
var evictionTime = time.Unix(1_700_000_000, 0)

func since(d time.Duration) time.Time { return evictionTime.Add(-d) }

// Guards against a crowd at one address that keeps everybody else out.
var _ = ginkgo.Describe("a server whose places are all held at one address", func() {
	const places = 8
	serve := func(h http.HandlerFunc) *Server {
		s, err := Listen("127.0.0.1:0", Limits{HeaderTimeout: time.Minute}, h, &log.Logger{Level: log.PanicLevel})
		Expect(err).NotTo(HaveOccurred())
		s.SetBounds(Bounds{MaxConns: places})
		s.Start()
		ginkgo.DeferCleanup(s.Close)
		return s
	}
	dialFrom := func(s *Server, ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: 10 * time.Second}
		c, err := d.Dial("tcp", s.Addr())
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(c.Close)
		return c
	}
	get := func(c net.Conn) (int, error) {
		_, _ = fmt.Fprint(c, headStart+headEnd)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	// crowd fills all places with requests that send a byte now and then until the end
	// of the spec.
	crowd := func(s *Server, ip string) {
		stop := make(chan struct{})
		ginkgo.DeferCleanup(func() { close(stop) })
		for range places {
			c := dialFrom(s, ip)
			go func() {
				_, _ = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
				for {
					if _, err := c.Write([]byte("x")); err != nil {
						return
					}
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			}()
		}
		Eventually(func() int {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.conns)
		}).WithTimeout(10 * time.Second).Should(Equal(places))
	}
	readBody := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	}

	// working returns the number of connections whose request is being worked on.
	working := func(s *Server) int {
		n := 0
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if _, evictable := c.holder(); !evictable {
				n++
			}
		}
		return n
	}

	ginkgo.It("has one for each new address at once", func() {
		s := serve(readBody)
		crowd(s, "127.0.0.1")
		for n := range places / 2 {
			Expect(get(dialFrom(s, fmt.Sprintf("127.0.0.%d", 2+n)))).To(Equal(http.StatusOK))
		}
		Expect(s.IsFull(time.Now())).To(BeFalse())
	})

	ginkgo.It("has one for a new client at that address after a while", func() {
		s := serve(readBody)
		crowd(s, "127.0.0.1")
		Eventually(func() int {
			status, _ := get(dialFrom(s, "127.0.0.1"))
			return status
		}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	})

	ginkgo.It("does not let that address take the place of a quiet client", func() {
		release := make(chan struct{})
		ginkgo.DeferCleanup(func() { close(release) })
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				<-release
			}
			w.WriteHeader(http.StatusOK)
		})
		quiet := dialFrom(s, "127.0.0.2")
		Expect(get(quiet)).To(Equal(http.StatusOK))
		for range places - 1 {
			_, err := fmt.Fprint(dialFrom(s, "127.0.0.1"), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(working).WithArguments(s).WithTimeout(10 * time.Second).Should(Equal(places - 1))
		s.mu.Lock()
		for c := range s.conns {
			c.mu.Lock()
			c.progressAt = c.progressAt.Add(-minStall)
			c.mu.Unlock()
		}
		s.mu.Unlock()
		for range places {
			_, err := get(dialFrom(s, "127.0.0.1"))
			Expect(err).To(HaveOccurred())
		}
		Expect(get(quiet)).To(Equal(http.StatusOK))
	})

	// Guards against a VM that says that it is ready and takes nobody.
	ginkgo.It("is full while runners work on the requests of all", func() {
		release := make(chan struct{})
		s := serve(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.WriteHeader(http.StatusOK)
		})
		for range places {
			_, err := fmt.Fprint(dialFrom(s, "127.0.0.1"), headStart+headEnd)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(working).WithArguments(s).WithTimeout(10 * time.Second).Should(Equal(places))
		Expect(s.IsFull(time.Now())).To(BeFalse())
		_, err := get(dialFrom(s, "127.0.0.2"))
		Expect(err).To(HaveOccurred())
		Expect(s.IsFull(time.Now())).To(BeTrue())
		Expect(s.IsFull(time.Now().Add(fullTime))).To(BeFalse())
		close(release)
		Eventually(func() int {
			status, _ := get(dialFrom(s, "127.0.0.2"))
			return status
		}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	})
})
