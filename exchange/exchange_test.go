package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// peer is a server whose connections are handled by a script.
type peer struct {
	listener net.Listener
	accepted atomic.Int64
}

func newPeer(script func(c net.Conn, r *bufio.Reader)) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &peer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	ginkgo.DeferCleanup(l.Close)
	return p
}

func (p *peer) addr() string { return p.listener.Addr().String() }

// readRequest reads one request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: "POST", Target: "/p/a%2Fb?q=1", Host: "h.example", Header: http.Header{"X-Id": {id}}, Body: []byte("in"),
		Match: func(r *http.Response) bool { return r.Header.Get("X-Id") == id },
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
	ginkgo.It("sends method, target, host and body unchanged and keeps the connection", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			for {
				req, body := readRequest(r)
				if req == nil {
					return
				}
				fmt.Fprint(c, answer(req.Header.Get("X-Id"), req.Method+" "+req.RequestURI+" "+req.Host+" "+body))
			}
		})
		pool := NewPool()
		for i := range 3 {
			Expect(send(pool, p.addr(), request(fmt.Sprint(i)))).To(Equal("POST /p/a%2Fb?q=1 h.example in"))
		}
		Expect(p.accepted.Load()).To(Equal(int64(1)))
		fresh := request("x")
		fresh.Fresh = true
		_, err := send(pool, p.addr(), fresh)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.accepted.Load()).To(Equal(int64(2)))
	})

	// A runner takes a limited number of connections from all VMs together and
	// resets those beyond it.
	ginkgo.It("keeps no more idle connections than it may", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			for {
				req, _ := readRequest(r)
				if req == nil {
					return
				}
				fmt.Fprint(c, answer(req.Header.Get("X-Id"), "x"))
			}
		})
		pool := NewPool()
		for i := range 3 {
			r := request(fmt.Sprint(i))
			r.MaxIdle = -1
			Expect(send(pool, p.addr(), r)).To(Equal("x"))
		}
		Expect(p.accepted.Load()).To(Equal(int64(3)))
		Expect(pool.idle[p.addr()]).To(BeEmpty())
	})

	// A late second answer to an earlier request must not reach the next one.
	ginkgo.It("passes over responses that belong to another request", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			req, _ := readRequest(r)
			fmt.Fprint(c, answer("old", "not yours")+answer(req.Header.Get("X-Id"), "yours"))
		})
		Expect(send(NewPool(), p.addr(), request("new"))).To(Equal("yours"))
	})

	ginkgo.It("does not use a connection again on which more came than the response", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			for {
				req, _ := readRequest(r)
				if req == nil {
					return
				}
				id := req.Header.Get("X-Id")
				fmt.Fprint(c, answer(id, "first "+id)+answer(id, "second "+id))
			}
		})
		pool := NewPool()
		for i := range 3 {
			id := fmt.Sprint(i)
			Expect(send(pool, p.addr(), request(id))).To(Equal("first " + id))
		}
		Expect(p.accepted.Load()).To(Equal(int64(3)))
	})

	ginkgo.It("reports a body that ends early", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\nshort")
		})
		_, err := send(NewPool(), p.addr(), request("a"))
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue(), "%v", err)
	})

	ginkgo.It("takes a body without a length as complete when the connection ends, and not when it is reset", func() {
		var reset atomic.Bool
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nwhole")
			if reset.Load() {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		Expect(send(NewPool(), p.addr(), request("a"))).To(Equal("whole"))
		reset.Store(true)
		_, err := send(NewPool(), p.addr(), request("a"))
		Expect(err).To(HaveOccurred())
	})

	ginkgo.It("says that nothing was sent when no connection can be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = send(NewPool(), addr, request("a"))
		Expect(WasSent(err)).To(BeFalse())
	})

	ginkgo.It("says that the request may have been executed when the connection ends without a response", func() {
		p := newPeer(func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
		_, err := send(NewPool(), p.addr(), request("a"))
		Expect(WasSent(err)).To(BeTrue())
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Answered).To(BeFalse())
	})

	ginkgo.It("reports bytes that are no response", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			readRequest(r)
			fmt.Fprint(c, "what is this\r\n\r\n")
		})
		_, err := send(NewPool(), p.addr(), request("a"))
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Answered).To(BeTrue())
	})

	// A request on a connection that the other end has closed meanwhile would
	// be lost with an unknown outcome.
	ginkgo.It("opens a new connection when the kept one was closed", func() {
		closed := make(chan struct{})
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			req, _ := readRequest(r)
			fmt.Fprint(c, answer(req.Header.Get("X-Id"), "x"))
			_ = c.Close()
			closed <- struct{}{}
		})
		pool := NewPool()
		for i := range 3 {
			Expect(send(pool, p.addr(), request(fmt.Sprint(i)))).To(Equal("x"))
			<-closed
			// The end is on its way to this side of the loopback.
			Eventually(func() bool {
				pool.mu.Lock()
				defer pool.mu.Unlock()
				for _, c := range pool.idle[p.addr()] {
					if c.isQuiet() {
						return false
					}
				}
				return true
			}).Should(BeTrue())
		}
	})

	ginkgo.It("does not keep a connection whose request was answered before it was all sent", func() {
		p := newPeer(func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, answer(req.Header.Get("X-Id"), "early"))
			_, _ = io.Copy(io.Discard, r)
		})
		pool := NewPool()
		r := request("a")
		r.Body = []byte(strings.Repeat("x", 32<<20))
		Expect(send(pool, p.addr(), r)).To(Equal("early"))
		pool.mu.Lock()
		defer pool.mu.Unlock()
		Expect(pool.idle[p.addr()]).To(BeEmpty())
	})

	ginkgo.It("ends when the caller's context ends and closes the connection", func() {
		gone := make(chan error, 1)
		p := newPeer(func(_ net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, err := r.ReadByte()
			gone <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := NewPool().Do(ctx, p.addr(), request("a"))
			failed <- err
		}()
		Eventually(p.accepted.Load).Should(Equal(int64(1)))
		cancel()
		Expect(errors.Is(<-failed, context.Canceled)).To(BeTrue())
		Expect(<-gone).To(HaveOccurred())
	})
})
