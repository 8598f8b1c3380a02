package audit

import (
	"errors"
	"fmt"
)

// CorruptError reports that stored records were changed or lost after they had
// been durable.
type CorruptError struct {
	Path   string
	Offset int64
	Detail string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("audit: %s is damaged at byte %d: %s; keep the file for the auditor, put the copy of the segment from the second control VM in its place and restart", e.Path, e.Offset, e.Detail)
}

// IndexError reports that an index file does not match its segment, which
// itself is intact.
type IndexError struct {
	Path string
}

func (e *IndexError) Error() string {
	return fmt.Sprintf("audit: the index %s does not fit its segment; delete it and restart, which builds it again", e.Path)
}

// StoppedError reports that the store stopped after a disk error. What it had
// acknowledged before is durable.
type StoppedError struct {
	Err error
}

func (e *StoppedError) Error() string {
	return fmt.Sprintf("audit: the store stopped after a disk error: %v; check the disk and its free space, then restart the process", e.Err)
}

func (e *StoppedError) Unwrap() error { return e.Err }

// FullError reports that the disk had no space for a batch. Nothing of the batch is
// stored, and the store takes it once there is space.
type FullError struct {
	Err error
}

func (e *FullError) Error() string {
	return fmt.Sprintf("audit: no space on the disk: %v; free space or shorten the retention; the writer repeats the batch, at another control VM first", e.Err)
}

func (e *FullError) Unwrap() error { return e.Err }

// ErrClosed is returned by a store or writer that was closed.
var ErrClosed = errors.New("audit: the store or writer is closed; open it again")

// BufferFullError reports that a writer's buffer is full because no control VM
// accepts batches. The caller rejects the request with the problem
// audit_unavailable.
type BufferFullError struct {
	Records, Limit int
}

func (e *BufferFullError) Error() string {
	return fmt.Sprintf("audit: audit_unavailable: %d records wait and the limit is %d; check that a control VM can be reached and its disk is writable", e.Records, e.Limit)
}
