package transport_test

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/transport"
)

var _ = ginkgo.Describe("calls over plain TCP", func() {
	self := transport.Peer{VM: "10.0.0.1:7", Role: transport.RoleEntry}

	listen := func(h transport.HandlerFunc) *transport.TCPServer {
		s, err := transport.ListenTCP("127.0.0.1:0", h, transport.Options{})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(s.Close)
		return s
	}
	dial := func(o transport.Options) *transport.TCPClient {
		c := transport.NewTCPClient(self, o)
		ginkgo.DeferCleanup(c.Close)
		return c
	}

	ginkgo.It("run concurrently and carry the caller's identity", func() {
		s := listen(func(_ context.Context, p transport.Peer, m transport.Method, body []byte) ([]byte, error) {
			return append([]byte(string(p.VM)+" "+p.Role+" "+m.String()+" "), body...), nil
		})
		c := dial(transport.Options{})
		answers := make(chan string, 50)
		for range 50 {
			go func() {
				b, err := c.Call(context.Background(), s.Addr(), transport.MethodStatus, []byte("x"))
				if err != nil {
					answers <- err.Error()
					return
				}
				answers <- string(b)
			}()
		}
		for range 50 {
			Expect(<-answers).To(Equal("10.0.0.1:7 entry status x"))
		}
	})

	ginkgo.It("transmit large bodies and handler errors", func() {
		large := make([]byte, 3<<20)
		s := listen(func(_ context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			if len(body) == 0 {
				return nil, errors.New("nothing sent")
			}
			return body, nil
		})
		c := dial(transport.Options{})
		b, err := c.Call(context.Background(), s.Addr(), transport.MethodStatus, large)
		Expect(err).NotTo(HaveOccurred())
		Expect(b).To(HaveLen(len(large)))
		_, err = c.Call(context.Background(), s.Addr(), transport.MethodStatus, nil)
		var remote *transport.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Message).To(Equal("nothing sent"))
	})

	ginkgo.It("report a refused connection as not sent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = dial(transport.Options{}).Call(context.Background(), l.Addr().String(), transport.MethodStatus, nil)
		var notSent *transport.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
	})

	// Guards against a handler that keeps running after its caller has gone.
	ginkgo.It("cancel the handler's context when the caller cancels", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		s := listen(func(ctx context.Context, _ transport.Peer, _ transport.Method, _ []byte) ([]byte, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
		c := dial(transport.Options{})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		_, err := c.Call(ctx, s.Addr(), transport.MethodStatus, nil)
		var unknown *transport.OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Eventually(ended).WithTimeout(10 * time.Second).Should(BeClosed())
	})

	// A middlebox that has dropped its connection state makes a connection silent
	// without closing it. The next call must then open a new connection.
	ginkgo.It("close a silent connection and open a new one", func() {
		s := listen(func(_ context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return body, nil
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		go forwardExceptFirst(l, s.Addr())
		c := dial(transport.Options{ProgressTimeout: 100 * time.Millisecond})
		_, err = c.Call(context.Background(), l.Addr().String(), transport.MethodStatus, nil)
		Expect(errors.Is(err, transport.ErrProgressTimeout)).To(BeTrue(), "%v", err)
		b, err := c.Call(context.Background(), l.Addr().String(), transport.MethodStatus, []byte("again"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(Equal("again"))
	})

	ginkgo.It("keep the connection while a handler takes longer than the progress timeout", func() {
		s := listen(func(_ context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			time.Sleep(500 * time.Millisecond)
			return body, nil
		})
		c := dial(transport.Options{ProgressTimeout: 200 * time.Millisecond})
		b, err := c.Call(context.Background(), s.Addr(), transport.MethodStatus, []byte("slow"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(Equal("slow"))
	})

	ginkgo.It("reject a response body over the limit", func() {
		s := listen(func(_ context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
			return body, nil
		})
		c := dial(transport.Options{MaxBodyBytes: 100})
		_, err := c.Call(context.Background(), s.Addr(), transport.MethodStatus, make([]byte, 1000))
		Expect(err).To(HaveOccurred())
	})
})

// forwardExceptFirst keeps the first connection open without reading from it and
// forwards the others to addr.
func forwardExceptFirst(l net.Listener, addr string) {
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if n == 0 {
			continue
		}
		target, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		go copyBytes(target, c)
		go copyBytes(c, target)
	}
}

func copyBytes(to, from net.Conn) {
	defer to.Close()
	b := make([]byte, 1<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
