package control

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/settings"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// subscription is an entry VM that renews at one control VM.
type subscription struct {
	c         *cluster
	session   ids.SessionID
	controlVM ids.VMID
	caller    *transport.Endpoint
	tree      *settings.Tree
	// leaseEnd is when the newest lease expires.
	leaseEnd time.Time
}

func (c *cluster) subscribe(vm, at ids.VMID) *subscription {
	s := &subscription{c: c, session: ids.SessionID{VM: vm, Incarnation: 1}, controlVM: at, tree: settings.NewTree()}
	s.caller = c.mem.Endpoint(string(vm), transport.Peer{VM: vm, Role: transport.RoleEntry})
	c.openSession(s.session)
	return s
}

// renew retries until the control VM grants a lease or reports that the session
// has ended.
func (s *subscription) renew(observations ...settings.Observation) wire.RenewReply {
	var reply wire.RenewReply
	Eventually(func() bool {
		reply = s.tryRenew(observations...)
		return reply.OK || reply.SessionEnded
	}, waitTimeout, 5*time.Millisecond).Should(BeTrue(), "no lease at %s", s.controlVM)
	return reply
}

func (s *subscription) tryRenew(observations ...settings.Observation) wire.RenewReply {
	body, err := wire.Encode(&wire.Renew{Session: s.session, SettingsVersion: s.tree.Version(), Observations: observations})
	Expect(err).NotTo(HaveOccurred())
	var reply wire.RenewReply
	sent := time.Now()
	b, err := s.caller.Call(context.Background(), string(s.controlVM), transport.MethodRenew, body)
	if err != nil {
		return reply
	}
	Expect(wire.Decode(b, &reply)).To(Succeed())
	if reply.OK {
		s.tree, err = s.tree.Replay(reply.Changes)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.tree.Version()).To(Equal(reply.Version))
		s.leaseEnd = sent.Add(time.Duration(reply.TermMS)*time.Millisecond - time.Duration(reply.AgeMS)*time.Millisecond)
	}
	return reply
}

