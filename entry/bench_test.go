package entry

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"damaskbridge.example/damaskbridge/standin"
	"github.com/onsi/gomega"
)

// BenchmarkLookup compares a plain service call through an entry VM with the
// same call made directly, on a simulated service that responds immediately. It
// reports latency percentiles in microseconds. The audit recorder and the control
// VM are in memory, so the figures cover the data path alone.
func BenchmarkLookup(b *testing.B) {
	gomega.RegisterTestingT(b)
	cfg, err := standin.Preset(standin.PresetDev)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cfg.TimeScale = 0.001
	fleet, err := standin.StartFleet(cfg)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer fleet.Close()
	control := newFakeControl()
	control.applyDocument("first", testDocument())
	s, err := NewServer(Options{
		VM: "entry-1", Region: "one", Listen: "127.0.0.1:0", Control: control, Audit: discardRecorder{},
		MembersURL: fleet.MembersURL(), Seed: 1,
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(s.Start()).To(gomega.Succeed())
	defer s.Close()
	for s.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	direct := "http://" + fleet.Pool("bookings")[0].Address() + "/call/lookup"
	b.Run("direct", func(b *testing.B) { benchmarkCalls(b, direct) })
	b.Run("entry", func(b *testing.B) { benchmarkCalls(b, "http://"+s.Addr()+"/v1/services/bookings/lookup") })
}

// benchmarkCalls makes b.N sequential calls and reports their p50 and p99.
func benchmarkCalls(b *testing.B, url string) {
	b.ReportAllocs()
	took := make([]time.Duration, 0, b.N)
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("slot")))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set("Damask-Attempt", "direct.1.1/bookings/1")
		start := time.Now()
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		took = append(took, time.Since(start))
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d", resp.StatusCode)
		}
	}
	slices.Sort(took)
	const p99 = 99
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*p99/100].Microseconds()), "p99-µs")
}
