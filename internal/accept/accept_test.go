package accept

import (
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// flakyListener is a listener whose first Accept fails.
type flakyListener struct {
	net.Listener
	failed bool
}

func (f *flakyListener) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, errors.New("no descriptors")
	}
	return f.Listener.Accept()
}

// Guards against a listener that stops after a failed accept, for example when
// the process has no free file descriptor.
func TestLoopContinuesAfterError(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	stopped, returned := make(chan struct{}), make(chan struct{})
	accepted := make(chan net.Conn, 1)
	errs := make(chan error, 1)
	go func() {
		defer close(returned)
		Loop(&flakyListener{Listener: l}, stopped, func(c net.Conn) { accepted <- c }, func(err error) { errs <- err })
	}()
	g.Expect(<-errs).To(MatchError("no descriptors"))
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect((<-accepted).Close()).To(Succeed())
	g.Expect(c.Close()).To(Succeed())

	close(stopped)
	g.Expect(l.Close()).To(Succeed())
	<-returned
}
