package transport

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"damaskbridge.example/damaskbridge/ids"
	"damaskbridge.example/damaskbridge/internal/accept"
)

// TCPServer answers the calls of TCPClients. The peer that a handler sees is
// what the client says of itself.
type TCPServer struct {
	listener net.Listener
	handler  Handler
	opts     Options
	ctx      context.Context
	cancel   context.CancelFunc
	calls    chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	group sync.WaitGroup
}

// ListenTCP serves h at addr until Close.
func ListenTCP(addr string, h Handler, o Options) (*TCPServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &TCPServer{
		listener: listener, handler: h, opts: o, ctx: ctx, cancel: cancel,
		calls: make(chan struct{}, o.MaxCalls), conns: map[net.Conn]struct{}{},
	}
	s.group.Go(func() {
		accept.Loop(listener, ctx.Done(), s.take, func(error) { acceptFailures.Inc() })
	})
	return s, nil
}

// Addr is the address of the listener.
func (s *TCPServer) Addr() string { return s.listener.Addr().String() }

// Close ends the listener, the connections and the calls under way.
func (s *TCPServer) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
	return err
}

func (s *TCPServer) take(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.group.Go(func() {
		s.serve(c)
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// tcpAnswers writes the answers of one connection.
type tcpAnswers struct {
	conn    net.Conn
	timeout time.Duration
	mu      sync.Mutex
}

// send closes the connection if the peer does not take the frame in time.
func (a *tcpAnswers) send(f frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.conn.SetWriteDeadline(time.Now().Add(a.timeout))
	if err == nil {
		_, err = a.conn.Write(encodeFrame(f))
	}
	if err != nil {
		_ = a.conn.Close()
	}
}

func (s *TCPServer) serve(c net.Conn) {
	boundUnacknowledged(c, 2*s.opts.ProgressTimeout)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	r := bufio.NewReader(c)
	answers := &tcpAnswers{conn: c, timeout: s.opts.ProgressTimeout}
	running := &tcpCalls{cancels: map[uint64]context.CancelFunc{}}
	var peer Peer
	for {
		if err := c.SetReadDeadline(time.Now().Add(s.opts.IdleTimeout)); err != nil {
			return
		}
		f, err := readFrame(r, s.opts.MaxBody)
		if err != nil {
			return
		}
		switch f.kind {
		case frameHello:
			vm, role, _ := strings.Cut(string(f.body), string(helloSeparator))
			peer = Peer{VM: ids.VMID(vm), Role: role}
		case framePing:
			answers.send(frame{kind: framePong})
		case frameCancel:
			running.cancel(f.call)
		case frameRequest:
			s.calls <- struct{}{}
			callCtx := running.add(ctx, f.call)
			s.group.Go(func() {
				defer func() { <-s.calls }()
				answers.send(s.answer(callCtx, peer, f))
				running.cancel(f.call)
			})
		}
	}
}

func (s *TCPServer) answer(ctx context.Context, peer Peer, f frame) frame {
	h, body, err := decodeRequestFrame(f.body, s.opts.MaxBody)
	if err != nil {
		return frame{kind: frameResponse, call: f.call, body: encodeResponse(statusRefused, []byte(err.Error()))}
	}
	if h.left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.left)
		defer cancel()
	}
	reply, err := s.handler.Serve(ctx, peer, h.method, body)
	if err != nil {
		return frame{kind: frameResponse, call: f.call, body: encodeResponse(statusError, []byte(err.Error()))}
	}
	return frame{kind: frameResponse, call: f.call, body: encodeResponse(statusOK, reply)}
}

// tcpCalls holds what ends each call under way on a connection.
type tcpCalls struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (c *tcpCalls) add(ctx context.Context, call uint64) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[call] = cancel
	return ctx
}

func (c *tcpCalls) cancel(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[call]; cancel != nil {
		cancel()
		delete(c.cancels, call)
	}
}
