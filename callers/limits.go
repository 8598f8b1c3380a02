package callers

import "time"

// Limits bound what one connection may send.
type Limits struct {
	MaxHeaderBytes int
	// HeaderTimeout bounds the reading of a request's header, IdleTimeout the
	// time of a connection without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
