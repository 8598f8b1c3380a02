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

// fillStore appends batches of two records each to a store in dir and closes
// it.
func fillStore(dir string, batches int, o Options) {
	s, err := Open(dir, o)
	Expect(err).NotTo(HaveOccurred())
	for n := 1; n <= batches; n++ {
		b := Batch{Number: uint64(n), Records: []Record{testRecord(testSession("a"), uint64(n), Begin), testRecord(testSession("a"), uint64(n), End)}}
		Expect(s.Append(testSession("a"), b)).To(Succeed())
	}
	Expect(s.Close()).To(Succeed())
}

func isCorrupt(err error) bool {
	var c *CorruptError
	return errors.As(err, &c)
}

// editSegment replaces the content of a segment with the result of edit.
func editSegment(dir string, number uint64, edit func([]byte) []byte) {
	path := segmentPath(dir, number)
	b, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, edit(b), fileMode)).To(Succeed())
}

// TestDictionaryIsUnchanged guards against a changed dictionary, with which
// stored batches could no longer be read.
func TestDictionaryIsUnchanged(t *testing.T) {
	RegisterTestingT(t)
	sum := sha256.Sum256([]byte(dictionary))
	Expect(hex.EncodeToString(sum[:])).To(Equal("a88dab43edab70107805751c6822414b0387a005bd6427edc4832f9845eb1211"))
}

