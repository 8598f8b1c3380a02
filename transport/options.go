package transport

import (
	"fmt"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	defaultMaxBodyBytes    = 64 << 20
	defaultMaxCallsPerConn = 1024
	defaultMaxCalls        = 8192
	// The settings lease of an entry VM is 3 s. One second to detect a dead
	// connection and one for a failed dial of the same peer leave one second to
	// renew the lease at the next control VM.
	defaultDialTimeout     = time.Second
	defaultProgressTimeout = time.Second
	defaultIdleTimeout     = 30 * time.Second
)

// Options holds the limits of a client or a server. A zero field means the
// default.
type Options struct {
	// MaxBodyBytes is the largest request or response body in bytes.
	MaxBodyBytes uint64
	// MaxCallsPerConn is the maximum number of concurrent calls on one connection;
	// further calls wait at the sender.
	MaxCallsPerConn int
	// MaxCalls is the maximum number of calls that a server runs concurrently
	// over all connections; further streams are not read until a call has ended.
	MaxCalls int
	// DialTimeout limits how long opening one connection may take.
	DialTimeout time.Duration
	// ProgressTimeout is how long a connection with an active call may receive
	// nothing from the peer before the client closes it.
	ProgressTimeout time.Duration
	// IdleTimeout is how long a connection may carry no traffic before it is
	// closed.
	IdleTimeout time.Duration
	// LocalIP is the source address of a TCP client's connections; nil lets the
	// operating system choose.
	LocalIP net.IP
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MaxCallsPerConn == 0 {
		o.MaxCallsPerConn = defaultMaxCallsPerConn
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

// Check returns an error if a limit is negative or the limits contradict each
// other.
func (o Options) Check() error {
	o = o.withDefaults()
	if o.MaxCallsPerConn < 0 || o.MaxCalls < 0 || o.DialTimeout < 0 || o.ProgressTimeout < 0 || o.IdleTimeout < 0 {
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
		// A client probes a silent connection with datagrams, which the peer's
		// QUIC stack acknowledges without involving the handler.
		EnableDatagrams: true,
	}
	if isServer {
		c.MaxIncomingStreams = int64(o.MaxCallsPerConn)
	} else {
		c.MaxIncomingUniStreams = 1 // the drain notice
	}
	return c
}
