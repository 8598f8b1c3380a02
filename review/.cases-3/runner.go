package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a simulated runner: one process at one address, which may crash and start
// again.
type runner struct {
	rec     *record
	service string
	addr    string
	zone    string
	slots   int
	serve   func(r *runner, c net.Conn, req *http.Request, body []byte) (keep bool)

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
	running  atomic.Int64
}

// start lets the runner listen, as a new process. It keeps the ID that it had.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.conns, r.born = l, map[net.Conn]bool{}, time.Now().UnixMilli()
	r.starts++
	r.mu.Unlock()
	r.rec.line("runner %s at %s started", r.id, r.addr)
	go r.accept(l)
	return nil
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.listener != l {
			r.mu.Unlock()
			_ = c.Close()
			return
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.handle(c)
	}
}

func (r *runner) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if meant := req.Header.Get("X-Target-Instance"); meant != "" && meant != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt-Id"), r.id)
			continue
		}
		r.running.Add(1)
		keep := r.serve(r, c, req, body)
		r.running.Add(-1)
		if !keep {
			return
		}
	}
}

// crash ends the process: its listener and all of its connections, with a reset.
func (r *runner) crash() {
	r.mu.Lock()
	l, conns := r.listener, r.conns
	r.listener, r.conns = nil, map[net.Conn]bool{}
	r.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// entry returns the runner's entry of the platform's list.
func (r *runner) entry() instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return instance{
		Service: r.service, Address: r.addr, Zone: r.zone, Version: "v1", Slots: r.slots, State: "ready",
		ID: r.id, Born: r.born, Stage: "both", Models: []model{{Name: "m", Version: 1, Adapters: []string{}}},
	}
}

// head returns the headers of each answer to a request that runs.
func (r *runner) head(req *http.Request) string {
	return fmt.Sprintf("X-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\n",
		req.Header.Get("X-Attempt-Id"), r.id, req.Header.Get("X-Attempt-Id"), r.id, r.running.Load(), r.slots)
}
