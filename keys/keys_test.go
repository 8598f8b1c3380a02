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

const testTimeout = 10 * time.Second

var loopback = []string{"127.0.0.1"}

// newCADir creates a CA with a control VM and an entry VM and opens their
// folders.
func newCADir() (dir string, control, entry *Bundle) {
	dir = ginkgo.GinkgoT().TempDir()
	Expect(InitCA(dir)).To(Succeed())
	return dir, issueAndOpen(dir, "c1", transport.RoleControl), issueAndOpen(dir, "e1", transport.RoleEntry)
}

// issueAndOpen issues a VM's certificate for loopback and opens its folder.
func issueAndOpen(dir, vm, role string) *Bundle {
	_, err := Issue(dir, vmID(vm), role, loopback)
	Expect(err).NotTo(HaveOccurred())
	b, err := Open(VMDir(dir, vmID(vm)))
	Expect(err).NotTo(HaveOccurred())
	return b
}

// callLoad sends calls until it is stopped and counts the completed and the
// failed ones.
type callLoad struct {
	completed, failed atomic.Int64
	firstError        atomic.Value
	stop              context.CancelFunc
	wg                sync.WaitGroup
}

func (c *callLoad) start(client *transport.Client, addr string, senders int) {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	for range senders {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for ctx.Err() == nil {
				callCtx, cancel := context.WithTimeout(context.Background(), testTimeout)
				_, err := client.Call(callCtx, addr, transport.MethodRenew, []byte("x"))
				cancel()
				if err != nil {
					c.failed.Add(1)
					c.firstError.CompareAndSwap(nil, err.Error())
				}
				c.completed.Add(1)
			}
		}()
	}
}

