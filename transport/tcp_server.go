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

// TCPServer serves the calls of TCPClients. The peer that a handler sees is the
// unauthenticated identity that the client sent.
type TCPServer struct {
	listener  net.Listener
	handler   Handler
	opts      Options
	ctx       context.Context
	cancel    context.CancelFunc
	callSlots chan struct{}

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
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
		callSlots: make(chan struct{}, o.MaxCalls), conns: map[net.Conn]struct{}{},
	}
	s.goroutines.Go(func() {
		accept.Loop(listener, ctx.Done(), s.startConn, func(error) { acceptFailures.Inc() })
	})
	return s, nil
}

// Addr returns the address of the listener.
func (s *TCPServer) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and the connections, cancels the active calls and
// waits for them.
func (s *TCPServer) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
	return err
}

func (s *TCPServer) startConn(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.goroutines.Go(func() {
		s.serveConn(c)
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
}

// tcpResponseWriter writes frames to one connection. It is safe for concurrent
// use.
type tcpResponseWriter struct {
	conn    net.Conn
	timeout time.Duration
	mu      sync.Mutex
}

// writeFrame writes a frame and closes the connection if that fails or exceeds
// the timeout.
func (w *tcpResponseWriter) writeFrame(f frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	if err == nil {
		_, err = w.conn.Write(encodeFrame(f))
	}
	if err != nil {
		_ = w.conn.Close()
	}
}

func (s *TCPServer) serveConn(c net.Conn) {
	setUserTimeout(c, 2*s.opts.ProgressTimeout)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	r := bufio.NewReader(c)
	writer := &tcpResponseWriter{conn: c, timeout: s.opts.ProgressTimeout}
	cancels := &callCancels{cancels: map[uint64]context.CancelFunc{}}
	var peer Peer
	for {
		if err := c.SetReadDeadline(time.Now().Add(s.opts.IdleTimeout)); err != nil {
			return
		}
		f, err := readFrame(r, s.opts.MaxBodyBytes)
		if err != nil {
			return
		}
		switch f.kind {
		case frameHello:
			vm, role, _ := strings.Cut(string(f.body), string(helloSeparator))
			peer = Peer{VM: ids.VMID(vm), Role: role}
		case framePing:
			writer.writeFrame(frame{kind: framePong})
		case frameCancel:
			cancels.cancel(f.callID)
		case frameRequest:
			s.callSlots <- struct{}{}
			callCtx := cancels.add(ctx, f.callID)
			s.goroutines.Go(func() {
				defer func() { <-s.callSlots }()
				writer.writeFrame(s.respond(callCtx, peer, f))
				cancels.cancel(f.callID)
			})
		}
	}
}

func (s *TCPServer) respond(ctx context.Context, peer Peer, f frame) frame {
	h, body, err := decodeRequestFrame(f.body, s.opts.MaxBodyBytes)
	if err != nil {
		return frame{kind: frameResponse, callID: f.callID, body: encodeResponse(statusRefused, []byte(err.Error()))}
	}
	if h.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.timeout)
		defer cancel()
	}
	reply, err := s.handler.Serve(ctx, peer, h.method, body)
	if err != nil {
		return frame{kind: frameResponse, callID: f.callID, body: encodeResponse(statusError, []byte(err.Error()))}
	}
	return frame{kind: frameResponse, callID: f.callID, body: encodeResponse(statusOK, reply)}
}

// callCancels holds the cancel function of each active call of a connection.
type callCancels struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (c *callCancels) add(ctx context.Context, callID uint64) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[callID] = cancel
	return ctx
}

func (c *callCancels) cancel(callID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[callID]; cancel != nil {
		cancel()
		delete(c.cancels, callID)
	}
}
