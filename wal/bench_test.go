package wal

import (
	"fmt"
	"testing"

	"damaskbridge.example/damaskbridge/raft"
)

// BenchmarkSave measures durable batches of 300-byte entries, the size of a
// claim.
func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			l, _, err := Open(OS(), b.TempDir(), identity)
			if err != nil {
				b.Fatal(err)
			}
			defer l.Abort()
			batch := Batch{Entries: make([]raft.Entry, n), HardState: &raft.HardState{Term: 1}}
			next := uint64(1)
			b.SetBytes(int64(n * 300))
			for b.Loop() {
				for i := range batch.Entries {
					batch.Entries[i] = raft.Entry{Index: next, Term: 1, Kind: raft.EntryCommand, Data: make([]byte, 300)}
					next++
				}
				if err := l.Save(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}

// BenchmarkSaveParallel measures concurrent writers that share syncs.
func BenchmarkSaveParallel(b *testing.B) {
	l, _, err := Open(OS(), b.TempDir(), identity)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Abort()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := l.Save(Batch{HardState: &raft.HardState{Term: 1}}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/float64(max(1, l.Syncs())), "saves/sync")
}
