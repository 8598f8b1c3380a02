package upstream

import "time"

// Options tune a Client. The zero value of a field means its default.
type Options struct {
	// DialTimeout limits the opening of a connection. Default 1 s.
	DialTimeout time.Duration
	// ProgressTimeout is the time without a received byte after which a
	// connection with an outstanding call is given up. Default 3 s.
	ProgressTimeout time.Duration
	// MaxResponseBytes limits a response body. Default 16 MiB.
	MaxResponseBytes int64
	// MaxIdle is the number of idle connections kept to one runner. Default 16.
	MaxIdle int
}

const (
	defaultDialTimeout     = time.Second
	defaultProgressTimeout = 3 * time.Second
	defaultMaxResponse     = 16 << 20
	defaultMaxIdle         = 16
)

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponse
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	return o
}
