package transport_test

import (
	"context"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/transport"
)

// processCPUTime returns the user and system CPU time of this process so far.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newBenchServer(b *testing.B) (*transport.Server, map[ids.VMID]transport.Credentials) {
	RegisterTestingT(b)
	creds, err := keys.NewEphemeral(transport.Peer{VM: "c1", Role: transport.RoleControl}, transport.Peer{VM: "e1", Role: transport.RoleEntry})
	Expect(err).NotTo(HaveOccurred())
	s, err := transport.Listen("127.0.0.1:0", creds["c1"], transport.HandlerFunc(echo))
	Expect(err).NotTo(HaveOccurred())
	b.Cleanup(func() { _ = s.Close() })
	return s, creds
}

// BenchmarkCall measures the call rate and the CPU time of both ends for calls
// with 200-byte requests and responses over one connection.
func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) {
			s, creds := newBenchServer(b)
			c := transport.NewClient(creds["e1"])
			defer c.Close() //nolint:errcheck // always nil
			body := make([]byte, 200)
			ctx := context.Background()
			if _, err := c.Call(ctx, s.Addr(), transport.MethodRenew, body); err != nil {
				b.Fatal(err)
			}
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var wg sync.WaitGroup
			before := processCPUTime()
			b.ResetTimer()
			for range callers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for remaining.Add(-1) >= 0 {
						if _, err := c.Call(ctx, s.Addr(), transport.MethodRenew, body); err != nil {
							b.Error(err)
							return
						}
					}
				}()
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
			b.ReportMetric(float64((processCPUTime()-before).Microseconds())/float64(b.N), "cpu-µs/call")
		})
	}
}

// BenchmarkWire measures the UDP payload bytes and datagrams of both directions
// per call with 200-byte requests and responses, one call at a time. It does not
// count acknowledgements that are sent after the last call has returned.
func BenchmarkWire(b *testing.B) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		b.Run("pause="+pause.String(), func(b *testing.B) {
			s, creds := newBenchServer(b)
			relay := &udpRelay{}
			relay.start(s.Addr())
			defer relay.close()
			c := transport.NewClient(creds["e1"])
			defer c.Close() //nolint:errcheck // always nil
			body := make([]byte, 200)
			call := func() {
				if _, err := c.Call(context.Background(), relay.addr(), transport.MethodRenew, body); err != nil {
					b.Fatal(err)
				}
			}
			for range 20 {
				call()
			}
			bytesBefore := relay.byteCount.Load()
			packetsBefore := relay.packetCount.Load()
			b.ResetTimer()
			for range b.N {
				call()
				time.Sleep(pause)
			}
			b.ReportMetric(float64(relay.byteCount.Load()-bytesBefore)/float64(b.N), "udp-bytes/call")
			b.ReportMetric(float64(relay.packetCount.Load()-packetsBefore)/float64(b.N), "datagrams/call")
		})
	}
}

// BenchmarkIdleConnections measures the memory of an idle connection, both ends
// together.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 850
	memory := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	for range b.N {
		s, creds := newBenchServer(b)
		before := memory()
		clients := make([]*transport.Client, connections)
		for i := range clients {
			clients[i] = transport.NewClient(creds["e1"])
			if _, err := clients[i].Call(context.Background(), s.Addr(), transport.MethodRenew, make([]byte, 200)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((memory()-before)/connections/1024, "KiB/connection-pair")
		for _, c := range clients {
			_ = c.Close()
		}
	}
}