// waitForMore waits until more than 50 further calls have completed.
func (c *callLoad) waitForMore() {
	before := c.completed.Load()
	Eventually(c.completed.Load, testTimeout).Should(BeNumerically(">", before+50))
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
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := c.Call(ctx, addr, transport.MethodRenew, nil)
		return err
	}

	ginkgo.It("are rotated without failing a concurrent call", func() {
		dir, control, entry := newCADir()
		oldEntry := issueAndOpen(dir, "old", transport.RoleEntry)
		s := listen(control)
		client := transport.NewClient(entry)
		var load callLoad
		opened := metrics.GetOrCreateCounter("damask_transport_connections_opened_total")
		openedBefore := opened.Get()
		load.start(client, s.Addr(), 8)
		for _, step := range []func(string) error{Rotate, Renew, Retire} {
			load.waitForMore()
			before, err := entry.ClientTLS()
			Expect(err).NotTo(HaveOccurred())
			Expect(step(dir)).To(Succeed())
			// The entry VM receives its files before the control VM.
			Expect(entry.Reload()).To(Succeed())
			after, err := entry.ClientTLS()
			Expect(err).NotTo(HaveOccurred())
			Expect(after).NotTo(BeIdenticalTo(before))
			load.waitForMore()
			Expect(control.Reload()).To(Succeed())
			load.waitForMore()
		}
		load.stop()
		load.wg.Wait()
		Expect(client.Close()).To(Succeed())
		Expect(opened.Get()-openedBefore).To(BeNumerically(">=", 4), "each step must replace the connection")
		Expect(load.failed.Load()).To(BeZero(), "%v", load.firstError.Load())

		// A certificate of the retired CA is rejected.
		oldCredentials := forceClientCert(oldEntry, control)
		Expect(oldEntry.Reload()).To(Succeed())
		Expect(call(oldEntry, s.Addr())).To(Succeed(), "the certificate was renewed with all others")
		Expect(call(oldCredentials, s.Addr())).NotTo(Succeed())
	})

	ginkgo.It("that the control VM does not trust yet leave the entry VM's open connection in use", func() {
		dir, control, entry := newCADir()
		s := listen(control)
		client := transport.NewClient(entry)
		defer client.Close() //nolint:errcheck // always nil
		var load callLoad
		load.start(client, s.Addr(), 4)
		load.waitForMore()
		Expect(Rotate(dir)).To(Succeed())
		Expect(Renew(dir)).To(Succeed())
		control.mu.Lock()
		control.nextCheck = time.Now().Add(time.Hour) // the control VM's folder is not copied yet
		control.mu.Unlock()
		Expect(entry.Reload()).To(Succeed())
		load.waitForMore()
		load.waitForMore()
		load.stop()
		load.wg.Wait()
		Expect(load.failed.Load()).To(BeZero(), "%v", load.firstError.Load())
	})

	ginkgo.It("of another CA are rejected by client and server before the handler is called", func() {
		_, control, entry := newCADir()
		_, otherControl, otherEntry := newCADir()
		s := listen(control)
		handled.Store(0)
		Expect(call(otherEntry, s.Addr())).NotTo(Succeed(), "the client does not trust the server")
		err := call(forceClientCert(otherEntry, entry), s.Addr())
		Expect(err).To(HaveOccurred(), "the server does not trust the client")
		var notSent *transport.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		Expect(handled.Load()).To(BeZero())
		Expect(call(entry, s.Addr())).To(Succeed())
		Expect(call(entry, listen(otherControl).Addr())).NotTo(Succeed())
	})

	ginkgo.It("with the wrong role or address are rejected", func() {
		dir, control, entry := newCADir()
		second := issueAndOpen(dir, "e2", transport.RoleEntry)
		Expect(call(entry, listen(second).Addr())).NotTo(Succeed(), "an entry VM must not impersonate a control VM")
		Expect(verifyServer(connectionState(mustDecode(second.identityPEM)))).NotTo(Succeed())
		Expect(verifyServer(connectionState(mustDecode(control.identityPEM)))).To(Succeed())

		unknownRole := mustDecode(entry.identityPEM)
		unknownRole.cert.Subject.OrganizationalUnit = []string{"guest"}
		Expect(verifyClient(connectionState(mustDecode(entry.identityPEM)))).To(Succeed())
		Expect(verifyClient(connectionState(unknownRole))).To(MatchError(ContainSubstring("guest")))

		_, err := Issue(dir, "c2", transport.RoleControl, []string{"10.9.9.9"})
		Expect(err).NotTo(HaveOccurred())
		otherAddress, err := Open(VMDir(dir, "c2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(call(entry, listen(otherAddress).Addr())).NotTo(Succeed(), "the certificate is for another address")
	})
})

var _ = ginkgo.Describe("key folders", func() {
	ginkgo.It("have files that only their owner can access", func() {
		dir, _, _ := newCADir()
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

	ginkgo.It("with unusable files leave the last usable ones in effect", func() {
		dir, _, entry := newCADir()
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

	ginkgo.It("reject rotation steps out of order, invalid VM names and a control VM without an address", func() {
		dir, _, _ := newCADir()
		Expect(InitCA(dir)).NotTo(Succeed())
		Expect(Retire(dir)).To(MatchError(ContainSubstring("no rotation")))
		Expect(Rotate(dir)).To(Succeed())
		Expect(Rotate(dir)).To(MatchError(ContainSubstring("under way")))
		Expect(Retire(dir)).To(MatchError(ContainSubstring("renew first")))
		for _, vm := range []string{"", "../x", "a b", ".."} {
			_, err := Issue(dir, vmID(vm), transport.RoleEntry, nil)
			Expect(err).To(HaveOccurred(), vm)
		}
		_, err := Issue(dir, "c3", transport.RoleControl, nil)
		Expect(err).To(MatchError(ContainSubstring("IP address")))
	})

	ginkgo.It("make distinct tokens with matching digests", func() {
		a, digest := NewToken(WorkspaceToken)
		b, _ := NewToken(WorkspaceToken)
		Expect(a).NotTo(Equal(b))
		Expect(a).To(HavePrefix("dbw_"))
		Expect(digest).To(Equal(TokenDigest(a)))
		Expect(TokenDigest("abc")).To(Equal("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"))
	})
})
