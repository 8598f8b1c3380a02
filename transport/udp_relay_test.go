package transport_test

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// udpRelay forwards datagrams between clients and a server. It can drop all
// packets of the existing flows while new flows work.
type udpRelay struct {
	clientSocket *net.UDPConn
	serverAddr   *net.UDPAddr

	byteCount, packetCount atomic.Int64 // both directions together

	mu    sync.Mutex
	flows map[string]*flow
}

type flow struct {
	serverSocket    *net.UDPConn
	dropping        atomic.Bool
	packetsToServer atomic.Int64
}

func newRelay(serverAddr string) *udpRelay {
	r := &udpRelay{}
	r.start(serverAddr)
	ginkgo.DeferCleanup(r.close)
	return r
}

func (r *udpRelay) start(serverAddr string) {
	addr, err := net.ResolveUDPAddr("udp", serverAddr)
	Expect(err).NotTo(HaveOccurred())
	clientSocket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	r.clientSocket, r.serverAddr, r.flows = clientSocket, addr, map[string]*flow{}
	go r.forwardToServer()
}

func (r *udpRelay) addr() string { return r.clientSocket.LocalAddr().String() }

func (r *udpRelay) close() {
	_ = r.clientSocket.Close()
	for _, f := range r.allFlows() {
		_ = f.serverSocket.Close()
	}
}

func (r *udpRelay) allFlows() []*flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	var flows []*flow
	for _, f := range r.flows {
		flows = append(flows, f)
	}
	return flows
}

func (r *udpRelay) packetsToServer() int64 {
	n := int64(0)
	for _, f := range r.allFlows() {
		n += f.packetsToServer.Load()
	}
	return n
}

func (r *udpRelay) dropAllFlows() {
	for _, f := range r.allFlows() {
		f.dropping.Store(true)
	}
}

func (r *udpRelay) forwardToServer() {
	buf := make([]byte, 65536)
	for {
		n, client, err := r.clientSocket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		f := r.flow(client)
		f.packetsToServer.Add(1)
		r.byteCount.Add(int64(n))
		r.packetCount.Add(1)
		if !f.dropping.Load() {
			_, _ = f.serverSocket.Write(buf[:n])
		}
	}
}

func (r *udpRelay) flow(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[client.String()]
	if !ok {
		serverSocket, err := net.DialUDP("udp", nil, r.serverAddr)
		if err != nil {
			panic(err)
		}
		f = &flow{serverSocket: serverSocket}
		r.flows[client.String()] = f
		go r.forwardToClient(f, client)
	}
	return f
}

func (r *udpRelay) forwardToClient(f *flow, client *net.UDPAddr) {
	buf := make([]byte, 65536)
	for {
		n, err := f.serverSocket.Read(buf)
		if err != nil {
			return
		}
		r.byteCount.Add(int64(n))
		r.packetCount.Add(1)
		if !f.dropping.Load() {
			_, _ = r.clientSocket.WriteToUDP(buf[:n], client)
		}
	}
}
