package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"damaskbridge.example/damaskbridge/command"
)

const benchKeys = 1_000_000

// newFilledLedger returns a ledger with n keys that have stored answers.
func newFilledLedger(n int, key func(int) string) *Ledger {
	l := New()
	for i := range n {
		claimAndRecord(l, key(i), i)
	}
	return l
}

func claimAndRecord(l *Ledger, key string, i int) {
	r := request("vm", uint64(i+1))
	if got := l.Claim(claim(key, r)); got.Code != command.ClaimGranted {
		panic(fmt.Sprint("claim: code ", got.Code))
	}
	l.Record(&command.Record{Workspace: "w", Key: key, Request: r, Answer: command.Answer{Status: 200, ContentType: string([]byte("application/json"))}}, int64(i))
}

func plainKey(i int) string { return fmt.Sprint("booking-", i) }
func uuidKey(i int) string  { return uuidV7Key(int64(i+1), 0) }

// BenchmarkClaimRecord measures a claim and a record of one key in a ledger with
// a million keys. It also reports the heap bytes of a key with an empty answer.
func BenchmarkClaimRecord(b *testing.B) {
	for name, key := range map[string]func(int) string{"plain": plainKey, "uuidv7": uuidKey} {
		b.Run(name, func(b *testing.B) {
			before := heapBytes()
			l := newFilledLedger(benchKeys, key)
			perKey := float64(heapBytes()-before) / benchKeys
			b.ResetTimer()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				claimAndRecord(l, key(benchKeys+i), benchKeys+i)
			}
			b.ReportMetric(perKey, "heap-B/key")
		})
	}
}

// BenchmarkRetire measures the removal of a million keys. It also reports the
// heap bytes of a tombstone.
func BenchmarkRetire(b *testing.B) {
	for name, key := range map[string]func(int) string{"plain": plainKey, "uuidv7": uuidKey} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				l := newFilledLedger(benchKeys, key)
				b.StartTimer()
				for l.Retire(benchKeys+2, benchKeys+2).Detail != "" {
				}
				b.StopTimer()
				if l.Stats().Entries != 0 {
					b.Fatal("entries remain")
				}
				if l.tombstones.count > 0 {
					after := heapBytes()
					count := l.tombstones.count
					l.tombstones = tombstones{}
					b.ReportMetric(float64(after-heapBytes())/float64(count), "heap-B/tombstone")
				}
				runtime.KeepAlive(l)
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchKeys, "ns/key")
		})
	}
}

// BenchmarkFreeze measures the copy of a ledger with a million keys. Commands are
// blocked for that time when a snapshot is taken.
func BenchmarkFreeze(b *testing.B) {
	l := newFilledLedger(benchKeys, plainKey)
	for b.Loop() {
		l.Snapshot()
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