// TestPackRoundTrip guards against records that change when they are packed and
// unpacked, and against a batch that unpacks to more than the limit.
func TestPackRoundTrip(t *testing.T) {
	RegisterTestingT(t)
	_, err := unpack(packZeros(maxBatchBytes + 1))
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

// packZeros packs n zero bytes.
func packZeros(n int) []byte {
	var out bytes.Buffer
	out.WriteByte(packVersion)
	w, err := flate.NewWriterDict(&out, packLevel, []byte(dictionary))
	Expect(err).NotTo(HaveOccurred())
	_, err = w.Write(make([]byte, n))
	Expect(err).NotTo(HaveOccurred())
	Expect(w.Close()).To(Succeed())
	return out.Bytes()
}

// TestByteChangesInSealedSegments guards against undetected changes of one byte
// in a sealed segment. VerifyDir and Verify of an open store must find each
// one, and so must Open if it has to read the segment.
func TestByteChangesInSealedSegments(t *testing.T) {
	RegisterTestingT(t)
	dir := t.TempDir()
	fillStore(dir, 14, Options{SegmentBytes: 400})
	numbers, err := listSegments(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(len(numbers)).To(BeNumerically(">", 3))
	detected := func(number uint64, offset int, xor byte) bool {
		editSegment(dir, number, func(b []byte) []byte { b[offset] ^= xor; return b })
		defer editSegment(dir, number, func(b []byte) []byte { b[offset] ^= xor; return b })
		_, dirErr := VerifyDir(dir)
		store, err := loadStore(dir, Options{openFile: newCrashDisk().open})
		Expect(err).NotTo(HaveOccurred())
		_, storeErr := store.Verify()
		Expect(store.file.Close()).To(Succeed())
		index := indexPath(segmentPath(dir, number))
		Expect(os.Rename(index, index+".old")).To(Succeed())
		_, openErr := loadStore(dir, Options{openFile: newCrashDisk().open})
		Expect(os.Rename(index+".old", index)).To(Succeed())
		return isCorrupt(dirErr) && isCorrupt(storeErr) && isCorrupt(openErr)
	}
	first, err := os.ReadFile(segmentPath(dir, 1))
	Expect(err).NotTo(HaveOccurred())
	for offset := range first {
		if !detected(1, offset, 1) {
			t.Fatalf("the change of byte %d was not detected", offset)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64Range(1, numbers[len(numbers)-2]).Draw(t, "segment")
		info, err := os.Stat(segmentPath(dir, number))
		if err != nil {
			t.Fatal(err)
		}
		offset := rapid.IntRange(0, int(info.Size())-1).Draw(t, "at")
		if !detected(number, offset, byte(rapid.IntRange(1, 255).Draw(t, "xor"))) {
			t.Fatal("the change was not detected")
		}
	})
}

// TestByteChangesInIndexFiles guards against a damaged index file that hides
// records: the index must be rebuilt from its segment after a change of any
// byte.
func TestByteChangesInIndexFiles(t *testing.T) {
	RegisterTestingT(t)
	dir := t.TempDir()
	fillStore(dir, 14, Options{SegmentBytes: 400})
	path := indexPath(segmentPath(dir, 2))
	good, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	for at := range good {
		bad := bytes.Clone(good)
		bad[at] ^= 1
		Expect(os.WriteFile(path, bad, fileMode)).To(Succeed())
		Expect(countCompleteRequests(dir)).To(Equal(14), "byte %d", at)
		Expect(os.ReadFile(path)).To(Equal(good), "byte %d", at)
	}
	Expect(os.Remove(path)).To(Succeed())
	Expect(countCompleteRequests(dir)).To(Equal(14))
}

// countCompleteRequests opens a store written by fillStore and counts the
// requests that have both records.
func countCompleteRequests(dir string) int {
	s, err := loadStore(dir, Options{openFile: newCrashDisk().open})
	Expect(err).NotTo(HaveOccurred())
	defer s.file.Close() //nolint:errcheck // nothing was written
	found := 0
	for seq := uint64(1); seq <= 30; seq++ {
		entries, err := s.Query(ids.RequestID{Session: testSession("a"), Seq: seq})
		Expect(err).NotTo(HaveOccurred())
		if len(entries) == 2 {
			found++
		}
	}
	return found
}

var _ = ginkgo.Describe("damage detection", func() {
	var dir string
	small := Options{SegmentBytes: 800}

	ginkgo.BeforeEach(func() {
		dir = ginkgo.GinkgoT().TempDir()
	})

	ginkgo.It("finds a record that was rewritten together with its checksum", func() {
		fillStore(dir, 30, small)
		editSegment(dir, 2, func(b []byte) []byte {
			start := bytes.Index(b[4:], magicBytes) + 4
			f, err := readFrame(bytes.NewReader(b[start:]))
			Expect(err).NotTo(HaveOccurred())
			batch, err := f.batch()
			Expect(err).NotTo(HaveOccurred())
			batch.Records[0] = bytes.Replace(batch.Records[0], []byte("fittings"), []byte("FITTINGS"), 1)
			Expect(batch.pack()).To(Succeed())
			var forged bytes.Buffer
			_, err = appendFrame(&forged, hash{}, f.kind, f.durableSize, batch)
			Expect(err).NotTo(HaveOccurred())
			framed := forged.Bytes()
			copy(framed[len(framed)-hashBytes:], f.hash[:])
			binary.BigEndian.PutUint32(framed[8:], checksum(framed))
			return append(append(append([]byte(nil), b[:start]...), framed...), b[start+int(f.size):]...)
		})
		_, err := VerifyDir(dir)
		Expect(err).To(MatchError(ContainSubstring("hash chain")))
	})

	ginkgo.It("finds an index that was rewritten to hide records", func() {
		fillStore(dir, 30, small)
		path := segmentPath(dir, 2)
		f, err := readIndex(path, 2)
		Expect(err).NotTo(HaveOccurred())
		f.Sessions = nil
		forged, err := encodeIndex(f)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(indexPath(path), forged, fileMode)).To(Succeed())
		Expect(countCompleteRequests(dir)).To(BeNumerically("<", 30))
		_, err = VerifyDir(dir)
		var damage *IndexError
		Expect(errors.As(err, &damage)).To(BeTrue())
		Expect(os.Remove(damage.Path)).To(Succeed())
		Expect(countCompleteRequests(dir)).To(Equal(30))
	})

	ginkgo.It("serves all records of an open store when an index file is damaged", func() {
		fillStore(dir, 30, small)
		s, err := Open(dir, small)
		Expect(err).NotTo(HaveOccurred())
		defer s.Close() //nolint:errcheck // nothing waits
		Expect(os.WriteFile(indexPath(segmentPath(dir, 1)), []byte("torn"), fileMode)).To(Succeed())
		Expect(s.Query(ids.RequestID{Session: testSession("a"), Seq: 1})).To(HaveLen(2))
		_, err = s.Verify()
		Expect(err).To(MatchError(ContainSubstring("delete it and restart")))
	})

	ginkgo.It("finds frames or segments that were removed or replaced", func() {
		fillStore(dir, 30, small)
		editSegment(dir, 2, func(b []byte) []byte {
			second := bytes.Index(b[4:], magicBytes) + 4
			third := bytes.Index(b[second+4:], magicBytes) + second + 4
			return append(append([]byte(nil), b[:second]...), b[third:]...)
		})
		_, err := VerifyDir(dir)
		Expect(isCorrupt(err)).To(BeTrue())
		_, err = Open(dir, small)
		Expect(isCorrupt(err)).To(BeTrue(), "the size does not match the index, so the segment is read")
		Expect(os.Remove(segmentPath(dir, 2))).To(Succeed())
		_, err = Open(dir, small)
		Expect(err).To(MatchError(ContainSubstring("missing")))
		Expect(os.Rename(segmentPath(dir, 3), segmentPath(dir, 2))).To(Succeed())
		_, err = VerifyDir(dir)
		Expect(isCorrupt(err)).To(BeTrue())
	})

	ginkgo.It("finds a segment that was replaced by an intact one of another store", func() {
		fillStore(dir, 30, small)
		other := ginkgo.GinkgoT().TempDir()
		fillStore(other, 30, Options{SegmentBytes: 800, Now: func() time.Time { return time.UnixMilli(1) }})
		numbers, err := listSegments(dir)
		Expect(err).NotTo(HaveOccurred())
		last := numbers[len(numbers)-1]
		foreign, err := os.ReadFile(segmentPath(other, last))
		Expect(err).NotTo(HaveOccurred())
		editSegment(dir, last, func([]byte) []byte { return foreign })
		_, err = VerifyDir(dir)
		Expect(isCorrupt(err)).To(BeTrue())
		_, err = Open(dir, small)
		Expect(isCorrupt(err)).To(BeTrue())
	})

	ginkgo.It("rejects damage in the middle of the active segment and names the remedy", func() {
		fillStore(dir, 5, Options{})
		editSegment(dir, 1, func(b []byte) []byte {
			second := bytes.Index(b[4:], magicBytes) + 4
			b[second+20] ^= 1
			return b
		})
		_, err := Open(dir, Options{})
		Expect(isCorrupt(err)).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("copy of the segment")))
	})

	ginkgo.It("loses no acknowledged batch when a process ended before its fsync and the VM crashes later", func() {
		disk := newCrashDisk()
		o := Options{openFile: disk.open}
		b := Batch{Number: 1, Records: []Record{testRecord(testSession("a"), 1, Begin)}}
		e, err := encodeBatch(testSession("a"), &b)
		Expect(err).NotTo(HaveOccurred())
		s, err := loadStore(dir, o)
		Expect(err).NotTo(HaveOccurred())
		disk.failSync = true
		Expect(s.commit([]*pendingAppend{{batch: e}})).NotTo(Succeed())
		disk.killProcess()
		s, err = loadStore(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.commit([]*pendingAppend{{batch: e}})).To(Succeed(), "the batch is already in the file and is not written again")
		disk.killProcess()
		for _, f := range disk.files {
			Expect(os.Truncate(f.path, f.synced)).To(Succeed())
		}
		s, err = loadStore(dir, o)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Query(b.Records[0].Request)).To(HaveLen(1))
	})

	ginkgo.It("stops the store after a failed fsync", func() {
		disk := newCrashDisk()
		s, err := Open(dir, Options{openFile: disk.open})
		Expect(err).NotTo(HaveOccurred())
		b := Batch{Number: 1, Records: []Record{testRecord(testSession("a"), 1, Begin)}}
		disk.failSync = true
		var stopped *StoppedError
		Expect(errors.As(s.Append(testSession("a"), b), &stopped)).To(BeTrue())
		Expect(errors.As(s.Append(testSession("a"), b), &stopped)).To(BeTrue(), "a later fsync does not make the data of the failed one durable")
		Expect(s.Err()).To(MatchError(errSync))
		_ = s.Close()
	})
})

var _ = ginkgo.Describe("retention", func() {
	ginkgo.It("keeps the chain verifiable, even after a crash during the deletion", func() {
		dir := ginkgo.GinkgoT().TempDir()
		now := time.UnixMilli(1_000_000)
		o := Options{SegmentBytes: 400, Retention: time.Hour, Now: func() time.Time { return now }}
		fillStore(dir, 10, o)
		old, err := os.ReadFile(segmentPath(dir, 1))
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(2 * time.Hour)
		s, err := Open(dir, o)
		Expect(err).NotTo(HaveOccurred())
		b := Batch{Number: 11, Records: []Record{testRecord(testSession("a"), 11, Begin)}}
		Expect(s.Append(testSession("a"), b)).To(Succeed())
		deleted, err := s.DeleteExpired()
		Expect(err).NotTo(HaveOccurred())
		Expect(deleted).To(BeNumerically(">", 1))
		report, err := s.Verify()
		Expect(err).NotTo(HaveOccurred())
		Expect(report.First).To(Equal(uint64(deleted + 1)))
		found, err := s.Query(ids.RequestID{Session: testSession("a"), Seq: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeEmpty())
		Expect(s.Close()).To(Succeed())

		// A crash after writing the anchor may leave an old segment behind.
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
