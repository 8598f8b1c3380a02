package transport_test

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// udpRelay passes datagrams between clients and a server and can silence the
// flows that exist, while new ones work.
type udpRelay struct {
	front  *net.UDPConn
	server *net.UDPAddr

	bytes, count atomic.Int64 // of datagrams in both directions

	mu    sync.Mutex
	flows map[string]*flow
}

type flow struct {
	back     *net.UDPConn
	silenced atomic.Bool
	toServer atomic.Int64 // datagrams from the client
}

func newRelay(server string) *udpRelay {
	r := &udpRelay{}
	r.start(server)
	ginkgo.DeferCleanup(r.close)
	return r
}

func (r *udpRelay) start(server string) {
	to, err := net.ResolveUDPAddr("udp", server)
	Expect(err).NotTo(HaveOccurred())
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	r.front, r.server, r.flows = front, to, map[string]*flow{}
	go r.forward()
}

func (r *udpRelay) addr() string { return r.front.LocalAddr().String() }

func (r *udpRelay) close() {
	_ = r.front.Close()
	for _, f := range r.all() {
		_ = f.back.Close()
	}
}

func (r *udpRelay) all() []*flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*flow
	for _, f := range r.flows {
		all = append(all, f)
	}
	return all
}

func (r *udpRelay) datagrams() int64 {
	n := int64(0)
	for _, f := range r.all() {
		n += f.toServer.Load()
	}
	return n
}

func (r *udpRelay) silenceAll() {
	for _, f := range r.all() {
		f.silenced.Store(true)
	}
}

func (r *udpRelay) forward() {
	buf := make([]byte, 65536)
	for {
		n, client, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		f := r.flow(client)
		f.toServer.Add(1)
		r.bytes.Add(int64(n))
		r.count.Add(1)
		if !f.silenced.Load() {
			_, _ = f.back.Write(buf[:n])
		}
	}
}

func (r *udpRelay) flow(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[client.String()]
	if !ok {
		back, err := net.DialUDP("udp", nil, r.server)
		if err != nil {
			panic(err)
		}
		f = &flow{back: back}
		r.flows[client.String()] = f
		go r.backward(f, client)
	}
	return f
}

func (r *udpRelay) backward(f *flow, client *net.UDPAddr) {
	buf := make([]byte, 65536)
	for {
		n, err := f.back.Read(buf)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n))
		r.count.Add(1)
		if !f.silenced.Load() {
			_, _ = r.front.WriteToUDP(buf[:n], client)
		}
	}
}
