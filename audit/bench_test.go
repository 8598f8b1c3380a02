package audit

import (
	"context"
	"fmt"
	"math/rand"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/keys"
	"damaskbridge.example/damaskbridge/problem"
	"damaskbridge.example/damaskbridge/transport"
)

// requestRecords returns the records of a request with a pipeline of four
// stages.
func requestRecords(s ids.SessionID, seq uint64) []Record {
	random := rand.New(rand.NewSource(int64(seq)))
	at := func(k Kind) Record {
		return Record{Kind: k, Request: ids.RequestID{Session: s, Seq: seq}, AtUnixMS: 1_790_000_000_000 + int64(seq)}
	}
	begin := at(Begin)
	begin.Workspace, begin.Target, begin.DeadlineMS, begin.SettingsVersion = "fittings", "draft-note", 5000, 12_345
	records := []Record{begin}
	for i, stage := range []string{"encode", "retrieve", "rerank", "generate"} {
		d, e := at(Dispatch), at(StageEnd)
		d.Stage, d.Attempt, d.Upstream = stage, 1, fmt.Sprintf("10.1.%d.%d:9100", i, random.Intn(200))
		e.Stage, e.Attempt, e.Outcome = stage, 1, OK
		records = append(records, d, e)
	}
	end := at(End)
	end.Outcome, end.Execution, end.ResponseDigest = OK, problem.Executed, make([]byte, 32)
	random.Read(end.ResponseDigest)
	return append(records, end)
}

// generateRecords returns n records of consecutive requests.
func generateRecords(s ids.SessionID, firstSeq uint64, n int) []Record {
	var all []Record
	for seq := firstSeq; len(all) < n; seq++ {
		all = append(all, requestRecords(s, seq)...)
	}
	return all[:n]
}

// BenchmarkAppend measures durable records per second and disk bytes per
// record, by batch size and number of concurrent sessions.
func BenchmarkAppend(b *testing.B) {
	for _, sessions := range []int{1, 20} {
		for _, records := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("sessions=%d/batch=%d", sessions, records), func(b *testing.B) {
				s, err := Open(b.TempDir(), Options{})
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close() //nolint:errcheck // nothing waits
				var left atomic.Int64
				left.Store(int64(b.N))
				var wg sync.WaitGroup
				b.ResetTimer()
				for i := range sessions {
					wg.Add(1)
					go func() {
						defer wg.Done()
						session := testSession(fmt.Sprintf("entry-lagos-%d", i))
						batch := generateRecords(session, 1, records)
						for n := uint64(1); left.Add(-1) >= 0; n++ {
							if err := s.Append(session, Batch{Number: n, Records: batch}); err != nil {
								b.Error(err)
								return
							}
						}
					}()
				}
				wg.Wait()
				b.StopTimer()
				st := s.Stats()
				b.ReportMetric(float64(st.Records)/b.Elapsed().Seconds(), "records/s")
				b.ReportMetric(float64(st.Bytes)/float64(st.Records), "disk-bytes/record")
			})
		}
	}
}

// BenchmarkBegin measures the median and the 99th percentile latency of Begin
// over QUIC on loopback, durable and asynchronous.
func BenchmarkBegin(b *testing.B) {
	for _, async := range []bool{false, true} {
		for _, callers := range []int{1, 32} {
			b.Run(fmt.Sprintf("async=%v/callers=%d", async, callers), func(b *testing.B) {
				w := newBenchWriter(b, WriterOptions{Async: async, BufferRecords: 1 << 20})
				times := make([]time.Duration, b.N)
				var next atomic.Int64
				var wg sync.WaitGroup
				b.ResetTimer()
				for range callers {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
							r := requestRecords(testSession("e1"), uint64(i)+1)[0]
							start := time.Now()
							if err := w.Begin(context.Background(), r); err != nil {
								b.Error(err)
								return
							}
							times[i] = time.Since(start)
						}
					}()
				}
				wg.Wait()
				b.StopTimer()
				sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
				b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1000, "p50-µs")
				b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1000, "p99-µs")
				if err := w.Flush(context.Background()); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}

