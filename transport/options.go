package transport

import (
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	defaultMaxBody    = 64 << 20
	defaultMaxStreams = 1024
	defaultMaxCalls   = 8192
	// The settings lease of an entry VM is 3 s. One second to notice a silent
	// connection and one to give up on its peer leave one to renew the lease
	// at the next control VM.
	defaultDialTimeout     = time.Second
	defaultProgressTimeout = time.Second
	defaultIdleTimeout     = 30 * time.Second
)

// Options limit a client or a server. The zero value of a field means its
// default.
type Options struct {
	// MaxBody is the largest request or response body in bytes.
	MaxBody uint64
	// MaxStreams is how many calls may run on one connection at a time; the
	// calls over it wait at the sender.
	MaxStreams int
	// MaxCalls is how many calls a server runs at a time over all connections;
	// the streams over it are not read until a call has ended.
	MaxCalls int
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// ProgressTimeout is how long a connection with a call under way may stay
	// without a byte from the peer before the client closes it.
	ProgressTimeout time.Duration
	// IdleTimeout closes a connection on which nothing happens.
	IdleTimeout time.Duration
	// LocalIP is the address from which a TCP client opens connections; nil
	// leaves it to the system.
	LocalIP net.IP
}

func (o Options) withDefaults() Options {
	if o.MaxBody == 0 {
		o.MaxBody = defaultMaxBody
	}
	if o.MaxStreams == 0 {
		o.MaxStreams = defaultMaxStreams
	}
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultMaxCalls
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.ProgressTimeout == 0 {
		o.ProgressTimeout = defaultProgressTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	return o
}

// Check rejects limits that cannot work together.
func (o Options) Check() error {
	o = o.withDefaults()
	if o.MaxStreams < 0 || o.MaxCalls < 0 || o.DialTimeout < 0 || o.ProgressTimeout < 0 || o.IdleTimeout < 0 {
		return fmt.Errorf("transport: options %+v: a limit is negative; remove it to use the default", o)
	}
	if o.IdleTimeout <= o.ProgressTimeout {
		return fmt.Errorf("transport: the idle timeout %v is not longer than the progress timeout %v; raise it", o.IdleTimeout, o.ProgressTimeout)
	}
	return nil
}

func (o Options) quicConfig(isServer bool) *quic.Config {
	c := &quic.Config{
		HandshakeIdleTimeout:  o.DialTimeout,
		MaxIdleTimeout:        o.IdleTimeout,
		MaxIncomingStreams:    -1,
		MaxIncomingUniStreams: -1,
		// A client probes a quiet connection with datagrams, which the peer's
		// QUIC stack acknowledges without its handler taking part.
		EnableDatagrams: true,
	}
	if isServer {
		c.MaxIncomingStreams = int64(o.MaxStreams)
	} else {
		c.MaxIncomingUniStreams = 1 // the drain notice
	}
	return c
}
