package callers

import "time"

// Limits holds the limits of one connection. A field that is not positive means
// the default.
type Limits struct {
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
