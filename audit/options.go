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
	// defaultQueue is how many appends may wait for the disk.
	defaultQueue = 4096
)

// Options configure a Store. The zero value of a field means its default.
type Options struct {
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int64
	// Retention is how long a sealed segment is kept. The default is longer
	// than the year between two audits.
	Retention time.Duration
	// GroupBytes is the most that is written before one fsync.
	GroupBytes int
	// Now gives the wall time of seals; time.Now by default.
	Now func() time.Time

	// openFile opens a segment for reading and writing. Tests replace it to
	// make a disk fail or lose unsynced bytes.
	openFile func(path string, flag int) (segmentFile, error)
}

// segmentFile is the part of *os.File that a segment needs.
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

// Check rejects options that cannot work.
func (o Options) Check() error {
	o = o.withDefaults()
	if o.SegmentBytes < 0 || o.SegmentBytes > maxSegmentBytes {
		return fmt.Errorf("audit: segment size %d is not between 0 and %d bytes; correct it", o.SegmentBytes, int64(maxSegmentBytes))
	}
	if o.Retention < 0 || o.GroupBytes < 0 {
		return fmt.Errorf("audit: retention %v or group size %d is negative; correct it", o.Retention, o.GroupBytes)
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

// syncDir makes created, renamed and deleted names in dir durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}
