package transport_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/transport"
)

// eventTimeout is the maximum wait for an expected event.
const eventTimeout = 10 * time.Second

func testCredentials() map[ids.VMID]transport.Credentials {
	creds, err := keys.NewEphemeral(
		transport.Peer{VM: "c1", Role: transport.RoleControl},
		transport.Peer{VM: "e1", Role: transport.RoleEntry},
	)
	Expect(err).NotTo(HaveOccurred())
	return creds
}

func listen(creds transport.Credentials, addr string, o transport.Options, h transport.HandlerFunc) *transport.Server {
	s, err := transport.ListenWithOptions(addr, creds, h, o)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = s.Close() })
	return s
}

func client(creds transport.Credentials, o transport.Options) *transport.Client {
	c, err := transport.NewClientWithOptions(creds, o)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	return c
}

func echo(_ context.Context, _ transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
	return body, nil
}

func isNotSent(err error) bool {
	var n *transport.NotSentError
	return errors.As(err, &n)
}

var _ = ginkgo.Describe("calls over QUIC", func() {
	var ctx context.Context
	var creds map[ids.VMID]transport.Credentials
	shortTimeouts := transport.Options{DialTimeout: 500 * time.Millisecond, ProgressTimeout: 200 * time.Millisecond}

	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*eventTimeout)
		ginkgo.DeferCleanup(cancel)
		creds = testCredentials()
	})

	ginkgo.It("transmits the method, the body, remote errors and the certificate's identity", func() {
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, func(_ context.Context, p transport.Peer, m transport.Method, body []byte) ([]byte, error) {
			if m == transport.MethodAdmin {
				return nil, errors.New("no such admin call")
			}
			return fmt.Appendf(nil, "%s %s %s %s", p.VM, p.Role, m, body), nil
		})
		c := client(creds["e1"], transport.Options{})
		reply, err := c.Call(ctx, s.Addr(), transport.MethodRenew, []byte("body"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply)).To(Equal("e1 entry renew body"))
		_, err = c.Call(ctx, s.Addr(), transport.MethodAdmin, nil)
		var remote *transport.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Message).To(Equal("no such admin call"))
	})

	ginkgo.It("allows each role only the methods listed for it", func() {
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, transport.RequireRole(transport.HandlerFunc(echo), map[transport.Method][]string{
			transport.MethodRaft:  {transport.RoleControl},
			transport.MethodRenew: {transport.RoleEntry, transport.RoleControl},
		}).Serve)
		entry, control := client(creds["e1"], transport.Options{}), client(creds["c1"], transport.Options{})
		for _, c := range []struct {
			caller *transport.Client
			m      transport.Method
			ok     bool
		}{
			{entry, transport.MethodRaft, false},
			{entry, transport.MethodRenew, true},
			{entry, transport.MethodAdmin, false},
			{control, transport.MethodRaft, true},
		} {
			_, err := c.caller.Call(ctx, s.Addr(), c.m, nil)
			Expect(err == nil).To(Equal(c.ok), "%v", err)
		}
	})

	ginkgo.It("counts bytes per method and failed calls per reason", func() {
		count := func(name string) uint64 { return metrics.GetOrCreateCounter(name).Get() }
		in, out := `damask_transport_bytes_total{direction="in",method="snapshot"}`, `damask_transport_bytes_total{direction="out",method="snapshot"}`
		remote := `damask_transport_calls_failed_total{reason="remote"}`
		inBefore, outBefore, failedBefore := count(in), count(out), count(remote)
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, func(_ context.Context, _ transport.Peer, m transport.Method, _ []byte) ([]byte, error) {
			if m == transport.MethodAdmin {
				return nil, errors.New("no")
			}
			return make([]byte, 1000), nil
		})
		c := client(creds["e1"], transport.Options{})
		_, err := c.Call(context.WithoutCancel(ctx), s.Addr(), transport.MethodSnapshot, make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Call(ctx, s.Addr(), transport.MethodAdmin, nil)
		Expect(err).To(HaveOccurred())
		// Both ends are in this process: a request of 1+1+1+100 bytes, where
		// no deadline takes one byte, and a response of 1+2+1000.
		Expect(count(in) - inBefore).To(Equal(uint64(103 + 1003)))
		Expect(count(out) - outBefore).To(Equal(uint64(103 + 1003)))
		Expect(count(remote) - failedBefore).To(Equal(uint64(1)))
	})

	ginkgo.It("uses one connection for concurrent calls", func() {
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, echo)
		relay := newRelay(s.Addr())
		c := client(creds["e1"], transport.Options{})
		var wg sync.WaitGroup
		var failed atomic.Int64
		for i := range 100 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				body := bytes.Repeat([]byte{byte(i)}, i*1000)
				reply, err := c.Call(ctx, relay.addr(), transport.MethodRenew, body)
				if err != nil || !bytes.Equal(reply, body) {
					failed.Add(1)
				}
			}()
		}
		wg.Wait()
		Expect(failed.Load()).To(BeZero())
		Expect(relay.allFlows()).To(HaveLen(1))
	})

	ginkgo.It("closes a silent connection and opens a working new one", func() {
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, echo)
		relay := newRelay(s.Addr())
		c := client(creds["e1"], shortTimeouts)
		_, err := c.Call(ctx, relay.addr(), transport.MethodRenew, nil)
		Expect(err).NotTo(HaveOccurred())
		relay.dropAllFlows()
		_, err = c.Call(ctx, relay.addr(), transport.MethodRenew, nil)
		Expect(errors.Is(err, transport.ErrProgressTimeout)).To(BeTrue(), "%v", err)
		Expect(isNotSent(err)).To(BeFalse(), "the server may have received the request")
		_, err = c.Call(ctx, relay.addr(), transport.MethodRenew, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(relay.allFlows()).To(HaveLen(2))
	})

	ginkgo.It("keeps a connection whose peer is alive while its handler is slow", func() {
		// The handler returns only after the client has sent more probes than it
		// sends on a silent connection before closing it.
		var relayRef atomic.Pointer[udpRelay]
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, func(ctx context.Context, _ transport.Peer, _ transport.Method, _ []byte) ([]byte, error) {
			relay := relayRef.Load()
			start := relay.packetsToServer()
			for relay.packetsToServer() < start+30 {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-time.After(time.Millisecond):
				}
			}
			return []byte("done"), nil
		})
		relay := newRelay(s.Addr())
		relayRef.Store(relay)
		reply, err := client(creds["e1"], shortTimeouts).Call(ctx, relay.addr(), transport.MethodStatus, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply)).To(Equal("done"))
	})

	ginkgo.It("reports a failed dial as not sent", func() {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close() //nolint:errcheck // nothing was written
		_, err = client(creds["e1"], shortTimeouts).Call(ctx, socket.LocalAddr().String(), transport.MethodRenew, nil)
		Expect(isNotSent(err)).To(BeTrue(), "%v", err)
	})

	ginkgo.It("reconnects to a restarted server", func() {
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, echo)
		c := client(creds["e1"], shortTimeouts)
		_, err := c.Call(ctx, s.Addr(), transport.MethodRenew, nil)
		Expect(err).NotTo(HaveOccurred())
		addr := s.Addr()
		Expect(s.Close()).To(Succeed())
		Eventually(func() bool {
			_, err := c.Call(ctx, addr, transport.MethodRenew, nil)
			return isNotSent(err)
		}, eventTimeout).Should(BeTrue(), "the connection is known to be closed, so the call is not sent")
		listen(creds["c1"], addr, transport.Options{}, echo)
		_, err = c.Call(ctx, addr, transport.MethodRenew, nil)
		Expect(err).NotTo(HaveOccurred())
	})

	ginkgo.It("reports a call as lost, not as unsent, when its server closes", func() {
		started := make(chan struct{})
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, func(ctx context.Context, _ transport.Peer, _ transport.Method, _ []byte) ([]byte, error) {
			close(started)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		result := make(chan error, 1)
		c := client(creds["e1"], shortTimeouts)
		go func() {
			_, err := c.Call(ctx, s.Addr(), transport.MethodPropose, nil)
			result <- err
		}()
		Eventually(started, eventTimeout).Should(BeClosed())
		Expect(s.Close()).To(Succeed())
		var err error
		Eventually(result, eventTimeout).Should(Receive(&err))
		var unknown *transport.OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		Expect(isNotSent(err)).To(BeFalse())
	})

	ginkgo.It("limits the body size on both ends", func() {
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{MaxBodyBytes: 1000}, func(_ context.Context, _ transport.Peer, m transport.Method, body []byte) ([]byte, error) {
			if m == transport.MethodSnapshot {
				return make([]byte, 1001), nil
			}
			return body, nil
		})
		c := client(creds["e1"], transport.Options{MaxBodyBytes: 2000})
		_, err := c.Call(ctx, s.Addr(), transport.MethodRenew, make([]byte, 2001))
		var large *transport.TooLargeError
		Expect(errors.As(err, &large)).To(BeTrue())
		Expect(isNotSent(err)).To(BeTrue())
		_, err = c.Call(ctx, s.Addr(), transport.MethodRenew, make([]byte, 1001))
		var refused *transport.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		_, err = c.Call(ctx, s.Addr(), transport.MethodSnapshot, nil)
		Expect(err).To(MatchError(ContainSubstring("the limit is 1000")))
		reply, err := c.Call(ctx, s.Addr(), transport.MethodRenew, make([]byte, 1000))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(HaveLen(1000))
	})

	ginkgo.DescribeTable("limits concurrent calls", func(o transport.Options) {
		var running, maxRunning atomic.Int64
		var once sync.Once
		release := make(chan struct{})
		limitReached := make(chan struct{})
		s := listen(creds["c1"], "127.0.0.1:0", o, func(ctx context.Context, _ transport.Peer, _ transport.Method, _ []byte) ([]byte, error) {
			n := running.Add(1)
			defer running.Add(-1)
			for {
				m := maxRunning.Load()
				if n <= m || maxRunning.CompareAndSwap(m, n) {
					break
				}
			}
			if n == 3 {
				once.Do(func() { close(limitReached) })
			}
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil, nil
		})
		c := client(creds["e1"], transport.Options{})
		results := make(chan error, 12)
		for range 12 {
			go func() {
				_, err := c.Call(ctx, s.Addr(), transport.MethodRenew, nil)
				results <- err
			}()
		}
		Eventually(limitReached, eventTimeout).Should(BeClosed())
		close(release)
		for range 12 {
			Eventually(results, eventTimeout).Should(Receive(BeNil()))
		}
		Expect(maxRunning.Load()).To(Equal(int64(3)))
	},
		ginkgo.Entry("on one connection", transport.Options{MaxCallsPerConn: 3}),
		ginkgo.Entry("on the server", transport.Options{MaxCalls: 3}),
	)

	ginkgo.It("cancels the handler's context when the caller cancels", func() {
		started, ended := make(chan struct{}), make(chan struct{})
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, func(ctx context.Context, _ transport.Peer, _ transport.Method, _ []byte) ([]byte, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
		cancellable, cancel := context.WithCancel(ctx)
		result := make(chan error, 1)
		c := client(creds["e1"], transport.Options{})
		go func() {
			_, err := c.Call(cancellable, s.Addr(), transport.MethodRenew, nil)
			result <- err
		}()
		Eventually(started, eventTimeout).Should(BeClosed())
		cancel()
		Eventually(ended, eventTimeout).Should(BeClosed())
		Eventually(result, eventTimeout).Should(Receive(MatchError(context.Canceled)))
	})

	ginkgo.It("drains without aborting an active call or truncating its response", func() {
		started, release := make(chan struct{}), make(chan struct{})
		big := make([]byte, 8<<20)
		s := listen(creds["c1"], "127.0.0.1:0", transport.Options{}, func(_ context.Context, _ transport.Peer, m transport.Method, _ []byte) ([]byte, error) {
			if m == transport.MethodStatus {
				return nil, nil
			}
			close(started)
			<-release
			return big, nil
		})
		c := client(creds["e1"], shortTimeouts)
		result := make(chan error, 1)
		go func() {
			reply, err := c.Call(ctx, s.Addr(), transport.MethodRenew, nil)
			if err == nil && len(reply) != len(big) {
				err = errors.New("the response is truncated")
			}
			result <- err
		}()
		Eventually(started, eventTimeout).Should(BeClosed())
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(ctx) }()
		Eventually(func() error {
			_, err := c.Call(ctx, s.Addr(), transport.MethodStatus, nil)
			return err
		}, eventTimeout).Should(Satisfy(isNotSent), "new calls must fail without being sent, so that they can be retried elsewhere")
		Expect(drained).NotTo(Receive())
		close(release)
		Eventually(result, eventTimeout).Should(Receive(BeNil()))
		Eventually(drained, eventTimeout).Should(Receive(BeNil()))
	})
})
