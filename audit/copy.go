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
	"damaskbridge.example/damaskbridge/internal/atomicfile"
	"damaskbridge.example/damaskbridge/transport"
)

// chunkBytes is the maximum number of segment bytes in one message.
const chunkBytes = 1 << 20

// CopyStatus describes which segments of a source a copy has.
type CopyStatus struct {
	// Sizes maps segment numbers to the durable size of the copy in bytes.
	Sizes map[uint64]int64 `cbor:"1,keyasint"`
	// First is the first segment that the copy retains; retention has deleted
	// the older ones.
	First uint64 `cbor:"2,keyasint"`
}

// Chunk is a byte range of a segment, sent to a copy.
type Chunk struct {
	Source  ids.VMID `cbor:"1,keyasint"`
	Segment uint64   `cbor:"2,keyasint"`
	Offset  int64    `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// CopyTarget receives the copies of a store's segments. When Put returns without
// an error, the chunk is durable.
type CopyTarget interface {
	Status(ctx context.Context, source ids.VMID) (CopyStatus, error)
	Put(ctx context.Context, c Chunk) error
}

// Replicate copies every durable byte that target lacks, including those of the
// active segment, in order. The caller repeats it periodically. If the copy is
// longer than the source or has different bytes, the source has lost or changed
// durable records, and Replicate returns an error.
func (s *Store) Replicate(ctx context.Context, source ids.VMID, target CopyTarget) error {
	status, err := target.Status(ctx, source)
	if err != nil {
		return fmt.Errorf("audit: query state of copy: %w", err)
	}
	_, segments := s.snapshotSegments()
	for _, v := range segments {
		if v.number < status.First {
			continue
		}
		copied := status.Sizes[v.number]
		if copied > v.size {
			return &CorruptError{Path: v.path, Offset: v.size, Detail: fmt.Sprintf("the copy has %d bytes of it and this file %d", copied, v.size)}
		}
		if err := copySegment(ctx, source, v, copied, target); err != nil {
			return err
		}
	}
	return nil
}

func copySegment(ctx context.Context, source ids.VMID, v segment, from int64, target CopyTarget) error {
	if from == v.size {
		return nil
	}
	file, err := os.Open(v.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil // deleted by retention in the meantime
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

// CopyDir is a CopyTarget that stores copies in a folder, with a subfolder for
// each source. It is safe for concurrent use.
type CopyDir struct {
	dir string

	mu sync.Mutex
	// lastContact is the time of the last call of Status for each source.
	lastContact map[ids.VMID]time.Time
}

// sourceTimeout is the time since a source's last call of Status after which its
// store is considered lost and its copy is searched by every query. A source
// calls Status every second.
const sourceTimeout = time.Minute

var _ CopyTarget = (*CopyDir)(nil)

// NewCopyDir returns a target that stores copies below dir.
func NewCopyDir(dir string) *CopyDir {
	return &CopyDir{dir: dir, lastContact: make(map[ids.VMID]time.Time)}
}

// mayBeLost reports whether a source's store may be lost: the source has not
// called Status within sourceTimeout, or another store of the same VM has called
// it since, as happens after the VM lost its disk.
func (d *CopyDir) mayBeLost(source ids.VMID, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	contact, ok := d.lastContact[source]
	if !ok || now.Sub(contact) > sourceTimeout {
		return true
	}
	for other, otherContact := range d.lastContact {
		if other != source && sourceVM(other) == sourceVM(source) && otherContact.After(contact) {
			return true
		}
	}
	return false
}

// sourceVM returns the VM of a source, which is named "vm.store" or "vm".
func sourceVM(source ids.VMID) ids.VMID {
	if i := strings.LastIndexByte(string(source), '.'); i >= 0 {
		return source[:i]
	}
	return source
}

// Dir returns the folder with the copy of a source's segments.
func (d *CopyDir) Dir(source ids.VMID) string {
	return filepath.Join(d.dir, string(source))
}

func validateSource(source ids.VMID) error {
	if name := string(source); name == "" || name != filepath.Base(name) || name == "." || name == ".." {
		return fmt.Errorf("audit: %q is not a valid VM name", name)
	}
	return nil
}

// Status returns what the folder has of a source.
func (d *CopyDir) Status(_ context.Context, source ids.VMID) (CopyStatus, error) {
	status := CopyStatus{Sizes: make(map[uint64]int64)}
	if err := validateSource(source); err != nil {
		return status, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastContact[source] = time.Now()
	a, err := readAnchor(d.Dir(source))
	if err != nil {
		return status, err
	}
	status.First = a.First
	numbers, err := listSegments(d.Dir(source))
	if errors.Is(err, os.ErrNotExist) {
		return status, nil
	}
	if err != nil {
		return status, err
	}
	for _, n := range numbers {
		info, err := os.Stat(segmentPath(d.Dir(source), n))
		if err != nil {
			return status, err
		}
		status.Sizes[n] = info.Size()
	}
	return status, nil
}

// Put appends a chunk to the copy of a segment. It rejects a chunk that would
// leave a gap, and one that overlaps the copy with different bytes.
func (d *CopyDir) Put(_ context.Context, c Chunk) error {
	if err := validateSource(c.Source); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	dir := d.Dir(c.Source)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	if err := initCopyAnchor(dir, c); err != nil {
		return err
	}
	path := segmentPath(dir, c.Segment)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	err = writeChunk(file, path, c)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil && c.Offset == 0 {
		err = errors.Join(atomicfile.SyncDir(dir), atomicfile.SyncDir(d.dir))
	}
	return err
}

func writeChunk(file *os.File, path string, c Chunk) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if c.Offset < 0 || c.Offset > info.Size() {
		return fmt.Errorf("audit: the copy %s has %d bytes and the chunk starts at offset %d; query the state of the copy and send the missing bytes", path, info.Size(), c.Offset)
	}
	existing := make([]byte, min(int64(len(c.Data)), info.Size()-c.Offset))
	if _, err := file.ReadAt(existing, c.Offset); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if string(existing) != string(c.Data[:len(existing)]) {
		return &CorruptError{Path: path, Offset: c.Offset, Detail: "the source sent bytes that differ from the copy"}
	}
	if _, err := file.WriteAt(c.Data, c.Offset); err != nil {
		return err
	}
	return file.Sync()
}

// RemoteTarget is a CopyTarget on another control VM.
type RemoteTarget struct {
	Caller transport.Caller
	Addr   string
}

var _ CopyTarget = (*RemoteTarget)(nil)

// Status asks the other control VM which segments it has.
func (t *RemoteTarget) Status(ctx context.Context, source ids.VMID) (CopyStatus, error) {
	var status CopyStatus
	reply, err := t.send(ctx, appendMessage{CopyStatus: &copyStatusRequest{Source: source}})
	if err != nil {
		return status, err
	}
	if err := decMode.Unmarshal(reply, &status); err != nil {
		return status, fmt.Errorf("audit: decode state of copy: %w", err)
	}
	return status, nil
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
