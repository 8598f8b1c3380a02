package accept

import (
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// failing is a listener whose first Accept fails.
type failing struct {
	net.Listener
	failed bool
}

func (f *failing) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, errors.New("no descriptors")
	}
	return f.Listener.Accept()
}

// A failed accept, for want of descriptors, must not end the listener.
func TestLoopGoesOnAfterAnError(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	stopped, ended := make(chan struct{}), make(chan struct{})
	taken := make(chan net.Conn, 1)
	errs := make(chan error, 1)
	go func() {
		defer close(ended)
		Loop(&failing{Listener: l}, stopped, func(c net.Conn) { taken <- c }, func(err error) { errs <- err })
	}()
	g.Expect(<-errs).To(MatchError("no descriptors"))
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect((<-taken).Close()).To(Succeed())
	g.Expect(c.Close()).To(Succeed())

	close(stopped)
	g.Expect(l.Close()).To(Succeed())
	<-ended
}
