package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"damaskbridge.example/damaskbridge/command"
)

const benchKeys = 1_000_000

// fill gives a ledger of n keys with stored answers.
func fill(n int, key func(int) string) *Ledger {
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
func uuidKey(i int) string  { return v7(int64(i+1), 0) }

// BenchmarkClaimRecord claims and records one key in a ledger of a million,
// and reports the memory of a key with an empty answer.
func BenchmarkClaimRecord(b *testing.B) {
	for name, key := range map[string]func(int) string{"plain": plainKey, "uuidv7": uuidKey} {
		b.Run(name, func(b *testing.B) {
			before := heapBytes()
			l := fill(benchKeys, key)
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

// BenchmarkRetire removes a million keys and reports the memory of what
// remains of each.
func BenchmarkRetire(b *testing.B) {
	for name, key := range map[string]func(int) string{"plain": plainKey, "uuidv7": uuidKey} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				l := fill(benchKeys, key)
				b.StartTimer()
				for l.Retire(benchKeys+2, benchKeys+2).Detail != "" {
				}
				b.StopTimer()
				if l.Stats().Entries != 0 {
					b.Fatal("entries remain")
				}
				if l.tombs.count > 0 {
					after := heapBytes()
					count := l.tombs.count
					l.tombs = tombstones{}
					b.ReportMetric(float64(after-heapBytes())/float64(count), "heap-B/tombstone")
				}
				runtime.KeepAlive(l)
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchKeys, "ns/key")
		})
	}
}

// BenchmarkFreeze copies a ledger of a million keys, which is the time for
// which a snapshot holds up commands.
func BenchmarkFreeze(b *testing.B) {
	l := fill(benchKeys, plainKey)
	for b.Loop() {
		l.Freeze()
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
