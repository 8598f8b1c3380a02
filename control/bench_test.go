package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

func benchCluster(b *testing.B, adjust func(*Options)) *cluster {
	RegisterTestingT(b)
	c := newCluster(b.TempDir(), func(o *Options) {
		o.Tick = defaultTick
		if adjust != nil {
			adjust(o)
		}
	}, "a", "b", "c")
	b.Cleanup(c.stopAll)
	return c
}

// BenchmarkCommands measures Claim commands on a group of three replicas in one
// process with real files, for several numbers of concurrent callers.
func BenchmarkCommands(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := benchCluster(b, nil)
			leader := c.members[c.leader()]
			var next atomic.Int64
			syncs := leader.replica.log.Syncs()
			b.ResetTimer()
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for {
						i := next.Add(1)
						if i > int64(b.N) {
							return
						}
						request := ids.RequestID{Session: c.session, Seq: uint64(i%4000) + 1}
						claim := &command.Claim{Workspace: "w", Key: fmt.Sprintf("key-%032d", i), Request: request}
						reply, err := leader.replica.Propose(context.Background(), command.Command{Claim: claim})
						if err != nil || !reply.Done {
							b.Errorf("claim: %+v %v", reply, err)
							return
						}
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(b.N)/float64(max(1, leader.replica.log.Syncs()-syncs)), "commands/sync")
		})
	}
}

// BenchmarkRestart measures the time to open a replica and the size of its
// files after a number of commands.
func BenchmarkRestart(b *testing.B) {
	for _, commands := range []int{1_000, 10_000} {
		for _, every := range []uint64{1 << 40, 1_000} {
			b.Run(fmt.Sprintf("commands=%d/snapshots=%t", commands, every < 1<<40), func(b *testing.B) {
				c := benchCluster(b, func(o *Options) { o.SnapshotEntries = every })
				c.fillClaims(b, commands)
				m := c.members[c.others(c.leader())[0]]
				want := m.replica.published.Load().applied
				c.kill(m.vm)
				size := dirSize(m.dir)
				var opened, restarts time.Duration
				for b.Loop() {
					begin := time.Now()
					if err := c.start(m.vm); err != nil {
						b.Fatal(err)
					}
					opened += time.Since(begin)
					for m.replica.published.Load().applied < want {
						time.Sleep(100 * time.Microsecond)
					}
					b.StopTimer()
					c.kill(m.vm)
					restarts++
					b.StartTimer()
				}
				b.ReportMetric(float64(size), "file-bytes")
				b.ReportMetric(float64((opened/restarts).Microseconds())/1000, "open-ms")
			})
		}
	}
}

// fillClaims applies claims from many callers and waits until all replicas have
// applied them.
func (c *cluster) fillClaims(b *testing.B, commands int) {
	leader := c.members[c.leader()]
	var group sync.WaitGroup
	for caller := range 64 {
		group.Go(func() {
			for i := caller; i < commands; i += 64 {
				claim := &command.Claim{Workspace: "w", Key: fmt.Sprintf("key-%032d", i), Request: ids.RequestID{Session: c.session, Seq: uint64(i%4000) + 1}}
				if reply, err := leader.replica.Propose(context.Background(), command.Command{Claim: claim}); err != nil || !reply.Done {
					b.Errorf("claim: %+v %v", reply, err)
				}
			}
		})
	}
	group.Wait()
	want := leader.replica.published.Load().applied
	for _, m := range c.members {
		for m.replica.published.Load().applied < want {
			time.Sleep(time.Millisecond)
		}
	}
	// Snapshots in progress are stored before the files are measured.
	for _, m := range c.members {
		for saving := true; saving; {
			_ = m.replica.Do(context.Background(), func() { saving = m.replica.savingSnapshot })
		}
	}
}

func dirSize(dir string) int64 {
	var sum int64
	_ = filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}

// renewAll renews each session by calling the server directly, without the
// transport. It returns the number of bytes sent and received.
func renewAll(b *testing.B, s *Server, sessions []ids.SessionID, inForce uint64) (sent, received int) {
	for _, id := range sessions {
		body, err := wire.Encode(&wire.Renew{Session: id, Region: "delta", SettingsVersion: inForce})
		if err != nil {
			b.Fatal(err)
		}
		answer, err := s.Serve(context.Background(), transport.Peer{VM: id.VM, Role: transport.RoleEntry}, transport.MethodRenew, body)
		if err != nil {
			b.Fatal(err)
		}
		sent += len(body)
		received += len(answer)
	}
	return sent, received
}

const benchSubscribers = 850

func (c *cluster) subscribers(b *testing.B) (*Server, []ids.SessionID) {
	var list []ids.SessionID
	for i := range benchSubscribers {
		id := ids.SessionID{VM: ids.VMID(fmt.Sprintf("entry-delta-%03d", i)), Incarnation: 1_796_356_664_000_000}
		c.openSession(id)
		list = append(list, id)
	}
	s := c.members[c.leader()].server
	renewAll(b, s, list, 0)
	return s, list
}

// BenchmarkIdleRenew measures a renewal whose reply contains no change.
func BenchmarkIdleRenew(b *testing.B) {
	c := benchCluster(b, nil)
	s, list := c.subscribers(b)
	sent, received, n := 0, 0, 0
	for b.Loop() {
		q, a := renewAll(b, s, list[n%len(list):][:1], 0)
		sent, received, n = sent+q, received+a, n+1
	}
	b.ReportMetric(float64(sent)/float64(n), "request-bytes")
	b.ReportMetric(float64(received)/float64(n), "reply-bytes")
}

// BenchmarkChangeFanOut measures 850 renewals whose replies each contain one
// change of one value.
func BenchmarkChangeFanOut(b *testing.B) {
	c := benchCluster(b, nil)
	s, list := c.subscribers(b)
	c.changeSetting(0, "3s")
	for s.replica.published.Load().settings.Version() == 0 {
		time.Sleep(time.Millisecond)
	}
	received := 0
	for b.Loop() {
		_, received = renewAll(b, s, list, 0)
	}
	b.ReportMetric(float64(received)/float64(len(list)), "reply-bytes/subscriber")
}

// BenchmarkReport measures a leader with 850 open sessions handling the report
// of a control VM with 43 subscribers, a twentieth of them.
func BenchmarkReport(b *testing.B) {
	c := benchCluster(b, nil)
	s, list := c.subscribers(b)
	h := newSoftState("control-delta-1", "10.0.0.1:7400", defaultLeaseTerm, defaultSessionExpiry)
	for _, id := range list[:43] {
		h.recordRenewal(time.Now(), &wire.Renew{Session: id, Region: "delta"})
	}
	sent, received := 0, 0
	for b.Loop() {
		rep := h.buildReport(time.Now(), s.replica.published.Load())
		body, err := wire.Encode(&statusRequest{Group: ids.SettingsGroup, Report: rep})
		if err != nil {
			b.Fatal(err)
		}
		answer, err := s.Serve(context.Background(), transport.Peer{VM: "control-delta-1", Role: transport.RoleControl}, transport.MethodStatus, body)
		if err != nil {
			b.Fatal(err)
		}
		sent, received = len(body), len(answer)
	}
	b.ReportMetric(float64(sent), "request-bytes")
	b.ReportMetric(float64(received), "reply-bytes")
}
