package audit

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
)

// fill appends batches of two records each and returns the closed folder.
func fill(dir string, batches int, o Options) {
	s, err := Open(dir, o)
	Expect(err).NotTo(HaveOccurred())
	for n := 1; n <= batches; n++ {
		b := Batch{Number: uint64(n), Records: []Record{record(sessionOf("a"), uint64(n), Begin), record(sessionOf("a"), uint64(n), End)}}
		Expect(s.Append(sessionOf("a"), b)).To(Succeed())
	}
	Expect(s.Close()).To(Succeed())
}

func isCorrupt(err error) bool {
	var c *CorruptError
	return errors.As(err, &c)
}

// change passes the content of a segment through edit and writes it back.
func change(dir string, number uint64, edit func([]byte) []byte) {
	path := segmentPath(dir, number)
	b, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, edit(b), fileMode)).To(Succeed())
}

// Stored batches cannot be read with another dictionary.
func TestDictionaryIsUnchanged(t *testing.T) {
	RegisterTestingT(t)
	sum := sha256.Sum256([]byte(dictionary))
	Expect(hex.EncodeToString(sum[:])).To(Equal("a88dab43edab70107805751c6822414b0387a005bd6427edc4832f9845eb1211"))
}

// Records read back as they were packed, and a batch that would unpack to more
// than the limit is rejected.
func TestPackReadsBack(t *testing.T) {
	RegisterTestingT(t)
	_, err := unpack(bomb(maxBatchBytes + 1))
	Expect(err).To(MatchError(errPackSize))
	rapid.Check(t, func(t *rapid.T) {
		var records []cbor.RawMessage
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			records = append(records, rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "record"))
		}
		packed, err := pack(records)
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpack(packed)
		if err != nil || !slices.EqualFunc(got, records, func(a, b cbor.RawMessage) bool { return bytes.Equal(a, b) }) {
			t.Fatalf("%v read back as %v, %v", records, got, err)
		}
	})
}

// bomb packs n zero bytes.
func bomb(n int) []byte {
	var out bytes.Buffer
	out.WriteByte(packVersion)
	w, err := flate.NewWriterDict(&out, packLevel, []byte(dictionary))
	Expect(err).NotTo(HaveOccurred())
	_, err = w.Write(make([]byte, n))
	Expect(err).NotTo(HaveOccurred())
	Expect(w.Close()).To(Succeed())
	return out.Bytes()
}

