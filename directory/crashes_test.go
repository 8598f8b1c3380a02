package directory

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/quarantine"
)

var _ = ginkgo.Describe("the quarantine of prompt parts", func() {
	const bad quarantine.Part = 7
	crashes := func(runners ...int) *quarantine.Report {
		r := &quarantine.Report{}
		for _, n := range runners {
			r.Crashes = append(r.Crashes, quarantine.Crash{Runner: fmt.Sprint("r", n), Parts: []quarantine.Part{bad}})
		}
		return r
	}
	entry := func(addr string, report *quarantine.Report) *watchCall {
		return &watchCall{From: EntryVM{Addr: addr, Zone: "z"}, Report: report}
	}

	ginkgo.It("reaches an entry VM from reports at several control VMs, and ends with its objection", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		c := newTestCluster(ctx, "c1", "c2", "c3")
		c.controls["c1"].publish(1)
		contests := make(chan *quarantine.Report, 1)
		contests <- crashes(1)
		c.client.opts.Seeds = func() []string { return []string{"c2"} }
		c.client.opts.Report = func(time.Time, quarantine.Known) *quarantine.Report {
			report := <-contests
			contests <- report
			return report
		}
		go c.client.Run(ctx)
		stop := make(chan struct{})
		ginkgo.DeferCleanup(func() { close(stop) })
		go func() {
			for {
				c.servers["c3"].touchWatcher(time.Now(), entry("other", crashes(2, 3)))
				select {
				case <-stop:
					return
				case <-time.After(rosterExpiry / 4):
				}
			}
		}()
		quarantined := func() quarantine.Known { return c.client.State().Quarantined }
		Eventually(quarantined).WithTimeout(eventTimeout).Should(Equal(quarantine.Known{bad: {Part: bad}}))
		<-contests
		contests <- &quarantine.Report{Answered: []quarantine.Part{bad}}
		Eventually(quarantined).WithTimeout(eventTimeout).Should(BeEmpty())
	})

	ginkgo.It("is continued by a new leader and outlives the entry VMs that reported the crashes", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		server.touchWatcher(now, entry("a", crashes(1, 2, 3)))
		server.updateRoster(now)
		Expect(server.lists.quarantined()).To(Equal([]quarantine.Quarantined{{Part: bad}}))
		control := server.opts.Control.(*fakeControl)
		control.leader = "another"
		server.updateRoster(now.Add(time.Second))
		control.leader = ""
		now = now.Add(2 * rosterExpiry)
		server.updateRoster(now)
		Expect(server.lists.crashReports(now.Add(-rosterExpiry))).To(BeEmpty())
		Expect(server.lists.quarantined()).To(Equal([]quarantine.Quarantined{{Part: bad}}))
	})

	ginkgo.It("is taken from the last leader, not from an earlier term", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		server.touchWatcher(now, entry("a", crashes(1, 2, 3)))
		server.updateRoster(now)
		control := server.opts.Control.(*fakeControl)
		control.leader = "another"
		now = now.Add(2 * rosterExpiry)
		server.updateRoster(now)
		server.lists.put(quarantineName, now, encodeSet([]quarantine.Quarantined{{Part: 8}}))
		control.leader = ""
		server.updateRoster(now)
		Expect(server.lists.quarantined()).To(Equal([]quarantine.Quarantined{{Part: 8}}))
	})

	ginkgo.It("gives each VM that takes requests a turn to try a part, and the other VMs none", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		vms := []EntryVM{{Addr: "a", Zone: "z"}, {Addr: "b", Zone: "z"}, {Addr: "c", Zone: "z", Draining: true}}
		turns := map[string]bool{}
		for range 30 {
			for i, vm := range vms {
				server.touchWatcher(now, &watchCall{From: vm, Report: crashes(i + 1)})
			}
			server.updateRoster(now)
			now = now.Add(time.Second)
			for _, q := range server.lists.quarantined() {
				turns[q.Trial.VM] = true
			}
		}
		Expect(turns).To(Equal(map[string]bool{"": true, "a": true, "b": true}))
	})

	// Guards against a report of crashes that waits for the next regular update.
	ginkgo.It("is decided at once when an entry VM reports something new", func() {
		server := newTestServer(newFakeLister())
		now := time.Now()
		server.touchWatcher(now, entry("a", nil))
		Expect(server.rosterChanged).To(Receive())
		server.touchWatcher(now, entry("a", crashes(1)))
		Expect(server.rosterChanged).To(Receive())
		server.touchWatcher(now, entry("a", crashes(1)))
		Expect(server.rosterChanged).NotTo(Receive())
		changed := server.lists.nextChange(reportChanges)
		server.lists.put(crashesPrefix+"c2", now, encodeSet([]crashReport{{VM: "b", Report: *crashes(2)}}))
		Expect(changed).To(BeClosed())
	})
})
