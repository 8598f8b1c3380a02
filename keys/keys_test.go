package keys

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/transport"
)

const patience = 10 * time.Second

var loopback = []string{"127.0.0.1"}

// newFolder makes a CA with one control and one entry VM and opens both.
func newFolder() (dir string, control, entry *Bundle) {
	dir = ginkgo.GinkgoT().TempDir()
	Expect(InitCA(dir)).To(Succeed())
	return dir, issued(dir, "c1", transport.RoleControl), issued(dir, "e1", transport.RoleEntry)
}

func issued(dir, vm, role string) *Bundle {
	_, err := Issue(dir, idOf(vm), role, loopback)
	Expect(err).NotTo(HaveOccurred())
	b, err := Open(VMDir(dir, idOf(vm)))
	Expect(err).NotTo(HaveOccurred())
	return b
}

// calls sends calls until it is stopped and counts those that failed.
type calls struct {
	made, failed atomic.Int64
	firstError   atomic.Value
	stop         context.CancelFunc
	wg           sync.WaitGroup
}

func (c *calls) run(client *transport.Client, addr string, senders int) {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	for range senders {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(context.Background(), patience)
				_, err := client.Call(call, addr, transport.MethodRenew, []byte("x"))
				cancel()
				if err != nil {
					c.failed.Add(1)
					c.firstError.CompareAndSwap(nil, err.Error())
				}
				c.made.Add(1)
			}
		}()
	}
}

// more waits until further calls have ended.
func (c *calls) more() {
	have := c.made.Load()
	Eventually(c.made.Load, patience).Should(BeNumerically(">", have+50))
}

