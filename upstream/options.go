package upstream

import "time"

// Options configures a Client. A field that is not positive has its default.
type Options struct {
	// DialTimeout is the maximum time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// ProgressTimeout is the time without a received byte after which a
	// connection with a call in flight fails. Default 3 s.
	ProgressTimeout time.Duration
	// MaxResponseBytes is the maximum size of a response body. Default 16 MiB.
	MaxResponseBytes int64
	// MaxBufferedBytes is the maximum memory for the bodies of all responses that are
	// being read. Default 64 MiB.
	MaxBufferedBytes int64
	// MaxIdleConnsPerRunner is the maximum number of idle connections to one
	// runner. Default 16.
	MaxIdleConnsPerRunner int
}

const (
	defaultDialTimeout           = time.Second
	defaultProgressTimeout       = 3 * time.Second
	defaultMaxResponseBytes      = 16 << 20
	defaultMaxBufferedBytes      = 64 << 20
	defaultMaxIdleConnsPerRunner = 16
)

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	if o.MaxBufferedBytes <= 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if o.MaxIdleConnsPerRunner <= 0 {
		o.MaxIdleConnsPerRunner = defaultMaxIdleConnsPerRunner
	}
	return o
}