func newBenchWriter(b *testing.B, o WriterOptions) *Writer {
	creds, err := keys.NewEphemeral(transport.Peer{VM: "c1", Role: transport.RoleControl}, transport.Peer{VM: "e1", Role: transport.RoleEntry})
	if err != nil {
		b.Fatal(err)
	}
	store, err := Open(b.TempDir(), Options{})
	if err != nil {
		b.Fatal(err)
	}
	server, err := transport.Listen("127.0.0.1:0", creds["c1"], transport.HandlerFunc(func(ctx context.Context, p transport.Peer, _ transport.Method, body []byte) ([]byte, error) {
		return store.ServeAppend(ctx, p, body, nil)
	}))
	if err != nil {
		b.Fatal(err)
	}
	client := transport.NewClient(creds["e1"])
	w, err := NewWriter(testSession("e1"), client, []string{server.Addr()}, o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = w.Close()
		_ = client.Close()
		_ = server.Close()
		_ = store.Close()
	})
	return w
}

// BenchmarkMillion measures opening, verifying and querying a store with a
// million records of 50 sessions.
func BenchmarkMillion(b *testing.B) {
	const sessions, batches, records = 50, 400, 50
	dir := b.TempDir()
	s, err := Open(dir, Options{})
	if err != nil {
		b.Fatal(err)
	}
	appendInterleaved(b, s, sessions, batches, records)
	st := s.Stats()
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	b.Run("open", func(b *testing.B) {
		for range b.N {
			if s, err = loadStore(dir, Options{}); err != nil {
				b.Fatal(err)
			}
			_ = s.file.Close()
		}
		b.ReportMetric(float64(st.Records), "records")
		b.ReportMetric(float64(st.Bytes)/(1<<20), "MiB")
		b.ReportMetric(float64(st.IndexEntries), "index-entries")
	})
	b.Run("verify", func(b *testing.B) {
		for range b.N {
			if _, err := s.Verify(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("query", func(b *testing.B) {
		random := rand.New(rand.NewSource(1))
		for range b.N {
			session := testSession(fmt.Sprintf("entry-%d", random.Intn(sessions)))
			id := ids.RequestID{Session: session, Seq: uint64(random.Intn(batches*records/10)) + 1}
			found, err := s.Query(id)
			if err != nil || len(found) != 10 {
				b.Fatal(len(found), err)
			}
		}
	})
}

// appendInterleaved appends a batch of each session in turn, the order in which
// a control VM receives them.
func appendInterleaved(b *testing.B, s *Store, sessions, batches, records int) {
	for n := range batches {
		group := make([]*pendingAppend, sessions)
		for i := range group {
			session := testSession(fmt.Sprintf("entry-%d", i))
			first := uint64(n*records/10) + 1
			e, err := encodeBatch(session, &Batch{Number: uint64(n) + 1, Records: generateRecords(session, first, records)})
			if err != nil {
				b.Fatal(err)
			}
			group[i] = &pendingAppend{batch: e, done: make(chan error, 1)}
			s.queue <- group[i]
		}
		for _, p := range group {
			if err := <-p.done; err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkNode measures the network and CPU cost, on both ends, of the audit
// records of an entry VM at peak load: 86 requests per second with four stages
// each.
func BenchmarkNode(b *testing.B) {
	const perSecond = 86
	w := newBenchWriter(b, WriterOptions{})
	run := func(seq uint64) {
		records := requestRecords(testSession("e1"), seq)
		if err := w.Begin(context.Background(), records[0]); err != nil {
			b.Error(err)
		}
		for _, r := range records[1:] {
			time.Sleep(10 * time.Millisecond)
			if err := w.Append(r); err != nil {
				b.Error(err)
			}
		}
	}
	run(1)
	batches := batchesSent.Get()
	sent := metrics.GetOrCreateCounter(`damask_transport_bytes_total{direction="out",method="audit_append"}`)
	sentBefore := sent.Get()
	cpu := cpuTime()
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range b.N {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(uint64(i) + 2)
		}()
	}
	wg.Wait()
	b.StopTimer()
	if err := w.Flush(context.Background()); err != nil {
		b.Fatal(err)
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(batchesSent.Get()-batches)/seconds, "batches/s")
	// The counter includes the bytes of both ends; a response is 2 bytes.
	b.ReportMetric(float64(sent.Get()-sentBefore)/seconds, "framed-bytes/s")
	b.ReportMetric((cpuTime()-cpu).Seconds()/seconds*100, "cpu-percent")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
