package control

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/wal"
)

// fillingFS is a disk that is full for the files whose names end as set, and
// takes half of a write then.
type fillingFS struct {
	wal.FS
	fullFor atomic.Pointer[string]
}

func (f *fillingFS) fill(suffix string) { f.fullFor.Store(&suffix) }

func (f *fillingFS) free() { f.fullFor.Store(nil) }

func (f *fillingFS) isFull(name string) bool {
	suffix := f.fullFor.Load()
	return suffix != nil && strings.HasSuffix(name, *suffix)
}

func (f *fillingFS) Create(name string) (wal.File, error) {
	if f.isFull(name) {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	file, err := f.FS.Create(name)
	return &fillingFile{file, f, name}, err
}

func (f *fillingFS) OpenAppend(name string) (wal.File, error) {
	file, err := f.FS.OpenAppend(name)
	return &fillingFile{file, f, name}, err
}

type fillingFile struct {
	wal.File
	fs   *fillingFS
	name string
}

func (f *fillingFile) Write(b []byte) (int, error) {
	if !f.fs.isFull(f.name) {
		return f.File.Write(b)
	}
	n, _ := f.File.Write(b[:len(b)/2])
	return n, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
}

var _ = ginkgo.Describe("Replica with a full disk", func() {
	var c *cluster
	var disks map[ids.VMID]*fillingFS
	It := ginkgo.It
	start := func(adjust func(*Options), vms ...ids.VMID) {
		disks = map[ids.VMID]*fillingFS{}
		for _, vm := range vms {
			disks[vm] = &fillingFS{FS: osFS()}
		}
		c = newCluster(ginkgo.GinkgoT().TempDir(), func(o *Options) {
			o.FS = disks[o.Self]
			if adjust != nil {
				adjust(o)
			}
		}, vms...)
	}
	expectNoneStopped := func() {
		ginkgo.GinkgoHelper()
		for vm, m := range c.members {
			Expect(m.replica.Err()).NotTo(HaveOccurred(), string(vm))
			Expect(m.replica.Done()).NotTo(BeClosed(), string(vm))
		}
	}
	ginkgo.AfterEach(func() { c.stopAll() })

	// Guards against replicas that stop one after the other, a leader that stays
	// though it cannot store anything, and a change that is lost or never answered.
	It("goes on by itself, one disk after the other, the leader's first, in two rounds", func() {
		start(nil, "a", "b", "c")
		for range 2 {
			leader := c.leader()
			for _, vm := range append([]ids.VMID{leader}, c.others(leader)...) {
				disks[vm].fill("")
				c.claimN(5)
				Expect(c.leader()).NotTo(Equal(vm))
				expectNoneStopped()
				disks[vm].free()
				c.expectAllClaims()
			}
		}
		expectNoneStopped()
		for vm := range c.members {
			c.kill(vm)
		}
		for vm := range c.members {
			Expect(c.start(vm)).To(Succeed(), "the log is whole")
		}
		c.claimN(1)
		c.expectAllClaims()
	})

	// Guards against a control VM that sends changes to a leader of the past while
	// its own disk is full, and against one that says it has what it lacks.
	It("forwards changes to the next leader and confirms nothing that it has not stored", func() {
		start(nil, "a", "b", "c", "d", "e")
		old := c.leader()
		follower := c.members[c.others(old)[0]]
		Eventually(follower.server.Ready, waitTimeout, time.Millisecond).Should(Succeed())
		disks[follower.vm].fill("")
		c.changeSetting(0, "3s")
		accepted := time.Now()
		disks[old].fill("")
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		for n, via := range []*member{c.members[old], follower} {
			id := ids.SessionID{VM: "entry-2", Incarnation: ids.Incarnation(n + 1)}
			result, err := via.server.Propose(ctx, ids.SettingsGroup, command.Command{OpenSession: &command.OpenSession{Session: id, Region: "r"}})
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Code).To(Equal(command.OK))
		}
		Expect(follower.server.ConfirmationAge(time.Now())).To(BeNumerically("<", 0))
		v, age, err := follower.server.Settings()
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Version()).To(BeZero())
		Expect(time.Now().Add(-age)).To(BeTemporally("<", accepted), "the confirmation is newer than a change that it does not cover")
		expectNoneStopped()
		disks[old].free()
		disks[follower.vm].free()
		for _, m := range c.members {
			Eventually(func() uint64 { return m.replica.published.Load().settings.Version() }, waitTimeout, time.Millisecond).Should(BeNumerically("==", 1))
			Eventually(func() time.Duration { return m.server.ConfirmationAge(time.Now()) }, waitTimeout, time.Millisecond).Should(BeNumerically(">=", 0))
		}
	})

	// Guards against a campaign whose term and vote are not stored with the Ready that
	// waits for space.
	It("does not advance the node's clock", func() {
		start(nil, "a", "b", "c")
		leader := c.members[c.leader()]
		m := c.members[c.others(leader.vm)[0]]
		ticks := func(r *Replica) (now uint64) {
			Expect(r.Do(context.Background(), func() { now = r.node.Now() })).To(Succeed())
			return now
		}
		disks[m.vm].fill("")
		c.claimN(1)
		Eventually(func() bool { return m.replica.published.Load().paused }, waitTimeout, time.Millisecond).Should(BeTrue())
		before, leaderBefore := ticks(m.replica), ticks(leader.replica)
		Eventually(func() uint64 { return ticks(leader.replica) }, waitTimeout, time.Millisecond).Should(BeNumerically(">", leaderBefore+10))
		Expect(ticks(m.replica)).To(Equal(before))
	})

	// Guards against a replica that stops, or stores no snapshot any more, because
	// one found no space.
	It("stores a snapshot later", func() {
		start(func(o *Options) { o.SnapshotEntries = 40 }, "a", "b", "c")
		for _, disk := range disks {
			disk.fill(".tmp")
		}
		index := c.members["a"].replica.published.Load().snapshot
		c.claimN(60)
		expectNoneStopped()
		for _, disk := range disks {
			disk.free()
		}
		for vm, m := range c.members {
			Eventually(func() uint64 { return m.replica.published.Load().snapshot }, waitTimeout, time.Millisecond).Should(BeNumerically(">", index), string(vm))
		}
		c.expectAllClaims()
	})

	// Guards against a process that ends, again and again, because the replica finds
	// no space when it starts.
	It("starts once there is space", func() {
		start(nil, "a", "b", "c")
		m := c.members["a"]
		c.kill("a")
		Expect(os.RemoveAll(m.dir)).To(Succeed())
		disks["a"].fill("")
		o := m.replica.opts
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := OpenWhenSpace(canceled, o)
		Expect(err).To(MatchError(context.Canceled))
		Expect(wal.IsFull(err)).To(BeTrue())
		opened := make(chan *Replica)
		go func() {
			defer ginkgo.GinkgoRecover()
			r, err := OpenWhenSpace(context.Background(), o)
			Expect(err).NotTo(HaveOccurred())
			opened <- r
		}()
		disks["a"].free()
		var r *Replica
		Eventually(opened, waitTimeout).Should(Receive(&r))
		r.abort()
	})

	// Guards against a replica that stops because its disk is full while it takes
	// a snapshot from the leader.
	It("takes a snapshot from the leader later", func() {
		start(func(o *Options) { o.SnapshotEntries = 20 }, "a", "b", "c")
		m := c.members[c.others(c.leader())[0]]
		c.kill(m.vm)
		Expect(os.RemoveAll(m.dir)).To(Succeed())
		c.claimN(60)
		Expect(c.start(m.vm)).To(Succeed())
		disks[m.vm].fill(".tmp")
		c.claimN(5)
		stored := func() ([]string, error) { return filepath.Glob(filepath.Join(m.dir, "snap-*.dat")) }
		// What waits for space must be the snapshot: anything before it would wait for
		// the segments too.
		Eventually(func() bool {
			names, err := stored()
			return m.replica.published.Load().paused || err == nil && len(names) > 0
		}, waitTimeout, time.Millisecond).Should(BeTrue())
		disks[m.vm].fill(".seg") // the snapshot is stored, its reset is not
		Eventually(stored, waitTimeout, time.Millisecond).ShouldNot(BeEmpty())
		c.claimN(5)
		expectNoneStopped()
		disks[m.vm].free()
		c.expectAllClaims()
	})
})