// Every change of one byte in a sealed segment is found: by Verify of the
// folder and of an open store, and by Open if it has to read the segment.
func TestByteChangesInSealedSegments(t *testing.T) {
	RegisterTestingT(t)
	dir := t.TempDir()
	fill(dir, 14, Options{SegmentBytes: 400})
	numbers, err := listSegments(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(len(numbers)).To(BeNumerically(">", 3))
	check := func(number uint64, at int, xor byte) bool {
		change(dir, number, func(b []byte) []byte { b[at] ^= xor; return b })
		defer change(dir, number, func(b []byte) []byte { b[at] ^= xor; return b })
		_, dirErr := VerifyDir(dir)
		store, err := load(dir, Options{openFile: newCrashDisk().open})
		Expect(err).NotTo(HaveOccurred())
		_, storeErr := store.Verify()
		Expect(store.file.Close()).To(Succeed())
		index := indexPath(segmentPath(dir, number))
		Expect(os.Rename(index, index+".old")).To(Succeed())
		_, openErr := load(dir, Options{openFile: newCrashDisk().open})
		Expect(os.Rename(index+".old", index)).To(Succeed())
		return isCorrupt(dirErr) && isCorrupt(storeErr) && isCorrupt(openErr)
	}
	first, err := os.ReadFile(segmentPath(dir, 1))
	Expect(err).NotTo(HaveOccurred())
	for at := range first {
		if !check(1, at, 1) {
			t.Fatalf("the change of byte %d was not found", at)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64Range(1, numbers[len(numbers)-2]).Draw(t, "segment")
		info, err := os.Stat(segmentPath(dir, number))
		if err != nil {
			t.Fatal(err)
		}
		at := rapid.IntRange(0, int(info.Size())-1).Draw(t, "at")
		if !check(number, at, byte(rapid.IntRange(1, 255).Draw(t, "xor"))) {
			t.Fatal("the change was not found")
		}
	})
}

// No change of one byte in an index file changes what is found: the index is
// built again from its segment.
func TestByteChangesInIndexFiles(t *testing.T) {
	RegisterTestingT(t)
	dir := t.TempDir()
	fill(dir, 14, Options{SegmentBytes: 400})
	path := indexPath(segmentPath(dir, 2))
	good, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	for at := range good {
		bad := bytes.Clone(good)
		bad[at] ^= 1
		Expect(os.WriteFile(path, bad, fileMode)).To(Succeed())
		Expect(findAll(dir)).To(Equal(14), "byte %d", at)
		Expect(os.ReadFile(path)).To(Equal(good), "byte %d", at)
	}
	Expect(os.Remove(path)).To(Succeed())
	Expect(findAll(dir)).To(Equal(14))
}

// findAll opens a folder of fill and counts the requests that are found whole.
func findAll(dir string) int {
	s, err := load(dir, Options{openFile: newCrashDisk().open})
	Expect(err).NotTo(HaveOccurred())
	defer s.file.Close() //nolint:errcheck // nothing was written
	found := 0
	for seq := uint64(1); seq <= 30; seq++ {
		entries, err := s.Query(ids.RequestID{Session: sessionOf("a"), Seq: seq})
		Expect(err).NotTo(HaveOccurred())
		if len(entries) == 2 {
			found++
		}
	}
	return found
}

var _ = ginkgo.Describe("damage", func() {
	var dir string
	small := Options{SegmentBytes: 800}

	ginkgo.BeforeEach(func() {
		dir = ginkgo.GinkgoT().TempDir()
	})

	ginkgo.It("is found when a record was rewritten together with its checksum", func() {
		fill(dir, 30, small)
		change(dir, 2, func(b []byte) []byte {
			start := bytes.Index(b[4:], magicBytes) + 4
			f, err := readFrame(bytes.NewReader(b[start:]))
			Expect(err).NotTo(HaveOccurred())
			batch, err := f.batch()
			Expect(err).NotTo(HaveOccurred())
			batch.Records[0] = bytes.Replace(batch.Records[0], []byte("fittings"), []byte("FITTINGS"), 1)
			Expect(batch.seal()).To(Succeed())
			var forged bytes.Buffer
			_, err = appendFrame(&forged, hash{}, f.kind, f.synced, batch)
			Expect(err).NotTo(HaveOccurred())
			framed := forged.Bytes()
			copy(framed[len(framed)-hashBytes:], f.hash[:])
			binary.BigEndian.PutUint32(framed[8:], checksum(framed))
			return append(append(append([]byte(nil), b[:start]...), framed...), b[start+int(f.size):]...)
		})
		_, err := VerifyDir(dir)
		Expect(err).To(MatchError(ContainSubstring("hash chain")))
	})

	ginkgo.It("is found when an index was rewritten to hide records", func() {
		fill(dir, 30, small)
		path := segmentPath(dir, 2)
		f, err := readIndex(path, 2)
		Expect(err).NotTo(HaveOccurred())
		f.Sessions = nil
		forged, err := encodeIndex(f)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(indexPath(path), forged, fileMode)).To(Succeed())
		Expect(findAll(dir)).To(BeNumerically("<", 30))
		_, err = VerifyDir(dir)
		var damage *IndexError
		Expect(errors.As(err, &damage)).To(BeTrue())
		Expect(os.Remove(damage.Path)).To(Succeed())
		Expect(findAll(dir)).To(Equal(30))
	})

	ginkgo.It("of an index under an open store hides no records", func() {
		fill(dir, 30, small)
		s, err := Open(dir, small)
		Expect(err).NotTo(HaveOccurred())
		defer s.Close() //nolint:errcheck // nothing waits
		Expect(os.WriteFile(indexPath(segmentPath(dir, 1)), []byte("torn"), fileMode)).To(Succeed())
		Expect(s.Query(ids.RequestID{Session: sessionOf("a"), Seq: 1})).To(HaveLen(2))
		_, err = s.Verify()
		Expect(err).To(MatchError(ContainSubstring("delete it and restart")))
	})

	ginkgo.It("is found when frames or segments are taken out or exchanged", func() {
		fill(dir, 30, small)
		change(dir, 2, func(b []byte) []byte {
			second := bytes.Index(b[4:], magicBytes) + 4
			third := bytes.Index(b[second+4:], magicBytes) + second + 4
			return append(append([]byte(nil), b[:second]...), b[third:]...)
		})
		_, err := VerifyDir(dir)
		Expect(isCorrupt(err)).To(BeTrue())
		_, err = Open(dir, small)
		Expect(isCorrupt(err)).To(BeTrue(), "the size does not fit the index, so the segment is read")
		Expect(os.Remove(segmentPath(dir, 2))).To(Succeed())
		_, err = Open(dir, small)
		Expect(err).To(MatchError(ContainSubstring("missing")))
		Expect(os.Rename(segmentPath(dir, 3), segmentPath(dir, 2))).To(Succeed())
		_, err = VerifyDir(dir)
		Expect(isCorrupt(err)).To(BeTrue())
	})

	ginkgo.It("is found when a segment was exchanged for a sound one of another store", func() {
		fill(dir, 30, small)
		other := ginkgo.GinkgoT().TempDir()
		fill(other, 30, Options{SegmentBytes: 800, Now: func() time.Time { return time.UnixMilli(1) }})
		numbers, err := listSegments(dir)
		Expect(err).NotTo(HaveOccurred())
		last := numbers[len(numbers)-1]
		foreign, err := os.ReadFile(segmentPath(other, last))
		Expect(err).NotTo(HaveOccurred())
		change(dir, last, func([]byte) []byte { return foreign })
		_, err = VerifyDir(dir)
		Expect(isCorrupt(err)).To(BeTrue())
		_, err = Open(dir, small)
		Expect(isCorrupt(err)).To(BeTrue())
	})

	ginkgo.It("in the middle of the active segment is rejected with the remedy", func() {
		fill(dir, 5, Options{})
		change(dir, 1, func(b []byte) []byte {
			second := bytes.Index(b[4:], magicBytes) + 4
			b[second+20] ^= 1
			return b
		})
		_, err := Open(dir, Options{})
		Expect(isCorrupt(err)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("copy of the segment")))
	})

	ginkgo.It("of the page cache after an ended process loses no batch that is acknowledged later", func() {
		disk := newCrashDisk()
		o := Options{openFile: disk.open}
		b := Batch{Number: 1, Records: []Record{record(sessionOf("a"), 1, Begin)}}
		e, err := encodeBatch(sessionOf("a"), &b)
		Expect(err).NotTo(HaveOccurred())
		s, err := load(dir, o)
		Expect(err).NotTo(HaveOccurred())
		disk.failSync = true
		Expect(s.commit([]*pending{{batch: e}})).NotTo(Succeed())
		disk.kill()
		s, err = load(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.commit([]*pending{{batch: e}})).To(Succeed(), "the batch is found in the file and not written again")
		disk.kill()
		for _, f := range disk.files {
			Expect(os.Truncate(f.path, f.synced)).To(Succeed())
		}
		s, err = load(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Query(b.Records[0].Request)).To(HaveLen(1))
	})

	ginkgo.It("of the disk stops the store", func() {
		disk := newCrashDisk()
		s, err := Open(dir, Options{openFile: disk.open})
		Expect(err).NotTo(HaveOccurred())
		b := Batch{Number: 1, Records: []Record{record(sessionOf("a"), 1, Begin)}}
		disk.failSync = true
		var stopped *StoppedError
		Expect(errors.As(s.Append(sessionOf("a"), b), &stopped)).To(BeTrue())
		Expect(errors.As(s.Append(sessionOf("a"), b), &stopped)).To(BeTrue(), "a later fsync proves nothing about the first")
		Expect(s.Err()).To(MatchError(errSync))
		_ = s.Close()
	})
})

