package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scriptedServer is a server that runs a script on each connection.
type scriptedServer struct {
	listener net.Listener
	accepted atomic.Int64
}

func newScriptedServer(script func(c net.Conn, r *bufio.Reader)) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &scriptedServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			server.accepted.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	ginkgo.DeferCleanup(l.Close)
	return server
}

// newEchoServer answers every request with its ID and a body.
func newEchoServer(body string) *scriptedServer {
	return newScriptedServer(func(c net.Conn, r *bufio.Reader) {
		for {
			req, _ := readRequest(r)
			if req == nil {
				return
			}
			fmt.Fprint(c, responseText(req.Header.Get("X-Id"), body))
		}
	})
}

func (s *scriptedServer) addr() string { return s.listener.Addr().String() }

// readRequest reads one request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{
		Method: "POST", Target: "/p/a%2Fb?q=1", Host: "h.example", Header: http.Header{"X-Id": {id}}, Body: net.Buffers{[]byte("in")},
		Match: func(r *http.Response) Match {
			switch r.Header.Get("X-Id") {
			case id:
				return Own
			case "":
				return Unidentified
			}
			return Foreign
		},
	}
}

func send(p *Pool, addr string, r *Request) (string, error) {
	resp, err := p.Do(context.Background(), addr, r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

var _ = ginkgo.Describe("an exchange", func() {
	ginkgo.It("sends method, target, host and body unchanged and reuses the connection", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			for {
				req, body := readRequest(r)
				if req == nil {
					return
				}
				fmt.Fprint(c, responseText(req.Header.Get("X-Id"), req.Method+" "+req.RequestURI+" "+req.Host+" "+body))
			}
		})
		pool := NewPool()
		for i := range 3 {
			Expect(send(pool, server.addr(), newRequest(fmt.Sprint(i)))).To(Equal("POST /p/a%2Fb?q=1 h.example in"))
		}
		Expect(server.accepted.Load()).To(Equal(int64(1)))
		fresh := newRequest("x")
		fresh.NewConn = true
		_, err := send(pool, server.addr(), fresh)
		Expect(err).NotTo(HaveOccurred())
		Expect(server.accepted.Load()).To(Equal(int64(2)))
	})

	// Guards against an answer of a new process that is taken for one of the process
	// before: only the time of its connection tells them apart.
	ginkgo.It("tells when its connection was opened", func() {
		server := newEchoServer("x")
		pool := NewPool()
		began := time.Now()
		openedAt := func(forceNew bool) (at time.Time) {
			r := newRequest("1")
			r.NewConn, r.OnConnection = forceNew, func(openedAt time.Time) { at = openedAt }
			Expect(send(pool, server.addr(), r)).To(Equal("x"))
			return at
		}
		first := openedAt(false)
		Expect(first).To(BeTemporally(">=", began))
		sent := time.Now()
		Expect(first).To(BeTemporally("<=", sent))
		Expect(openedAt(false)).To(Equal(first), "on the same connection")
		Expect(openedAt(true)).To(BeTemporally(">=", sent))
	})

	ginkgo.It("can be left out: a connection alone shows that something listens", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		pool := NewPool()
		began := time.Now()
		openedAt, err := pool.Connect(context.Background(), l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(openedAt).To(BeTemporally(">=", began))
		Expect(pool.idle).To(BeEmpty())
		Expect(l.Close()).To(Succeed())
		_, err = pool.Connect(context.Background(), l.Addr().String())
		Expect(WasSent(err)).To(BeFalse())
	})

	// Guards against more connections than a runner accepts from all VMs together;
	// it resets those above its limit.
	ginkgo.It("keeps no more idle connections than allowed", func() {
		server := newEchoServer("x")
		pool := NewPool()
		for i := range 3 {
			r := newRequest(fmt.Sprint(i))
			r.MaxIdle = -1
			Expect(send(pool, server.addr(), r)).To(Equal("x"))
		}
		Expect(server.accepted.Load()).To(Equal(int64(3)))
		Expect(pool.idle[server.addr()]).To(BeEmpty())
	})

	// Guards against a late second response to an earlier request being taken for
	// the response to the next one.
	ginkgo.It("skips responses that belong to another request", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			req, _ := readRequest(r)
			fmt.Fprint(c, responseText("old", "not yours")+responseText(req.Header.Get("X-Id"), "yours"))
		})
		Expect(send(NewPool(), server.addr(), newRequest("new"))).To(Equal("yours"))
	})

	// Guards against a further copy of the other response that a later user of the
	// connection, whose responses name no request, takes for its own.
	ginkgo.It("does not reuse a connection on which a response to another request came", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			for {
				req, _ := readRequest(r)
				if req == nil {
					return
				}
				fmt.Fprint(c, responseText("old", "not yours")+responseText(req.Header.Get("X-Id"), "yours"))
			}
		})
		pool := NewPool()
		Expect(send(pool, server.addr(), newRequest("a"))).To(Equal("yours"))
		Expect(send(pool, server.addr(), newRequest("b"))).To(Equal("yours"))
		Expect(server.accepted.Load()).To(Equal(int64(2)))
	})

	ginkgo.It("does not reuse a connection on which data follows the response", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			for {
				req, _ := readRequest(r)
				if req == nil {
					return
				}
				id := req.Header.Get("X-Id")
				fmt.Fprint(c, responseText(id, "first "+id)+responseText(id, "second "+id))
			}
		})
		pool := NewPool()
		for i := range 3 {
			id := fmt.Sprint(i)
			Expect(send(pool, server.addr(), newRequest(id))).To(Equal("first " + id))
		}
		Expect(server.accepted.Load()).To(Equal(int64(3)))
	})

	ginkgo.It("returns an error for a truncated body", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\nshort")
		})
		_, err := send(NewPool(), server.addr(), newRequest("a"))
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
	})

	ginkgo.It("accepts the end of the connection as the end of a body without a length, but not a reset", func() {
		var reset atomic.Bool
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole")
			if reset.Load() {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		Expect(send(NewPool(), server.addr(), newRequest("a"))).To(Equal("whole"))
		reset.Store(true)
		_, err := send(NewPool(), server.addr(), newRequest("a"))
		Expect(err).To(HaveOccurred())
	})

	ginkgo.It("reports that nothing was sent if no connection can be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = send(NewPool(), addr, newRequest("a"))
		Expect(WasSent(err)).To(BeFalse())
	})

	ginkgo.It("reports that the request may have been executed if the connection ends without a response", func() {
		server := newScriptedServer(func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
		_, err := send(NewPool(), server.addr(), newRequest("a"))
		Expect(WasSent(err)).To(BeTrue())
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.ResponseStarted).To(BeFalse())
	})

	ginkgo.It("returns an error for data that is not an HTTP response", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "what is this\r\n\r\n")
		})
		_, err := send(NewPool(), server.addr(), newRequest("a"))
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.ResponseStarted).To(BeTrue())
	})

	// Guards against requests with an unknown outcome because they were sent on a
	// connection that the peer had already closed.
	ginkgo.It("opens a new connection if the idle one was closed by the peer", func() {
		closed := make(chan struct{})
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			req, _ := readRequest(r)
			fmt.Fprint(c, responseText(req.Header.Get("X-Id"), "x"))
			_ = c.Close()
			closed <- struct{}{}
		})
		pool := NewPool()
		for i := range 3 {
			Expect(send(pool, server.addr(), newRequest(fmt.Sprint(i)))).To(Equal("x"))
			<-closed
			// Wait until the FIN has arrived on this side of the loopback.
			Eventually(func() bool {
				pool.mu.Lock()
				defer pool.mu.Unlock()
				for _, c := range pool.idle[server.addr()] {
					if c.isIdle() {
						return false
					}
				}
				return true
			}).Should(BeTrue())
		}
	})

	ginkgo.It("does not reuse a connection whose request was answered before all of it was sent", func() {
		server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, responseText(req.Header.Get("X-Id"), "early"))
			_, _ = io.Copy(io.Discard, r)
		})
		pool := NewPool()
		r := newRequest("a")
		r.Body = net.Buffers{[]byte(strings.Repeat("x", 32<<20))}
		Expect(send(pool, server.addr(), r)).To(Equal("early"))
		pool.mu.Lock()
		defer pool.mu.Unlock()
		Expect(pool.idle[server.addr()]).To(BeEmpty())
	})

	ginkgo.It("fails and closes the connection when the caller's context ends", func() {
		serverReadErr := make(chan error, 1)
		server := newScriptedServer(func(_ net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, err := r.ReadByte()
			serverReadErr <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		doErr := make(chan error, 1)
		go func() {
			_, err := NewPool().Do(ctx, server.addr(), newRequest("a"))
			doErr <- err
		}()
		Eventually(server.accepted.Load).Should(Equal(int64(1)))
		cancel()
		Expect(errors.Is(<-doErr, context.Canceled)).To(BeTrue())
		Expect(<-serverReadErr).To(HaveOccurred())
	})
})

// Guards against another copy of a large body for each runner to which it is sent.
var _ = ginkgo.It("a large body is not copied to be sent", func() {
	const size = 32 << 20
	server := newScriptedServer(func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err == nil {
			fmt.Fprint(c, responseText(req.Header.Get("X-Id"), "x"))
		}
	})
	r := newRequest("a")
	r.Body = net.Buffers{make([]byte, size/2), make([]byte, size/2)}
	read := make(chan struct{})
	r.OnBodyRead = func() { close(read) }
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	Expect(send(NewPool(), server.addr(), r)).To(Equal("x"))
	<-read
	runtime.ReadMemStats(&after)
	Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", size/4))
})

var _ = ginkgo.It("tells when the body is read no more, also if nothing was sent", func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(l.Close()).To(Succeed())
	r := newRequest("a")
	told := 0
	r.OnBodyRead = func() { told++ }
	_, err = send(NewPool(), l.Addr().String(), r)
	Expect(WasSent(err)).To(BeFalse())
	Expect(told).To(Equal(1))
	Expect(send(NewPool(), newEchoServer("x").addr(), r)).To(Equal("x"))
	Expect(told).To(Equal(2))
})
