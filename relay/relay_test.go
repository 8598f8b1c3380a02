package relay_test

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// oneWay is the delay that tests set; they assert only that no less passes.
const oneWay = 30 * time.Millisecond

// silence is how long a test watches that nothing arrives.
const silence = 100 * time.Millisecond

// tcpEcho serves connections that return what they get.
func tcpEcho() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func udpEcho() string {
	s, err := net.ListenPacket("udp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := s.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = s.WriteTo(buf[:n], from)
		}
	}()
	return s.LocalAddr().String()
}

func dial(network, addr string) net.Conn {
	c, err := net.Dial(network, addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

func send(c net.Conn, text string) {
	_, err := c.Write([]byte(text))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
}

// receive reads n bytes, or gives the error of the limit.
func receive(c net.Conn, n int, limit time.Duration) (string, error) {
	Expect(c.SetReadDeadline(time.Now().Add(limit))).To(Succeed())
	buf := make([]byte, n)
	got, err := io.ReadFull(c, buf)
	return string(buf[:got]), err
}

func expectEcho(c net.Conn, text string) {
	send(c, text)
	got, err := receive(c, len(text), 10*time.Second)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, got).To(Equal(text))
}

func expectSilence(c net.Conn) {
	_, err := receive(c, 1, silence)
	ExpectWithOffset(1, err).To(MatchError(ContainSubstring("timeout")))
}

var _ = Describe("TCP relay", func() {
	var (
		n    *relay.Network
		addr string
	)
	BeforeEach(func() {
		n = relay.NewNetwork(oneWay, 0)
		DeferCleanup(n.Close)
		r, err := n.ListenTCP("127.0.0.1:0", tcpEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		addr = r.Addr()
	})

	It("delays both directions and counts the bytes of each", func() {
		c := dial("tcp", addr)
		start := time.Now()
		expectEcho(c, "hello")
		Expect(time.Since(start)).To(BeNumerically(">=", 2*oneWay))
		Expect(n.Bytes()).To(Equal(map[relay.Pair]int64{{From: "a", To: "b"}: 5, {From: "b", To: "a"}: 5}))
	})

	It("passes an orderly end on after the bytes before it", func() {
		c := dial("tcp", addr)
		Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		text := strings.Repeat("0123456789", 20_000)
		go func() {
			_, _ = c.Write([]byte(text))
			_ = c.(*net.TCPConn).CloseWrite()
		}()
		got, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(text))
	})

	It("holds bytes back while a direction is cut, without an error", func() {
		c := dial("tcp", addr)
		expectEcho(c, "before")
		n.Direction("b", "a").Cut()
		send(c, "during")
		expectSilence(c)
		Eventually(n.Direction("a", "b").Bytes).Should(BeEquivalentTo(12))
		n.Direction("b", "a").Restore()
		got, err := receive(c, 6, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("during"))
	})

	It("isolates a region and lets it rejoin", func() {
		n.Isolate("b")
		c := dial("tcp", addr)
		send(c, "x")
		expectSilence(c)
		n.Rejoin("b")
		got, err := receive(c, 1, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("x"))
	})

	It("freezes present connections for good while new ones work", func() {
		old := dial("tcp", addr)
		expectEcho(old, "before")
		n.Freeze("b", "a")
		send(old, "after")
		expectEcho(dial("tcp", addr), "new")
		expectSilence(old)
	})

	It("tells the callers of one address apart and resets those it does not know", func() {
		var mu sync.Mutex
		regions := map[netip.AddrPort]chan ids.Region{}
		regionOf := func(caller netip.AddrPort) chan ids.Region {
			mu.Lock()
			defer mu.Unlock()
			if regions[caller] == nil {
				regions[caller] = make(chan ids.Region, 1)
			}
			return regions[caller]
		}
		r, err := n.ListenTCPFrom("127.0.0.1:0", tcpEcho(), func(caller netip.AddrPort) (ids.Region, bool) {
			region := <-regionOf(caller)
			return region, region != ""
		}, "c")
		Expect(err).NotTo(HaveOccurred())
		// The relay learns the caller after the dial: its reset could end the dial
		// itself otherwise.
		from := func(region ids.Region) net.Conn {
			c := dial("tcp", r.Addr())
			regionOf(c.LocalAddr().(*net.TCPAddr).AddrPort()) <- region
			return c
		}
		a, b := from("a"), from("b")
		expectEcho(a, "a")
		n.Direction("c", "a").Cut()
		send(a, "lost")
		expectEcho(b, "b")
		expectSilence(a)
		Expect(n.Freeze("b", "c")).To(Equal(1))
		_, err = receive(from(""), 1, 10*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
	})

	It("resets present connections while new ones work", func() {
		r, err := n.ListenTCP("127.0.0.1:0", tcpEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		old := dial("tcp", r.Addr())
		expectEcho(old, "before")
		r.Reset()
		_, err = receive(old, 1, 10*time.Second)
		Expect(err).To(MatchError(ContainSubstring("reset")))
		expectEcho(dial("tcp", r.Addr()), "new")
	})

	It("keeps to its bandwidth", func() {
		n.Direction("a", "b").SetBandwidth(100_000)
		c := dial("tcp", addr)
		start := time.Now()
		expectEcho(c, strings.Repeat("x", 20_000))
		Expect(time.Since(start)).To(BeNumerically(">=", 200*time.Millisecond))
	})
})

var _ = Describe("UDP relay", func() {
	It("delays packets, loses them while cut, and freezes flows", func() {
		n := relay.NewNetwork(oneWay, 0)
		DeferCleanup(n.Close)
		r, err := n.ListenUDP("127.0.0.1:0", udpEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		old := dial("udp", r.Addr())
		start := time.Now()
		expectEcho(old, "hello")
		Expect(time.Since(start)).To(BeNumerically(">=", 2*oneWay))
		n.Cut("a", "b")
		send(old, "lost")
		expectSilence(old)
		Expect(n.Direction("a", "b").Drops()).To(BeEquivalentTo(1))
		n.Restore("a", "b")
		expectEcho(old, "again")
		n.Freeze("a", "b")
		send(old, "frozen")
		expectEcho(dial("udp", r.Addr()), "new")
		expectSilence(old)
	})

	// Guards against a cut or a freeze that reaches callers of another region
	// at a shared address, or that misses the own ones.
	It("tells the callers of one address apart", func() {
		n := relay.NewNetwork(0, 0)
		DeferCleanup(n.Close)
		var mu sync.Mutex
		regions := map[netip.AddrPort]ids.Region{}
		r, err := n.ListenUDPFrom("127.0.0.1:0", udpEcho(), func(caller netip.AddrPort) (ids.Region, bool) {
			mu.Lock()
			defer mu.Unlock()
			region, ok := regions[caller]
			return region, ok
		}, "c")
		Expect(err).NotTo(HaveOccurred())
		from := func(region ids.Region) net.Conn {
			c := dial("udp", r.Addr())
			mu.Lock()
			defer mu.Unlock()
			regions[c.LocalAddr().(*net.UDPAddr).AddrPort()] = region
			return c
		}
		a, b := from("a"), from("b")
		expectEcho(a, "a")
		expectEcho(b, "b")
		n.Direction("c", "a").Cut()
		send(a, "lost")
		expectEcho(b, "b")
		expectSilence(a)
		n.Restore("a", "c")
		Expect(n.Freeze("c", "a")).To(Equal(1))
		send(a, "frozen")
		expectEcho(b, "b")
		expectEcho(from("a"), "new")
		expectSilence(a)
		unknown := dial("udp", r.Addr())
		send(unknown, "lost")
		expectSilence(unknown)
	})
})
