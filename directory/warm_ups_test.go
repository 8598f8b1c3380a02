package directory

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/evacuation"
	"damaskbridge.example/damaskbridge/warmup"
)

var _ = ginkgo.Describe("grants of runners that warm up", func() {
	var (
		s    *Server
		now  time.Time
		cold = Runner{ID: "r1", Service: "s", Addr: "10.0.0.1:1", Zone: "z", WarmupLeftMS: 2000}
		warm = Runner{ID: "r2", Service: "s", Addr: "10.0.0.2:1", Zone: "z"}
	)
	ginkgo.BeforeEach(func() {
		s = newTestServer(newFakeLister())
		now = time.Now()
		s.lists.put(runnersPrefix+"z", now, encodeSet([]Runner{cold, warm}))
		s.lists.putEntries(now, []EntryVM{{Addr: "far", Zone: "y"}, {Addr: "near", Zone: "z"}, {Addr: "leaving", Zone: "z", Draining: true}})
	})

	// granted returns the processes of a VM's grants as an entry VM would learn them.
	granted := func(vm string, at time.Time) (processes []string) {
		set, asOf := s.lists.store.Get(warmUpsName)
		list, err := decodeSet[warmup.Grant](set)
		Expect(err).NotTo(HaveOccurred())
		grants := warmup.NewGrants(asOf, list, vm)
		for _, r := range []Runner{cold, warm} {
			if grants.Holds(at, r.Process()) {
				processes = append(processes, r.Process())
			}
		}
		return processes
	}

	// Guards against a leader that gives what its predecessor has given to another VM.
	ginkgo.It("are given one term after the start of the leader's time, to a VM of the runner's data centre", func() {
		s.grantWarmUps(now, now)
		Expect(s.lists.has(warmUpsName)).To(BeTrue())
		Expect(granted("near", now)).To(BeEmpty())
		later := now.Add(warmup.Term + time.Second)
		s.grantWarmUps(later, now)
		Expect(granted("near", later)).To(Equal([]string{cold.Process()}))
		Expect(granted("far", later)).To(BeEmpty())
		Expect(granted("leaving", later)).To(BeEmpty())
	})

	// Guards against a term that counts from the sending of a grant by a leader whom
	// nobody confirms.
	ginkgo.It("hold from the moment at which the leader was confirmed", func() {
		later := now.Add(time.Minute)
		s.opts.Control.(*fakeControl).setAge(3 * time.Second)
		s.grantWarmUps(later, now)
		Expect(granted("near", later)).To(HaveLen(1))
		Expect(granted("near", later.Add(warmup.Term-3*time.Second))).To(BeEmpty())
		s.opts.Control.(*fakeControl).setAge(-1)
		s.grantWarmUps(later.Add(time.Minute), now)
		Expect(granted("near", later.Add(time.Minute))).To(BeEmpty())
	})

	// Guards against a data centre without service after its evacuation: its runners
	// count as cold, and only a holder may use them.
	ginkgo.It("are given for all runners of a data centre whose evacuation has ended", func() {
		control := s.opts.Control.(*fakeControl)
		control.order(&evacuation.Order{Zone: "z", Start: true})
		control.evacuations, _ = control.evacuations.Apply(7, &evacuation.Order{Zone: "z", Revision: 1})
		later := now.Add(time.Minute)
		s.grantWarmUps(later, now)
		Expect(granted("near", later)).To(HaveLen(2))
		much := later.Add(grantsAfterEvacuation)
		s.grantWarmUps(much, now)
		Expect(granted("near", much)).To(HaveLen(1))
	})
})