var _ = ginkgo.Describe("retention", func() {
	ginkgo.It("keeps the chain verifiable, also after a crash during the deletion", func() {
		dir := ginkgo.GinkgoT().TempDir()
		now := time.UnixMilli(1_000_000)
		o := Options{SegmentBytes: 400, Retention: time.Hour, Now: func() time.Time { return now }}
		fill(dir, 10, o)
		old, err := os.ReadFile(segmentPath(dir, 1))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(2 * time.Hour)
		s, err := Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		b := Batch{Number: 11, Records: []Record{record(sessionOf("a"), 11, Begin)}}
		Expect(s.Append(sessionOf("a"), b)).To(Succeed())
		deleted, err := s.Retire()
		Expect(err).NotTo(HaveOccurred())
		Expect(deleted).To(BeNumerically(">", 1))
		report, err := s.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(report.First).To(Equal(uint64(deleted + 1)))
		found, err := s.Query(ids.RequestID{Session: sessionOf("a"), Seq: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeEmpty())
		Expect(s.Close()).To(Succeed())

		// A crash may leave an old segment behind after the anchor was written.
		Expect(os.WriteFile(segmentPath(dir, 1), old, fileMode)).To(Succeed())
		s, err = Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Verify()).To(HaveField("Head", report.Head))
		Expect(segmentPath(dir, 1)).NotTo(BeAnExistingFile())
		Expect(s.Close()).To(Succeed())

		Expect(os.Remove(filepath.Join(dir, anchorName))).To(Succeed())
		_, err = Open(dir, o)
		Expect(isCorrupt(err)).To(BeTrue(), "without the anchor the deleted segments are missing")
	})
})
