package audit

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"damaskbridge.example/damaskbridge/ids"
)

// crashDisk opens segments whose unsynced bytes are lost or partly zeroed by a
// crash of the VM. A crash of the process alone leaves them in the page cache.
type crashDisk struct {
	files    map[string]*crashFile
	failSync bool // the next Sync fails and makes nothing durable
	free     int  // bytes that can still be written
}

type crashFile struct {
	*os.File
	disk         *crashDisk
	path         string
	synced, size int64
}

func newCrashDisk() *crashDisk {
	return &crashDisk{files: map[string]*crashFile{}, free: enoughBytes}
}

const enoughBytes = 1 << 40

var errSync = errors.New("input/output error")

func (d *crashDisk) open(path string, flag int) (segmentFile, error) {
	if flag&os.O_CREATE != 0 && d.free == 0 {
		return nil, syscall.ENOSPC
	}
	f, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	c := &crashFile{File: f, disk: d, path: path, size: info.Size()}
	if old, ok := d.files[path]; ok {
		c.synced = min(old.synced, c.size)
	}
	d.files[path] = c
	return c, nil
}

func (f *crashFile) WriteAt(p []byte, off int64) (int, error) {
	n, err := f.File.WriteAt(p[:min(len(p), f.disk.free)], off)
	f.disk.free -= n
	f.size = max(f.size, off+int64(n))
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f *crashFile) Truncate(size int64) error {
	f.size, f.synced = size, min(size, f.synced)
	return f.File.Truncate(size)
}

func (f *crashFile) Sync() error {
	if f.disk.failSync {
		f.disk.failSync = false
		return errSync
	}
	f.synced = f.size
	return nil
}

// killProcess simulates the end of the process: written bytes are neither lost
// nor made durable.
func (d *crashDisk) killProcess() {
	for _, f := range d.files {
		_ = f.Close()
	}
}

// crashVM simulates a crash of the VM. It keeps the synced bytes and a prefix
// of the others, in which blocks may be zero although later ones were written.
func (d *crashDisk) crashVM(t *rapid.T) {
	d.killProcess()
	for _, f := range d.files {
		lost := f.size - f.synced
		if lost == 0 {
			continue
		}
		kept := rapid.Int64Range(0, lost).Draw(t, "kept")
		if err := os.Truncate(f.path, f.synced+kept); err != nil {
			t.Fatal(err)
		}
		if kept > 0 && rapid.Bool().Draw(t, "hole") {
			from := rapid.Int64Range(0, kept-1).Draw(t, "hole from")
			length := rapid.Int64Range(1, kept-from).Draw(t, "hole length")
			file, err := os.OpenFile(f.path, os.O_RDWR, fileMode)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := file.WriteAt(make([]byte, length), f.synced+from); err != nil {
				t.Fatal(err)
			}
			_ = file.Close()
		}
		f.size = f.synced + kept
		f.synced = f.size
	}
}

// TestCrashAndResend guards against lost or duplicated records and a broken
// hash chain after any sequence of appends, resends, full disks, disk errors and
// crashes: each record is stored at most once, and no acknowledged record is
// lost. Also guards against a store that stops because a disk was full.
func TestCrashAndResend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "audit")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
		disk := newCrashDisk()
		options := Options{SegmentBytes: 700, openFile: disk.open}
		store := mustLoadStore(t, dir, options)
		acked := map[batchID]int{}
		sent := map[batchID]int{}
		next := map[string]uint64{"a": 1, "b": 1}

		group := func() []*pendingAppend {
			var group []*pendingAppend
			for range rapid.IntRange(1, 4).Draw(t, "group") {
				vm := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vm")
				number := next[vm]
				if rapid.Bool().Draw(t, "resend") && number > 1 {
					number = rapid.Uint64Range(1, number-1).Draw(t, "number")
				} else {
					next[vm]++
				}
				id := batchID{testSession(vm), number}
				if sent[id] == 0 {
					sent[id] = rapid.IntRange(1, 3).Draw(t, "records")
				}
				group = append(group, &pendingAppend{batch: newTestBatch(t, id, sent[id])})
			}
			return group
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			disk.failSync = rapid.IntRange(0, 4).Draw(t, "fail") == 0
			if rapid.IntRange(0, 2).Draw(t, "fill") == 0 {
				disk.free = rapid.IntRange(0, 400).Draw(t, "free")
			}
			full := disk.free != enoughBytes && !disk.failSync
			g := group()
			err := store.commit(g)
			disk.free = enoughBytes
			if full && store.Err() != nil {
				t.Fatal(store.Err())
			}
			if err != nil && store.Err() == nil && rapid.Bool().Draw(t, "goes on") {
				continue
			}
			if err == nil {
				for _, p := range g {
					id := batchID{p.batch.Session, p.batch.Number}
					acked[id] = sent[id]
				}
				if rapid.IntRange(0, 3).Draw(t, "restart") != 0 {
					continue
				}
			}
			disk.failSync = false
			if rapid.Bool().Draw(t, "VM crash") {
				disk.crashVM(t)
			} else {
				disk.killProcess()
			}
			store = mustLoadStore(t, dir, options)
			checkStored(t, store, sent, acked)
		}
	})
}

func mustLoadStore(t *rapid.T, dir string, o Options) *Store {
	s, err := loadStore(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newTestBatch(t *rapid.T, id batchID, records int) *encodedBatch {
	b := Batch{Number: id.number}
	for i := range records {
		b.Records = append(b.Records, testRecord(id.session, id.number*10+uint64(i), Begin))
	}
	e, err := encodeBatch(id.session, &b)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func checkStored(t *rapid.T, s *Store, sent, acked map[batchID]int) {
	report, err := s.Verify()
	if err != nil {
		t.Fatal(err)
	}
	total := uint64(0)
	for id, records := range sent {
		for i := range records {
			found, err := s.Query(ids.RequestID{Session: id.session, Seq: id.number*10 + uint64(i)})
			if err != nil {
				t.Fatal(err)
			}
			total += uint64(len(found))
			if len(found) > 1 || (len(found) == 0 && acked[id] > 0) {
				t.Fatalf("record %d of batch %v is stored %d times, acknowledged: %v", i, id, len(found), acked[id] > 0)
			}
		}
	}
	if report.Records != total {
		t.Fatalf("%d records are stored and queries found %d", report.Records, total)
	}
}
