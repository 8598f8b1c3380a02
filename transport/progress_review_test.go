package transport

import (
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a step of the clock, or a freeze of this process, that is taken
// for silence of the peer: nothing was asked of the peer in that time.
var _ = ginkgo.It("a TCP call goes on although this process has read nothing for longer than the progress timeout", func() {
	started, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	s, err := ListenTCP("127.0.0.1:0", HandlerFunc(func(context.Context, Peer, Method, []byte) ([]byte, error) {
		close(started)
		<-released
		return []byte("done"), nil
	}), Options{})
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(s.Close)
	ginkgo.DeferCleanup(release)
	c := NewTCPClient(Peer{VM: "10.0.0.1:7", Role: RoleEntry}, Options{ProgressTimeout: 200 * time.Millisecond})
	ginkgo.DeferCleanup(c.Close)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Call(context.Background(), s.Addr(), MethodStatus, nil)
		ended <- err
	}()
	<-started
	c.mu.Lock()
	t := c.conns[s.Addr()]
	c.mu.Unlock()
	t.lastReceivedNanos.Store(time.Now().Add(-time.Hour).UnixNano())
	Consistently(ended).WithTimeout(600 * time.Millisecond).ShouldNot(Receive())
	release()
	Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
})
