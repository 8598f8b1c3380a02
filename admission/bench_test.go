package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures one request through Offer, grant and Release, on an
// idle gate and on gates with queued requests of many workspaces.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("waiting/%d", waiting), func(b *testing.B) {
			g := NewGate(fixedLimitOptions(64))
			offer := func(i int) {
				g.Offer(Request{Workspace: workspaceNames[i%len(workspaceNames)], Priority: Normal, Deadline: start.Add(time.Hour)}, start)
			}
			for i := range 64 + waiting - 1 {
				if waiting > 0 {
					offer(i)
				}
			}
			held := g.Events()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				offer(i)
				held = append(held, g.Events()...)
				g.Release(held[0].Ticket, Sample{Latency: time.Millisecond}, start)
				held = held[1:]
				held = append(held, g.Events()...)
			}
		})
	}
}

var workspaceNames = func() (n [1000]string) {
	for i := range n {
		n[i] = fmt.Sprint("workspace-", i)
	}
	return n
}()
