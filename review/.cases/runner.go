package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runnerConn is a connection to a stand-in of a runner, which serves one request
// at a time on it.
type runnerConn struct {
	net.Conn
	reader *bufio.Reader
}

// runner is a stand-in of a runner.
type runner struct {
	id      string
	service string
	addr    string
	slots   int
	serve   func(c *runnerConn, r *http.Request, body []byte) error

	listener net.Listener
	mu       sync.Mutex
	running  int
	conns    map[net.Conn]bool
}

// addRunner starts a runner and lists it.
func (s *system) addRunner(host int, id, service string, slots int, serve func(c *runnerConn, r *http.Request, body []byte) error) (*runner, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", s.net, host))
	if err != nil {
		return nil, err
	}
	x := &runner{id: id, service: service, addr: listener.Addr().String(), slots: slots, serve: serve, listener: listener, conns: map[net.Conn]bool{}}
	go x.acceptLoop()
	s.list.add(listed{
		ID: id, Service: service, Address: x.addr, Zone: "lagos-ikeja", Version: "v1", Slots: slots, State: "ready",
		Born: time.Now().UnixMilli(),
	})
	return x, nil
}

func (x *runner) acceptLoop() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serveConn(&runnerConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

// serveConn serves the requests of a connection one after the other.
func (x *runner) serveConn(c *runnerConn) {
	x.mu.Lock()
	x.conns[c.Conn] = true
	x.mu.Unlock()
	defer func() {
		_ = c.Close()
		x.mu.Lock()
		delete(x.conns, c.Conn)
		x.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != x.id {
			if c.respond(http.StatusMisdirectedRequest, map[string]string{"X-Not-Executed": "1"}, nil) != nil {
				return
			}
			continue
		}
		if err := x.serve(c, r, body); err != nil {
			return
		}
	}
}

// end ends the runner: it takes no more connections and closes the open ones.
func (x *runner) end() {
	_ = x.listener.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.conns {
		_ = c.Close()
	}
}

// add changes the number of running requests and returns the load.
func (x *runner) add(n int) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running += n
	return fmt.Sprintf("%d,0,%d", x.running, x.slots)
}

// respond writes a whole answer.
func (c *runnerConn) respond(status int, header map[string]string, body []byte) error {
	_, err := c.Write(encodeResponse(status, header, body))
	return err
}

func encodeResponse(status int, header map[string]string, body []byte) []byte {
	b := []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=10\r\n", status, http.StatusText(status), len(body)))
	for name, value := range header {
		b = append(b, name+": "+value+"\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

// beginStream writes the head of a stream of events.
func (c *runnerConn) beginStream(attempt, stamp, load string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=10\r\n"+
		"X-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nX-Weight-Versions: 1\r\nX-Server-Load: %s\r\n\r\n", attempt, stamp, load)
	return err
}

// event writes one event of a stream.
func (c *runnerConn) event(n int, data string) error {
	event := "id: " + strconv.Itoa(n) + "\ndata: " + data + "\n\n"
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	return err
}

// endStream writes the end of a stream.
func (c *runnerConn) endStream() error {
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
