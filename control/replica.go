package control

import (
	"context"
	"errors"

	"damaskbridge.example/damaskbridge/command"
	"damaskbridge.example/damaskbridge/transport"
	"damaskbridge.example/damaskbridge/wire"
)

// Replica runs one group on this VM. Its methods are safe for concurrent use.
type Replica struct {
	opts Options
}

// Open reads the group's files and starts the replica.
func Open(opts Options) (*Replica, error) {
	opts.setDefaults()
	if err := opts.check(); err != nil {
		return nil, err
	}
	return &Replica{opts: opts}, nil
}

// Propose has cmd replicated. A reply that is not Done names the leader, if
// it is another VM and known.
func (r *Replica) Propose(ctx context.Context, cmd command.Command) (wire.ProposeReply, error) {
	return wire.ProposeReply{}, errors.ErrUnsupported
}

// Close transfers leadership, flushes and closes the files.
func (r *Replica) Close(ctx context.Context) error { return nil }

// Server answers the calls of entry VMs, tools and other control VMs.
type Server struct {
	replica *Replica
}

// NewServer makes the server of one replica. It is a transport.Handler.
func NewServer(r *Replica) *Server { return &Server{replica: r} }

// Serve answers one call.
func (s *Server) Serve(ctx context.Context, from transport.Peer, m transport.Method, body []byte) ([]byte, error) {
	return nil, errors.ErrUnsupported
}
