package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/internal/propertytest"
	"damaskbridge.example/damaskbridge/raft"
)

func TestMain(m *testing.M) { propertytest.Main(m, 500) }

func TestWAL(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "wal")
}

var identity = Identity{Group: 1, Replica: raft.ReplicaID{VM: "a", Incarnation: 7}}

func makeEntries(from, to, term uint64) []raft.Entry {
	var list []raft.Entry
	for i := from; i <= to; i++ {
		list = append(list, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: []byte(fmt.Sprint("entry ", i, term))})
	}
	return list
}

// TestCrash guards against the loss of acknowledged data after a crash and
// against a torn tail that is mistaken for corruption.
func TestCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		fs := newMemFS()
		var want []raft.Entry
		base := uint64(0)
		for restart := range 1 + r.IntN(4) {
			l, s, err := Open(fs, "d", identity)
			if err != nil {
				t.Fatalf("restart %d: %v", restart, err)
			}
			l.segmentBytes = 600
			if got := fmt.Sprint(s.Entries); got != fmt.Sprint(want) {
				t.Fatalf("restart %d: read %s, acknowledged %s", restart, got, fmt.Sprint(want))
			}
		operations:
			for range r.IntN(12) {
				last := base + uint64(len(want))
				switch r.IntN(8) {
				case 0: // a leader replaces the end of the log
					last -= uint64(r.IntN(len(want) + 1))
				case 1:
					if len(want) == 0 {
						continue
					}
					at := want[r.IntN(len(want))]
					if err := l.SaveSnapshot(raft.Snapshot{Index: at.Index, Term: at.Term, Data: []byte{1}}); err != nil {
						t.Fatalf("snapshot: %v", err)
					}
					if err := l.Compact(at.Index); err != nil {
						t.Fatalf("compact: %v", err)
					}
					want, base = want[at.Index-base:], at.Index
					continue
				case 2: // a snapshot from the leader replaces the log
					base += uint64(1 + r.IntN(len(want)+5))
					snap := raft.Snapshot{Index: base, Term: 100 + base, Data: []byte{2}}
					want = nil
					if err := l.SaveSnapshot(snap); err != nil {
						t.Fatalf("snapshot: %v", err)
					}
					if r.IntN(3) == 0 {
						break operations // the process ends before it stores the reset
					}
					if err := l.Save(Batch{Reset: &snap}); err != nil {
						t.Fatalf("reset: %v", err)
					}
					continue
				}
				add := makeEntries(last+1, last+uint64(1+r.IntN(4)), 1000+uint64(r.IntN(5)))
				if err := l.Save(Batch{Entries: add, HardState: &raft.HardState{Term: 5}}); err != nil {
					t.Fatalf("save: %v", err)
				}
				want = append(want[:last-base:last-base], add...)
			}
			// These writes are not acknowledged and may be torn.
			for range r.IntN(5) {
				if _, err := l.write(&Batch{HardState: &raft.HardState{Term: 5, Commit: 1}}); err != nil {
					t.Fatalf("write: %v", err)
				}
			}
			fs = fs.crash(r)
		}
	})
}

// writeClosedLog writes a log of one segment with nine entries, closes it and
// returns the path and the bytes of the segment.
func writeClosedLog(dir string) (path string, b []byte) {
	l, _, err := Open(OS(), dir, identity)
	Expect(err).NotTo(HaveOccurred())
	for i := uint64(1); i <= 9; i += 3 {
		Expect(l.Save(Batch{Entries: makeEntries(i, i+2, 1), HardState: &raft.HardState{Term: 1}})).To(Succeed())
	}
	Expect(l.Close()).To(Succeed())
	path = filepath.Join(dir, segmentName(1))
	b, err = os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return path, b
}