var _ = ginkgo.Describe("certificates", func() {
	var handled atomic.Int64
	listen := func(creds transport.Credentials) *transport.Server {
		s, err := transport.Listen("127.0.0.1:0", creds, transport.HandlerFunc(func(context.Context, transport.Peer, transport.Method, []byte) ([]byte, error) {
			handled.Add(1)
			return nil, nil
		}))
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(func() { _ = s.Close() })
		return s
	}
	call := func(creds transport.Credentials, addr string) error {
		c := transport.NewClient(creds)
		defer c.Close() //nolint:errcheck // always nil
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := c.Call(ctx, addr, transport.MethodRenew, nil)
		return err
	}

	ginkgo.It("are rotated under running calls without a failed one", func() {
		dir, control, entry := newFolder()
		stranger := issued(dir, "old", transport.RoleEntry)
		s := listen(control)
		client := transport.NewClient(entry)
		var load calls
		opened := metrics.GetOrCreateCounter("damask_transport_connections_opened_total")
		openedBefore := opened.Get()
		load.run(client, s.Addr(), 8)
		for _, step := range []func(string) error{Rotate, Renew, Retire} {
			load.more()
			before, err := entry.ClientTLS()
			Expect(err).NotTo(HaveOccurred())
			Expect(step(dir)).To(Succeed())
			// The entry VM's files arrive before those of the control VM.
			Expect(entry.Reload()).To(Succeed())
			after, err := entry.ClientTLS()
			Expect(err).NotTo(HaveOccurred())
			Expect(after).NotTo(BeIdenticalTo(before))
			load.more()
			Expect(control.Reload()).To(Succeed())
			load.more()
		}
		load.stop()
		load.wg.Wait()
		Expect(client.Close()).To(Succeed())
		Expect(opened.Get()-openedBefore).To(BeNumerically(">=", 4), "each step replaces the connection")
		Expect(load.failed.Load()).To(BeZero(), "%v", load.firstError.Load())

		// A certificate of the old CA is worth nothing now.
		old := careless(stranger, control)
		Expect(stranger.Reload()).To(Succeed())
		Expect(call(stranger, s.Addr())).To(Succeed(), "renewed with all others")
		Expect(call(old, s.Addr())).NotTo(Succeed())
	})

	ginkgo.It("that reach the entry VM too early leave its working connection in use", func() {
		dir, control, entry := newFolder()
		s := listen(control)
		client := transport.NewClient(entry)
		defer client.Close() //nolint:errcheck // always nil
		var load calls
		load.run(client, s.Addr(), 4)
		load.more()
		Expect(Rotate(dir)).To(Succeed())
		Expect(Renew(dir)).To(Succeed())
		control.mu.Lock()
		control.nextCheck = time.Now().Add(time.Hour) // its folder is not copied yet
		control.mu.Unlock()
		Expect(entry.Reload()).To(Succeed())
		load.more()
		load.more()
		load.stop()
		load.wg.Wait()
		Expect(load.failed.Load()).To(BeZero(), "%v", load.firstError.Load())
	})

	ginkgo.It("of another CA are rejected on both ends, and the handler is not reached", func() {
		_, control, entry := newFolder()
		_, otherControl, otherEntry := newFolder()
		s := listen(control)
		handled.Store(0)
		Expect(call(otherEntry, s.Addr())).NotTo(Succeed(), "the client does not trust the server")
		err := call(careless(otherEntry, entry), s.Addr())
		Expect(err).To(HaveOccurred(), "the server does not trust the client")
		var notSent *transport.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		Expect(handled.Load()).To(BeZero())
		Expect(call(entry, s.Addr())).To(Succeed())
		Expect(call(entry, listen(otherControl).Addr())).NotTo(Succeed())
	})

	ginkgo.It("of a wrong role or address are rejected", func() {
		dir, control, entry := newFolder()
		second := issued(dir, "e2", transport.RoleEntry)
		Expect(call(entry, listen(second).Addr())).NotTo(Succeed(), "an entry VM cannot stand in for a control VM")
		Expect(verifyServer(stateOf(mustDecode(second.identity)))).NotTo(Succeed())
		Expect(verifyServer(stateOf(mustDecode(control.identity)))).To(Succeed())

		odd := mustDecode(entry.identity)
		odd.cert.Subject.OrganizationalUnit = []string{"guest"}
		Expect(verifyClient(stateOf(mustDecode(entry.identity)))).To(Succeed())
		Expect(verifyClient(stateOf(odd))).To(MatchError(ContainSubstring("guest")))

		_, err := Issue(dir, "c2", transport.RoleControl, []string{"10.9.9.9"})
		Expect(err).NotTo(HaveOccurred())
		elsewhere, err := Open(VMDir(dir, "c2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(call(entry, listen(elsewhere).Addr())).NotTo(Succeed(), "the certificate is for another address")
	})
})

var _ = ginkgo.Describe("key folders", func() {
	ginkgo.It("are readable by their owner only", func() {
		dir, _, _ := newFolder()
		Expect(Rotate(dir)).To(Succeed())
		files := 0
		Expect(filepath.Walk(dir, func(path string, info os.FileInfo, err error) error {
			if err == nil && !info.IsDir() {
				files++
				Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)), path)
			}
			return err
		})).To(Succeed())
		Expect(files).To(Equal(6))
		path := filepath.Join(VMDir(dir, "e1"), identityFile)
		Expect(os.Chmod(path, 0o644)).To(Succeed())
		_, err := Open(VMDir(dir, "e1"))
		Expect(err).To(MatchError(ContainSubstring("set it to 0600")))
	})

	ginkgo.It("with unusable files leave the last good ones in effect", func() {
		dir, _, entry := newFolder()
		before, err := entry.ClientTLS()
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(VMDir(dir, "e1"), identityFile)
		Expect(os.WriteFile(path, []byte("half a file"), 0o600)).To(Succeed())
		Expect(entry.Reload()).NotTo(Succeed())
		Expect(entry.Err()).To(MatchError(ContainSubstring("issue it again")))
		Expect(entry.ClientTLS()).To(BeIdenticalTo(before))
		_, err = Issue(dir, "e1", transport.RoleEntry, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(entry.Reload()).To(Succeed())
		Expect(entry.Peer()).To(Equal(transport.Peer{VM: "e1", Role: transport.RoleEntry}))
	})

	ginkgo.It("refuse steps out of order and bad names", func() {
		dir, _, _ := newFolder()
		Expect(InitCA(dir)).NotTo(Succeed())
		Expect(Retire(dir)).To(MatchError(ContainSubstring("no rotation")))
		Expect(Rotate(dir)).To(Succeed())
		Expect(Rotate(dir)).To(MatchError(ContainSubstring("under way")))
		Expect(Retire(dir)).To(MatchError(ContainSubstring("renew first")))
		for _, vm := range []string{"", "../x", "a b", ".."} {
			_, err := Issue(dir, idOf(vm), transport.RoleEntry, nil)
			Expect(err).To(HaveOccurred(), vm)
		}
		_, err := Issue(dir, "c3", transport.RoleControl, nil)
		Expect(err).To(MatchError(ContainSubstring("IP address")))
	})

	ginkgo.It("make tokens that differ and whose digest fits", func() {
		a, digest := NewToken(WorkspaceToken)
		b, _ := NewToken(WorkspaceToken)
		Expect(a).NotTo(Equal(b))
		Expect(a).To(HavePrefix("dbw_"))
		Expect(digest).To(Equal(Digest(a)))
		Expect(Digest("abc")).To(Equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"))
	})
})
