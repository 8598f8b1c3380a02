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

// oneWayDelay is the delay of the simulated links. Tests use it as a lower
// bound only.
const oneWayDelay = 30 * time.Millisecond

// silenceTimeout is how long a test checks that nothing arrives.
const silenceTimeout = 100 * time.Millisecond

// startTCPEcho starts a TCP echo server and returns its address.
func startTCPEcho() string {
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

// startUDPEcho starts a UDP echo server and returns its address.
func startUDPEcho() string {
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

// receive reads n bytes within the timeout, or returns what it has read and the
// error.
func receive(c net.Conn, n int, timeout time.Duration) (string, error) {
	Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
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
	_, err := receive(c, 1, silenceTimeout)
	ExpectWithOffset(1, err).To(MatchError(ContainSubstring("timeout")))
}

var _ = Describe("TCP relay", func() {
	var (
		n    *relay.Network
		addr string
	)
	BeforeEach(func() {
		n = relay.NewNetwork(oneWayDelay, 0)
		DeferCleanup(n.Close)
		r, err := n.ListenTCP("127.0.0.1:0", startTCPEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		addr = r.Addr()
	})

	It("delays and counts the bytes of both directions", func() {
		c := dial("tcp", addr)
		start := time.Now()
		expectEcho(c, "hello")
		Expect(time.Since(start)).To(BeNumerically(">=", 2*oneWayDelay))
		Expect(n.Bytes()).To(Equal(map[relay.RegionPair]int64{{From: "a", To: "b"}: 5, {From: "b", To: "a"}: 5}))
	})

	It("forwards a close after all bytes sent before it", func() {
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

	It("holds bytes back without an error while a direction is cut", func() {
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

	// Guards against a cut of those directions only that were used before: the first
	// connection went through, later than expectSilence waited.
	It("isolates a region that nothing was sent to yet", func() {
		near := relay.NewNetwork(0, 0)
		DeferCleanup(near.Close)
		r, err := near.ListenTCP("127.0.0.1:0", startTCPEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		near.Isolate("b")
		c := dial("tcp", r.Addr())
		send(c, "x")
		expectSilence(c)
		near.Rejoin("b")
		got, err := receive(c, 1, 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("x"))
	})

	It("freezes existing connections permanently while new ones work", func() {
		old := dial("tcp", addr)
		expectEcho(old, "before")
		n.Freeze("b", "a")
		send(old, "after")
		expectEcho(dial("tcp", addr), "new")
		expectSilence(old)
	})

	It("distinguishes the regions of clients at one address and resets unknown clients", func() {
		var mu sync.Mutex
		regions := map[netip.AddrPort]chan ids.Region{}
		regionOf := func(client netip.AddrPort) chan ids.Region {
			mu.Lock()
			defer mu.Unlock()
			if regions[client] == nil {
				regions[client] = make(chan ids.Region, 1)
			}
			return regions[client]
		}
		r, err := n.ListenTCPFrom("127.0.0.1:0", startTCPEcho(), func(client netip.AddrPort) (ids.Region, bool) {
			region := <-regionOf(client)
			return region, region != ""
		}, "c")
		Expect(err).NotTo(HaveOccurred())
		// The region is registered only after the dial. Otherwise a reset by the
		// relay could make the dial itself fail.
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

	It("resets existing connections while new ones work", func() {
		r, err := n.ListenTCP("127.0.0.1:0", startTCPEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		old := dial("tcp", r.Addr())
		expectEcho(old, "before")
		r.Reset()
		_, err = receive(old, 1, 10*time.Second)
		Expect(err).To(MatchError(ContainSubstring("reset")))
		expectEcho(dial("tcp", r.Addr()), "new")
	})

	It("limits the bandwidth", func() {
		n.Direction("a", "b").SetBandwidth(100_000)
		c := dial("tcp", addr)
		start := time.Now()
		expectEcho(c, strings.Repeat("x", 20_000))
		Expect(time.Since(start)).To(BeNumerically(">=", 200*time.Millisecond))
	})
})

var _ = Describe("UDP relay", func() {
	It("delays packets, drops them while the direction is cut, and freezes flows", func() {
		n := relay.NewNetwork(oneWayDelay, 0)
		DeferCleanup(n.Close)
		r, err := n.ListenUDP("127.0.0.1:0", startUDPEcho(), "a", "b")
		Expect(err).NotTo(HaveOccurred())
		old := dial("udp", r.Addr())
		start := time.Now()
		expectEcho(old, "hello")
		Expect(time.Since(start)).To(BeNumerically(">=", 2*oneWayDelay))
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

	// Guards against a cut or a freeze that affects clients from another region
	// at a shared address, or that misses some of the region's own clients.
	It("distinguishes the regions of clients at one address", func() {
		n := relay.NewNetwork(0, 0)
		DeferCleanup(n.Close)
		var mu sync.Mutex
		regions := map[netip.AddrPort]ids.Region{}
		r, err := n.ListenUDPFrom("127.0.0.1:0", startUDPEcho(), func(client netip.AddrPort) (ids.Region, bool) {
			mu.Lock()
			defer mu.Unlock()
			region, ok := regions[client]
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
