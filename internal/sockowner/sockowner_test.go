package sockowner

import (
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a socket that is attributed to the wrong process: the relay
// would then cut the link of another VM.
func TestOwnsSocketOfThisProcess(t *testing.T) {
	g := NewWithT(t)
	s, err := net.ListenPacket("udp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	inodes := UDPSocketInodes(uint16(s.LocalAddr().(*net.UDPAddr).Port))
	g.Expect(inodes).NotTo(BeEmpty())
	g.Expect(OwnsSocket(os.Getpid(), inodes)).To(BeTrue())
	g.Expect(OwnsSocket(os.Getpid(), map[string]bool{"0": true})).To(BeFalse())
	g.Expect(OwnsSocket(-1, inodes)).To(BeFalse())
}
