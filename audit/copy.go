package audit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/transport"
)

// chunkBytes is how much of a segment one message copies.
const chunkBytes = 1 << 20

// Held is what a copy has of a source's segments.
type Held struct {
	// Sizes maps segment numbers to the durable bytes of the copy.
	Sizes map[uint64]int64 `cbor:"1,keyasint"`
	// First is the first segment that the copy keeps; older ones are past its
	// retention.
	First uint64 `cbor:"2,keyasint"`
}

// Chunk is a piece of a segment on its way to a copy.
type Chunk struct {
	Source  ids.VMID `cbor:"1,keyasint"`
	Segment uint64   `cbor:"2,keyasint"`
	Offset  int64    `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// Target is where a store copies its segments. Put is durable on return.
type Target interface {
	Held(ctx context.Context, source ids.VMID) (Held, error)
	Put(ctx context.Context, c Chunk) error
}

// Replicate copies everything durable that target lacks, sealed segments and
// the tail, in order. The caller repeats it. A copy that is longer than the
// source or has other bytes than the source gives an error, since the source
// has then lost or changed durable records.
func (s *Store) Replicate(ctx context.Context, source ids.VMID, target Target) error {
	held, err := target.Held(ctx, source)
	if err != nil {
		return fmt.Errorf("audit: ask copy: %w", err)
	}
	_, views := s.views()
	for _, v := range views {
		if v.number < held.First {
			continue
		}
		have := held.Sizes[v.number]
		if have > v.size {
			return &CorruptError{Path: v.path, Offset: v.size, Detail: fmt.Sprintf("the copy has %d bytes of it and this file %d", have, v.size)}
		}
		if err := copySegment(ctx, source, v, have, target); err != nil {
			return err
		}
	}
	return nil
}

func copySegment(ctx context.Context, source ids.VMID, v segment, from int64, target Target) error {
	if from == v.size {
		return nil
	}
	file, err := os.Open(v.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil // deleted by retention since
	}
	if err != nil {
		return fmt.Errorf("audit: open segment: %w", err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	for from < v.size {
		data := make([]byte, min(chunkBytes, v.size-from))
		if _, err := file.ReadAt(data, from); err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("audit: read segment: %w", err)
		}
		c := Chunk{Source: source, Segment: v.number, Offset: from, Data: data}
		if err := target.Put(ctx, c); err != nil {
			return fmt.Errorf("audit: copy segment %d: %w", v.number, err)
		}
		from += int64(len(data))
	}
	return nil
}

// CopyDir is a Target in a folder, with one folder for each source. It is safe
// for concurrent use.
type CopyDir struct {
	dir string

	mu sync.Mutex
	// asked is when each source last asked what the folder has of it.
	asked map[ids.VMID]time.Time
}

// sourceSilence is the time without a question from a source after which its
// store is taken for lost and its copy is searched with every query. A source
// asks every second.
const sourceSilence = time.Minute

var _ Target = (*CopyDir)(nil)

// NewCopyDir makes a target that stores copies below dir.
func NewCopyDir(dir string) *CopyDir {
	return &CopyDir{dir: dir, asked: make(map[ids.VMID]time.Time)}
}

// lost says whether a source's store may be lost: it has been silent for long,
// or another store of the same VM has asked since, as after a lost disk.
func (d *CopyDir) lost(source ids.VMID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.asked[source]
	if !ok || now.Sub(at) > sourceSilence {
		return true
	}
	for other, later := range d.asked {
		if other != source && vmOf(other) == vmOf(source) && later.After(at) {
			return true
		}
	}
	return false
}

// vmOf gives the VM of a source, which is "vm.store" or "vm".
func vmOf(source ids.VMID) ids.VMID {
	if i := strings.LastIndexByte(string(source), '.'); i >= 0 {
		return source[:i]
	}
	return source
}

// Dir is the folder with the copy of a source's segments.
func (d *CopyDir) Dir(source ids.VMID) string {
	return filepath.Join(d.dir, string(source))
}

func checkSource(source ids.VMID) error {
	if name := string(source); name == "" || name != filepath.Base(name) || name == "." || name == ".." {
		return fmt.Errorf("audit: %q is no VM name", name)
	}
	return nil
}

// Held lists what the folder has of a source.
func (d *CopyDir) Held(_ context.Context, source ids.VMID) (Held, error) {
	h := Held{Sizes: make(map[uint64]int64)}
	if err := checkSource(source); err != nil {
		return h, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked[source] = time.Now()
	a, err := readAnchor(d.Dir(source))
	if err != nil {
		return h, err
	}
	h.First = a.First
	numbers, err := listSegments(d.Dir(source))
	if errors.Is(err, os.ErrNotExist) {
		return h, nil
	}
	if err != nil {
		return h, err
	}
	for _, n := range numbers {
		info, err := os.Stat(segmentPath(d.Dir(source), n))
		if err != nil {
			return h, err
		}
		h.Sizes[n] = info.Size()
	}
	return h, nil
}

// Put appends a chunk to the copy of a segment. A chunk that leaves a gap is
// rejected; one that repeats bytes has to agree with them.
func (d *CopyDir) Put(_ context.Context, c Chunk) error {
	if err := checkSource(c.Source); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	dir := d.Dir(c.Source)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	if err := beginCopy(dir, c); err != nil {
		return err
	}
	path := segmentPath(dir, c.Segment)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	err = putChunk(file, path, c)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil && c.Offset == 0 {
		err = errors.Join(syncDir(dir), syncDir(d.dir))
	}
	return err
}

func putChunk(file *os.File, path string, c Chunk) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if c.Offset < 0 || c.Offset > info.Size() {
		return fmt.Errorf("audit: the copy %s has %d bytes and the chunk begins at %d; ask what the copy has and send the rest", path, info.Size(), c.Offset)
	}
	old := make([]byte, min(int64(len(c.Data)), info.Size()-c.Offset))
	if _, err := file.ReadAt(old, c.Offset); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if string(old) != string(c.Data[:len(old)]) {
		return &CorruptError{Path: path, Offset: c.Offset, Detail: "the source sent other bytes than the copy has"}
	}
	if _, err := file.WriteAt(c.Data, c.Offset); err != nil {
		return err
	}
	return file.Sync()
}

// RemoteTarget copies to another control VM.
type RemoteTarget struct {
	Caller transport.Caller
	Addr   string
}

var _ Target = (*RemoteTarget)(nil)

// Held asks the other control VM what it has.
func (t *RemoteTarget) Held(ctx context.Context, source ids.VMID) (Held, error) {
	var h Held
	reply, err := t.send(ctx, appendMessage{Held: &heldMessage{Source: source}})
	if err != nil {
		return h, err
	}
	if err := decMode.Unmarshal(reply, &h); err != nil {
		return h, fmt.Errorf("audit: decode what the copy has: %w", err)
	}
	return h, nil
}

// Put sends a chunk to the other control VM.
func (t *RemoteTarget) Put(ctx context.Context, c Chunk) error {
	_, err := t.send(ctx, appendMessage{Chunk: &c})
	return err
}

func (t *RemoteTarget) send(ctx context.Context, m appendMessage) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, err
	}
	return t.Caller.Call(ctx, t.Addr, transport.MethodAuditAppend, body)
}
