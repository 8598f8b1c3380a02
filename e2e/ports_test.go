package e2e

import (
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against two programs with the same port, of which the second cannot
// start.
func TestPortsAreGivenOnceAndOnlyIfFree(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPortPicker()
	taken, err := p.pick("127.0.0.1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.ListenPacket("udp", taken)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer l.Close()

	p.given, p.count = map[string]bool{}, 40
	p.first = l.LocalAddr().(*net.UDPAddr).Port - p.count/2
	picked := map[string]bool{}
	for range p.count {
		addr, err := p.pick("127.0.0.1")
		if err != nil {
			break
		}
		g.Expect(picked).NotTo(gomega.HaveKey(addr))
		picked[addr] = true
	}
	g.Expect(picked).NotTo(gomega.HaveKey(taken))
	g.Expect(picked).NotTo(gomega.BeEmpty())
	_, err = p.pick("127.0.0.1")
	g.Expect(err).To(gomega.HaveOccurred())
}
