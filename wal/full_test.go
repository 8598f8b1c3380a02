package wal

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"damaskbridge.example/damaskbridge/raft"
)

// quotaFS is the operating system's file system with a limit on what is written.
type quotaFS struct {
	FS
	free int
}

type quotaFile struct {
	File
	fs *quotaFS
}

func (q *quotaFS) Create(name string) (File, error) {
	f, err := q.FS.Create(name)
	return &quotaFile{f, q}, err
}

func (q *quotaFS) OpenAppend(name string) (File, error) {
	f, err := q.FS.OpenAppend(name)
	return &quotaFile{f, q}, err
}

func (f *quotaFile) Write(b []byte) (int, error) {
	n, _ := f.File.Write(b[:min(len(b), f.fs.free)])
	f.fs.free -= n
	if n < len(b) {
		return n, &os.PathError{Op: "write", Path: "file", Err: syscall.EDQUOT}
	}
	return n, nil
}

const enoughBytes = 1 << 30

var _ = ginkgo.Describe("Log on a full disk", func() {
	It := ginkgo.It
	var fs *quotaFS
	var dir string
	ginkgo.BeforeEach(func() { fs, dir = &quotaFS{FS: OS(), free: enoughBytes}, ginkgo.GinkgoT().TempDir() })
	open := func() (*Log, *State) {
		ginkgo.GinkgoHelper()
		l, s, err := Open(fs, dir, identity)
		Expect(err).NotTo(HaveOccurred())
		return l, s
	}
	expectFull := func(err error) {
		ginkgo.GinkgoHelper()
		var full *FullError
		Expect(errors.As(err, &full)).To(BeTrue(), "%v", err)
	}

	// Guards against a replica that stops, and against a gap or the rest of a
	// record before the next one, after a write that was cut short at any byte.
	It("goes on behind the last whole record, in two rounds", func() {
		l, _ := open()
		index := uint64(0)
		for round := range 2 {
			for free := range frameHeaderBytes + 15 {
				next := Batch{Entries: makeEntries(index+1, index+1, 1), HardState: &raft.HardState{Term: uint64(round + 1)}}
				fs.free = free
				expectFull(l.Save(next))
				expectFull(l.Save(next))
				fs.free = enoughBytes
				Expect(l.Save(next)).To(Succeed())
				index++
			}
		}
		fs.free = 3
		Expect(l.Close()).To(Succeed(), "only the close record is missing")
		_, s := open()
		Expect(s.Entries).To(Equal(makeEntries(1, index, 1)))
		Expect(s.HardState.Term).To(BeNumerically("==", 2))
		Expect(s.TornBytes).To(BeZero())
	})

	// Guards against a log without a file for the next record because a new
	// segment could not be made.
	It("goes on in the old segment until a new one can be made", func() {
		l, _ := open()
		l.segmentBytes = 200
		index := uint64(0)
		save := func() {
			index++
			Expect(l.Save(Batch{Entries: makeEntries(index, index, 1)})).To(Succeed())
		}
		save()
		frame := int64(frameHeaderBytes + len(appendEntry(nil, makeEntries(1, 1, 1)[0])))
		for l.written+frame < l.segmentBytes {
			save()
		}
		fs.free = int(frame) + 10 // enough for the record, not for a new segment
		save()
		Expect(l.segments).To(HaveLen(1))
		Expect(filepath.Join(dir, segmentName(2))).NotTo(BeAnExistingFile())
		fs.free = enoughBytes
		for range 20 {
			save()
		}
		Expect(len(l.segments)).To(BeNumerically(">", 1))
		l.Abort()
		_, s := open()
		Expect(s.Entries).To(Equal(makeEntries(1, index, 1)))
	})

	// Guards against a replica that stops because a snapshot found no space, and
	// against a temporary file that keeps the space.
	It("leaves the older snapshot and no temporary file", func() {
		l, _ := open()
		Expect(l.Save(Batch{Entries: makeEntries(1, 3, 1)})).To(Succeed())
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 1, Term: 1})).To(Succeed())
		for range 2 {
			fs.free = 30
			expectFull(l.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1, Data: make([]byte, 100)}))
			Expect(filepath.Glob(filepath.Join(dir, "*"+tempSuffix))).To(BeEmpty())
			s, err := l.ReadSnapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Index).To(BeNumerically("==", 1))
		}
		fs.free = enoughBytes
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 2, Term: 1})).To(Succeed())
		Expect(l.Save(Batch{Entries: makeEntries(4, 4, 1)})).To(Succeed())
	})

	// Guards against a process that cannot start again although an existing log
	// needs no space, and against a folder that stays locked.
	It("opens an existing log without space, and says so where it needs some", func() {
		fs.free = 5
		_, _, err := Open(fs, dir, identity)
		expectFull(err)
		fs.free = enoughBytes
		l, _ := open()
		Expect(l.Save(Batch{Entries: makeEntries(1, 3, 1)})).To(Succeed())
		l.Abort()
		fs.free = 0
		l, s := open()
		Expect(s.Entries).To(Equal(makeEntries(1, 3, 1)))
		fs.free = enoughBytes
		Expect(l.SaveSnapshot(raft.Snapshot{Index: 7, Term: 2})).To(Succeed())
		l.Abort() // before the reset
		fs.free = 5
		for range 2 {
			_, _, err = Open(fs, dir, identity)
			expectFull(err)
		}
		fs.free = enoughBytes
		_, s = open()
		Expect(s.Snapshot.Index).To(BeNumerically("==", 7))
	})
})