var _ = ginkgo.Describe("Server", func() {
	var c *cluster
	It := ginkgo.It
	start := func(adjust func(*Options)) {
		c = newCluster(ginkgo.GinkgoT().TempDir(), adjust, "a", "b", "c")
	}
	ginkgo.AfterEach(func() { c.stopAll() })

	// Guards against a change that is declared in effect while an entry VM
	// serves an older version, and against one that never takes effect.
	It("brings a change into effect across all control VMs", func() {
		start(func(o *Options) { o.LeaseTerm = time.Second })
		var subs []*subscription
		for _, vm := range []ids.VMID{"a", "b", "c"} {
			subs = append(subs, c.subscribe("e"+vm, vm))
		}
		for base := range uint64(3) {
			version := c.changeSetting(base, fmt.Sprint(base+1, "s"))
			Eventually(func() bool {
				for _, s := range subs {
					s.tryRenew()
				}
				for _, m := range c.members {
					if st, _ := m.server.Status(context.Background()); st.InEffect < version {
						return false
					}
				}
				return true
			}, waitTimeout, 5*time.Millisecond).Should(BeTrue())
			for _, s := range subs {
				Expect(s.tree.Version() >= version || time.Now().After(s.leaseEnd)).To(BeTrue())
			}
		}
	})

	// Guards against a change that waits indefinitely for a silent entry VM.
	It("waits for a silent entry VM no longer than its lease", func() {
		start(func(o *Options) { o.LeaseTerm, o.SessionExpiry = 600*time.Millisecond, 2*time.Second })
		c.subscribe("silent", "b").renew()
		version := c.changeSetting(0, "3s")
		for _, m := range c.members {
			Eventually(func() uint64 {
				got, err := m.server.WaitInEffect(context.Background(), version)
				Expect(err).NotTo(HaveOccurred())
				return got
			}, waitTimeout).Should(Equal(version))
		}
	})

	// Guards against a dead entry VM that keeps its claims open, and against a
	// renewal that reopens an ended session.
	It("expires a session that is not renewed", func() {
		start(func(o *Options) { o.LeaseTerm, o.SessionExpiry = 300*time.Millisecond, 900*time.Millisecond })
		dead, alive := c.subscribe("dead", "a"), c.subscribe("alive", "b")
		dead.renew()
		isOpen := func(s *subscription) bool {
			var open bool
			m := c.members[c.leader()]
			Expect(m.replica.Do(context.Background(), func() {
				for _, id := range m.machine.OpenSessions() {
					open = open || id.Session == s.session
				}
			})).To(Succeed())
			return open
		}
		Eventually(func() bool {
			alive.tryRenew()
			return isOpen(dead)
		}, waitTimeout, 10*time.Millisecond).Should(BeFalse())
		Eventually(func() bool { return dead.tryRenew().SessionEnded }, waitTimeout, 10*time.Millisecond).Should(BeTrue())
	})

	// Guards against entry VMs at other control VMs that keep sending requests
	// to a leaving upstream.
	It("passes observations and drain requests on to the entry VMs of other control VMs", func() {
		start(nil)
		followers := c.others(c.leader())
		from, to := c.subscribe("from", followers[0]), c.subscribe("to", followers[1])
		to.renew()
		from.renew(settings.Observation{Address: "10.0.0.1:80", State: settings.ObservedLeaving, From: "from"})
		var got []settings.Observation
		Eventually(func() []settings.Observation {
			got = append(got, to.renew().Observations...)
			return got
		}, waitTimeout, 10*time.Millisecond).ShouldNot(BeEmpty())
		Expect(got[0].Address).To(Equal("10.0.0.1:80"))
		Expect(from.renew().Observations).To(BeEmpty(), "its own observation came back")
		Expect(c.members["c"].server.Drain(context.Background(), "to")).To(Succeed())
		Eventually(func() bool { return to.renew().Drain }, waitTimeout, 10*time.Millisecond).Should(BeTrue())
		Expect(from.renew().Drain).To(BeFalse())
	})

	// Guards against an entry VM's certificate that participates in the group
	// or renews the session of another VM.
	It("rejects calls that the peer's role does not allow", func() {
		start(nil)
		entry := c.mem.Endpoint("entry-1", transport.Peer{})
		for _, m := range []transport.Method{transport.MethodRaft, transport.MethodSnapshot} {
			_, err := entry.Call(context.Background(), "a", m, nil)
			Expect(err).To(MatchError(ContainSubstring("use a certificate of a control VM")))
		}
		body, err := wire.Encode(&wire.Renew{Session: ids.SessionID{VM: "other", Incarnation: 1}})
		Expect(err).NotTo(HaveOccurred())
		_, err = entry.Call(context.Background(), "a", transport.MethodRenew, body)
		Expect(err).To(MatchError(ContainSubstring("correct the VM's name")))
	})

	// Guards against a graceful stop that leaves the group without a leader for
	// an election timeout, and against losing acknowledged commands.
	It("transfers leadership on Close", func() {
		start(nil)
		c.claimN(5)
		m := c.members[c.leader()]
		m.endpoint.Listen(m.server)
		Expect(m.replica.Close(context.Background())).To(Succeed())
		Expect(m.replica.published.Load().isLeader()).To(BeFalse())
		m.endpoint.Listen(nil)
		m.server.Close()
		c.claimN(5)
		c.expectAllClaims()
	})

	// Guards against leases that expire while a report, or a forwarded command,
	// waits for an unresponsive leader.
	It("switches to the new leader when the old one is unresponsive", func() {
		// With these times only a change of the leader ends a call within this
		// test.
		start(func(o *Options) { o.LeaseTerm, o.SessionExpiry = 24*time.Hour, 48*time.Hour })
		c.claimN(1)
		old := c.leader()
		follower := c.members[c.others(old)[0]].server
		// A follower without a confirmation has no settings that could grow old.
		Eventually(func() error {
			_, _, err := follower.Settings()
			return err
		}, waitTimeout, time.Millisecond).Should(Succeed())
		c.isolate(old)
		silent := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := follower.Propose(ctx, ids.SettingsGroup, command.Command{LookupKey: &command.LookupKey{Workspace: "w", Key: "k"}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() time.Time {
			_, age, err := follower.Settings()
			Expect(err).NotTo(HaveOccurred())
			return time.Now().Add(-age)
		}, waitTimeout, time.Millisecond).Should(BeTemporally(">", silent))
	})

	// Guards against a replica that continues after its disk has failed.
	It("stops permanently when the disk fails", func() {
		disks := map[ids.VMID]*failingFS{}
		start(func(o *Options) {
			disks[o.Self] = &failingFS{FS: osFS()}
			o.FS = disks[o.Self]
		})
		c.claimN(3)
		m := c.members[c.leader()]
		disks[m.vm].fail.Store(true)
		c.claimN(3)
		Eventually(m.replica.Done(), waitTimeout).Should(BeClosed())
		Expect(m.replica.Err()).To(MatchError(ContainSubstring("the replica has stopped")))
		_, err := m.replica.Propose(context.Background(), command.Command{})
		Expect(err).To(Or(MatchError(ErrStopped), BeNil()))
		c.expectAllClaims()
	})
})
