package audit

import (
	"fmt"
	"os"
	"time"
)

const (
	defaultSegmentBytes = 64 << 20
	maxSegmentBytes     = 1 << 31
	defaultRetention    = 400 * 24 * time.Hour
	defaultGroupBytes   = 4 << 20
	// appendQueueLength is the number of appends that may wait to be written.
	appendQueueLength = 4096
)

// Options configures a Store. A zero field means its default.
type Options struct {
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int64
	// Retention is how long a sealed segment is kept. The default is longer
	// than the year between two audits.
	Retention time.Duration
	// GroupBytes limits the encoded records that are written before one fsync.
	// The last batch may exceed it.
	GroupBytes int
	// Now returns the wall time for headers, seals and retention; the default
	// is time.Now.
	Now func() time.Time

	// openFile opens a segment for reading and writing. Tests replace it to
	// inject disk errors and the loss of unsynced bytes.
	openFile func(path string, flag int) (segmentFile, error)
}

// segmentFile is the subset of *os.File that a store needs to write a segment.
type segmentFile interface {
	ReadAt(p []byte, off int64) (int, error)
	WriteAt(p []byte, off int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.Retention == 0 {
		o.Retention = defaultRetention
	}
	if o.GroupBytes == 0 {
		o.GroupBytes = defaultGroupBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.openFile == nil {
		o.openFile = openOSFile
	}
	return o
}

// Check returns an error if an option is out of range.
func (o Options) Check() error {
	o = o.withDefaults()
	if o.SegmentBytes < 0 || o.SegmentBytes > maxSegmentBytes {
		return fmt.Errorf("audit: segment size %d is not between 0 and %d bytes; set it to a value in that range", o.SegmentBytes, int64(maxSegmentBytes))
	}
	if o.Retention < 0 || o.GroupBytes < 0 {
		return fmt.Errorf("audit: retention %v or group size %d is negative; set it to 0 or more", o.Retention, o.GroupBytes)
	}
	return nil
}

func openOSFile(path string, flag int) (segmentFile, error) {
	return os.OpenFile(path, flag, fileMode)
}

const (
	fileMode = 0o600
	dirMode  = 0o700
)