var _ = ginkgo.Describe("Log", func() {
	It := ginkgo.It

	// Guards against a corrupt log that is read as a shorter one.
	It("detects every flipped bit of a closed log and names the remedy", func() {
		dir := ginkgo.GinkgoT().TempDir()
		path, b := writeClosedLog(dir)
		closeFrameBytes := len(appendFrame(nil, 0, []byte{byte(recordClose)}))
		for i := range len(b) - closeFrameBytes {
			b[i] ^= 1 << (i % 8)
			Expect(os.WriteFile(path, b, fileMode)).To(Succeed())
			_, _, err := Open(OS(), dir, identity)
			var damage *DamageError
			Expect(errors.As(err, &damage)).To(BeTrue(), "byte %d: %v", i, err)
			Expect(err).To(MatchError(ContainSubstring("move the data folder away")))
			b[i] ^= 1 << (i % 8)
		}
	})

	// Guards against a partly written frame that prevents opening or is returned.
	It("truncates a torn tail of every length", func() {
		dir := ginkgo.GinkgoT().TempDir()
		path, b := writeClosedLog(dir)
		header, err := decodeFrame(b)
		Expect(err).NotTo(HaveOccurred())
		for n := len(b); n >= header.size(); n-- {
			Expect(os.WriteFile(path, b[:n], fileMode)).To(Succeed())
			l, s, err := Open(OS(), dir, identity)
			Expect(err).NotTo(HaveOccurred(), "length %d", n)
			Expect(s.Identity).To(Equal(identity))
			Expect(len(s.Entries) % 3).To(BeZero())
			Expect(l.Save(Batch{Entries: makeEntries(uint64(len(s.Entries))+1, uint64(len(s.Entries))+1, 2)})).To(Succeed())
			l.Abort()
		}
	})

	// Guards against further writes after a write or sync whose effect is unknown.
	It("rejects all operations after a failed sync, also after a record that cannot be cut off", func() {
		for _, inject := range []func(*memFS){
			func(m *memFS) { m.failSyncs = true },
			func(m *memFS) { m.freeBytes, m.failTruncates = 30, true },
		} {
			fs := newMemFS()
			l, _, err := Open(fs, "d", identity)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Save(Batch{Entries: makeEntries(1, 1, 1)})).To(Succeed())
			inject(fs)
			first := l.Save(Batch{Entries: makeEntries(2, 2, 1)})
			Expect(first).To(MatchError(ContainSubstring("the replica has stopped")))
			fs.freeBytes, fs.failSyncs, fs.failTruncates = 1<<30, false, false
			Expect(l.Save(Batch{Entries: makeEntries(2, 2, 1)})).To(Equal(first))
			Expect(l.SaveSnapshot(raft.Snapshot{Index: 1, Term: 1})).To(Equal(first))
			Expect(l.Close()).To(Equal(first))
		}
	})

	// Guards against a partly written snapshot that replaces a complete one.
	It("keeps the older snapshot until the newer one is complete", func() {
		fs := newMemFS()
		l, _, err := Open(fs, "d", identity)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Save(Batch{Entries: makeEntries(1, 3, 1)})).To(Succeed())
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 1, Term: 1})).To(Succeed())
		fs.freeBytes = 30
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1, Data: make([]byte, 100)})).NotTo(Succeed())
		l.Abort()
		fs.freeBytes = 1 << 30
		_, s, err := Open(fs, "d", identity)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Snapshot.Index).To(BeNumerically("==", 1))
		Expect(s.Entries).To(HaveLen(2))
	})

	// Guards against a log that cannot be opened, or from which acknowledged
	// entries are dropped, because the process ended after it had stored a
	// snapshot from the leader and before the reset that starts the log anew.
	It("continues from a snapshot whose reset was not stored", func() {
		for name, before := range map[string][]raft.Entry{
			"a log that ends before the snapshot":                   nil,
			"a log with a gap before the snapshot":                  makeEntries(1, 3, 1),
			"a log with an entry of another term at its index":      makeEntries(1, 9, 1),
			"a log whose last entry has its index but not its term": makeEntries(1, 7, 1),
		} {
			fs := newMemFS()
			l, _, err := Open(fs, "d", identity)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Save(Batch{Entries: before, HardState: &raft.HardState{Term: 1}})).To(Succeed())
			Expect(l.SaveSnapshot(raft.Snapshot{Index: 7, Term: 2})).To(Succeed())
			l.Abort()
			after := makeEntries(8, 9, 3)
			for restart := range 3 {
				l, s, err := Open(fs, "d", identity)
				Expect(err).NotTo(HaveOccurred(), "%s, restart %d", name, restart)
				Expect(s.Snapshot.Index).To(BeNumerically("==", 7))
				if restart == 0 {
					Expect(s.Entries).To(BeEmpty(), name)
					Expect(l.Save(Batch{Entries: after})).To(Succeed())
				} else {
					Expect(s.Entries).To(Equal(after), "%s, restart %d", name, restart)
				}
				Expect(l.Close()).To(Succeed())
			}
		}
	})

	// Guards against a log that stays unusable after an earlier version left out
	// the reset: entries that the snapshot covers are missing before the first
	// one that follows it.
	It("opens a log whose missing entries are all covered by the snapshot", func() {
		writeGap := func(snapshotIndex uint64) *memFS {
			fs := newMemFS()
			l, _, err := Open(fs, "d", identity)
			Expect(err).NotTo(HaveOccurred())
			defer l.Abort()
			Expect(l.Save(Batch{Entries: makeEntries(1, 3, 1)})).To(Succeed())
			Expect(l.SaveSnapshot(raft.Snapshot{Index: snapshotIndex, Term: 2})).To(Succeed())
			Expect(l.Save(Batch{Entries: makeEntries(8, 9, 3)})).To(Succeed())
			return fs
		}
		_, s, err := Open(writeGap(7), "d", identity)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Entries).To(Equal(makeEntries(8, 9, 3)))
		var damage *DamageError
		_, _, err = Open(writeGap(6), "d", identity)
		Expect(errors.As(err, &damage)).To(BeTrue(), "entry 7 is missing")
	})

	// Guards against a log that starts over at an older snapshot than the one that
	// its reset names.
	It("detects that the snapshot of the reset is missing", func() {
		fs := newMemFS()
		l, _, err := Open(fs, "d", identity)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 7, Term: 2})).To(Succeed())
		Expect(l.Save(Batch{Reset: &raft.Snapshot{Index: 9, Term: 2}})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		var damage *DamageError
		_, _, err = Open(fs, "d", identity)
		Expect(errors.As(err, &damage)).To(BeTrue())
	})

	// Guards against one sync per writer.
	It("shares syncs between concurrent writers", func() {
		l, _, err := Open(OS(), ginkgo.GinkgoT().TempDir(), identity)
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		positions := make([]position, 50)
		for i := range positions {
			positions[i], err = l.write(&Batch{HardState: &raft.HardState{Term: uint64(i)}})
			Expect(err).NotTo(HaveOccurred())
		}
		var group sync.WaitGroup
		for _, pos := range positions {
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				Expect(l.sync(pos)).To(Succeed())
			})
		}
		group.Wait()
		Expect(l.Syncs()).To(BeNumerically("==", 1))
	})

	// Guards against a directory used by another VM or by two processes.
	It("refuses a directory of another VM and one in use", func() {
		dir := ginkgo.GinkgoT().TempDir()
		l, _, err := Open(OS(), dir, identity)
		Expect(err).NotTo(HaveOccurred())
		var locked *LockedError
		_, _, err = Open(OS(), dir, identity)
		Expect(errors.As(err, &locked)).To(BeTrue())
		Expect(l.Close()).To(Succeed())
		other := identity
		other.Replica.VM = "b"
		var wrong *IdentityError
		_, _, err = Open(OS(), dir, other)
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})

	// Guards against a corrupt snapshot or a missing log that is ignored.
	It("detects a flipped bit of a snapshot and a snapshot without its log", func() {
		dir := ginkgo.GinkgoT().TempDir()
		path, _ := writeClosedLog(dir)
		l, _, err := Open(OS(), dir, identity)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 4, Term: 1, Data: []byte("state")})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		snap := filepath.Join(dir, snapshotName(4, 1))
		b, err := os.ReadFile(snap)
		Expect(err).NotTo(HaveOccurred())
		var damage *DamageError
		for i := range b {
			b[i] ^= 4
			Expect(os.WriteFile(snap, b, fileMode)).To(Succeed())
			_, _, err = Open(OS(), dir, identity)
			Expect(errors.As(err, &damage)).To(BeTrue(), "byte %d: %v", i, err)
			b[i] ^= 4
		}
		Expect(os.WriteFile(snap, b, fileMode)).To(Succeed())
		Expect(os.Remove(path)).To(Succeed())
		_, _, err = Open(OS(), dir, identity)
		Expect(errors.As(err, &damage)).To(BeTrue())
	})
})

// FuzzDecode guards against a panic or an out-of-bounds read in the decoder, and
// against a frame that does not encode to the bytes from which it was decoded.
func FuzzDecode(f *testing.F) {
	payload := appendHeader(nil, header{identity: identity, segment: 3})
	payload = appendHardState(payload, raft.HardState{Term: 9, Vote: identity.Replica, Commit: 4})
	payload = appendReset(payload, raft.Snapshot{Index: 5, Term: 6})
	payload = appendEntry(payload, makeEntries(6, 6, 7)[0])
	f.Add(appendFrame(nil, 77, payload))
	f.Add(payload)
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := decodeFrame(b); err == nil {
			again := appendFrame(nil, fr.synced, fr.payload)
			if string(again) != string(b[:fr.size()]) {
				t.Fatalf("frame %x encodes to %x", b[:fr.size()], again)
			}
			b = fr.payload
		}
		_, _ = decodeRecords(b)
		_, _ = decodeSnapshot(b)
	})
}
