package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["ahead"] = func(p *play) (verdict, error) {
		c := &crowdCase{play: p, conns: 600, ahead: 6000, perSecond: 20 << 20}
		c.member = c.sendAhead
		return c.run()
	}
	cases["fields"] = func(p *play) (verdict, error) {
		c := &crowdCase{play: p, conns: 600, perSecond: 10 << 20}
		c.member = c.sendFields
		return c.run()
	}
}

// crowdCase plays clients outside the limits beside ordinary ones.
type crowdCase struct {
	*play
	// conns is the number of connections of the crowd, ahead the number of requests that
	// each sends. All together they send at most perSecond bytes a second.
	conns, ahead, perSecond int
	// member is what one of the crowd does on a connection.
	member func(conn net.Conn, until time.Time)

	system *cluster
	runner *runner
	pace   pacer

	mu       sync.Mutex
	ordinary []ordinaryRequest
	readies  []readyCheck
	sent     int64
	opened   int
	answered int
}

// ordinaryRequest is a request of an ordinary client. It has no answer if end is zero.
type ordinaryRequest struct {
	id        string
	kept      bool
	sent, end time.Time
	status    int
}

type readyCheck struct {
	at     time.Time
	status int
	took   time.Duration
}

const (
	crowdService = "booking-ledger"
	crowdHost    = "jepu9.example"
	crowdPath    = "/cufi501/2f"
	// routeTimeout is timeout_ms of the route, answerSlack what the rule adds.
	routeTimeout = 3 * time.Second
	answerSlack  = 500 * time.Millisecond
	// clientDeadline is how long the ordinary clients wait.
	clientDeadline = 6 * time.Second

	crowdFrom   = 10 * time.Second
	crowdLength = 20 * time.Second
	crowdEnd    = 45 * time.Second
	// bodyLimit is max_body_bytes.
	bodyLimit = 4194304
)

func (c *crowdCase) document() any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-post", "host": crowdHost, "path_prefix": "/cufi501/", "kind": "non_idempotent", "timeout_ms": routeTimeout.Milliseconds(), "slo_ms": 300,
			"priority": 1, "service": crowdService, "max_attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": crowdService, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// serve answers a request after the work that it takes.
func (c *crowdCase) serve(r *runner, conn net.Conn, req *http.Request, _ []byte) (keep bool) {
	time.Sleep(30 * time.Millisecond)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", r.head(req))
	return err == nil
}

func (c *crowdCase) run() (verdict, error) {
	system, err := newCluster(c.rec, 3, 2, []string{crashZone})
	if err != nil {
		return cannotRun, err
	}
	c.system = system
	// The machines of the deployment have one core each.
	system.env = []string{"GOMAXPROCS=1"}
	defer system.stopAll()
	c.runner = &runner{rec: c.rec, service: crowdService, addr: system.net + "151:8080", zone: crashZone, slots: 100, id: "i-00", serve: c.serve}
	if err := c.runner.start(); err != nil {
		return cannotRun, err
	}
	list := &platform{}
	list.set([]instance{c.runner.entry()})
	list.listen(system.platform)
	if err := system.startAll(); err != nil {
		return cannotRun, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, startTimeout)
	defer cancel()
	if err := system.publish(ctx, c.document()); err != nil {
		return cannotRun, err
	}
	if err := system.awaitReady(ctx); err != nil {
		return cannotRun, err
	}
	c.rec.say("the deployment serves")
	c.traffic()
	return c.judge(), nil
}

// traffic lets the ordinary clients send to one entry VM, and the crowd join them.
func (c *crowdCase) traffic() {
	began := time.Now()
	end := began.Add(crowdEnd)
	addr := fmt.Sprintf("%s:%d", c.system.entry[0].ip, portCallers)
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() { c.keptClient(addr, i, end) })
	}
	all.Go(func() {
		for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			all.Go(func() { c.newClient(addr) })
		}
	})
	all.Go(func() {
		for ; time.Now().Before(end); time.Sleep(time.Second) {
			all.Go(c.askReady)
		}
	})
	if c.trouble {
		all.Go(func() {
			time.Sleep(time.Until(began.Add(crowdFrom)))
			c.crowd(addr, began.Add(crowdFrom+crowdLength))
		})
	}
	all.Wait()
}

func (c *crowdCase) request(id string) *clientRequest {
	return &clientRequest{id: id, method: "POST", host: crowdHost, path: crowdPath, deadline: clientDeadline, body: strings.Repeat("d", 600)}
}

// newClient sends one request on a new connection.
func (c *crowdCase) newClient(addr string) {
	r := c.request(attemptID())
	q := ordinaryRequest{id: r.id, sent: time.Now()}
	a := send(addr, r)
	if a.status != 0 {
		q.end, q.status = time.Now(), a.status
	}
	c.add(q)
}

// keptClient sends requests one after the other on a connection that it keeps.
func (c *crowdCase) keptClient(addr string, i int, end time.Time) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", c.system.net, 181+i))}}
	for time.Now().Before(end) {
		conn, err := dialer.Dial("tcp", addr)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(conn)
		for time.Now().Before(end) && c.ask(conn, in) {
			time.Sleep(400 * time.Millisecond)
		}
		_ = conn.Close()
	}
}

// ask sends one request on a kept connection and reports whether the next may follow.
func (c *crowdCase) ask(conn net.Conn, in *bufio.Reader) bool {
	r := c.request(attemptID())
	q := ordinaryRequest{id: r.id, kept: true, sent: time.Now()}
	defer func() { c.add(q) }()
	_ = conn.SetDeadline(q.sent.Add(clientDeadline))
	if _, err := conn.Write(r.bytes()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: r.method})
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false
	}
	q.end, q.status = time.Now(), resp.StatusCode
	return !resp.Close
}

func (c *crowdCase) add(q ordinaryRequest) {
	c.mu.Lock()
	c.ordinary = append(c.ordinary, q)
	c.mu.Unlock()
	if q.end.IsZero() {
		c.rec.line("request %s (kept connection: %v), sent at %.3f s: no answer", q.id, q.kept, c.rec.since(q.sent))
		return
	}
	c.rec.line("request %s (kept connection: %v), sent at %.3f s: %d after %v", q.id, q.kept, c.rec.since(q.sent), q.status, q.end.Sub(q.sent).Round(time.Millisecond))
}

// askReady asks whether the entry VM is ready, as the platform does.
func (c *crowdCase) askReady() {
	began := time.Now()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	check := readyCheck{at: began}
	if resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", c.system.entry[0].ip, portReady)); err == nil {
		_ = resp.Body.Close()
		check.status = resp.StatusCode
	}
	check.took = time.Since(began)
	c.mu.Lock()
	c.readies = append(c.readies, check)
	c.mu.Unlock()
	c.rec.line("asked at %.3f s whether it is ready: %d after %v", c.rec.since(began), check.status, check.took.Round(time.Millisecond))
}

// crowd keeps the connections of the crowd open until a time.
func (c *crowdCase) crowd(addr string, until time.Time) {
	c.pace.perSecond = c.perSecond
	var all sync.WaitGroup
	for i := range c.conns {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(c.conns))
			for time.Now().Before(until) {
				c.crowdConn(addr, i, until)
				time.Sleep(time.Second)
			}
		})
	}
	all.Wait()
	c.rec.say("the crowd has opened %d connections, sent %d MB and read %d answers", c.opened, c.sent>>20, c.answered)
}

// crowdConn opens a connection for one of the crowd.
func (c *crowdCase) crowdConn(addr string, i int, until time.Time) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", c.system.net, 201+i%40))}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(until)
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	c.member(conn, until)
}

// sendAhead sends many requests to a path without a route, without reading the answers,
// and stays open.
func (c *crowdCase) sendAhead(conn net.Conn, until time.Time) {
	requests := strings.Repeat(fmt.Sprintf("GET /zzz/a HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n\r\n", crowdHost, attemptID()), c.ahead)
	const step = 16 << 10
	for len(requests) > 0 {
		n := min(step, len(requests))
		if !c.write(conn, requests[:n]) {
			return
		}
		requests = requests[n:]
	}
	time.Sleep(time.Until(until))
}

// sendFields sends requests of legal size that are made of very many short fields, one
// after the other, and reads the answers.
func (c *crowdCase) sendFields(conn net.Conn, _ time.Time) {
	var fields strings.Builder
	for i := range 1300 {
		fmt.Fprintf(&fields, "%c%02x:\r\n", 'g'+i/256, i%256)
	}
	// LIST=X-Other shows the contrast: the list stands in a header that means nothing.
	name := cmp.Or(os.Getenv("LIST"), "Connection")
	in := bufio.NewReader(conn)
	for {
		request := fmt.Sprintf("GET /zzz/a HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n%s: %s\r\n%s\r\n",
			crowdHost, attemptID(), name, strings.Repeat("zzz,", 1900)+"zzz", fields.String())
		if !c.write(conn, request) {
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		c.mu.Lock()
		c.answered++
		c.mu.Unlock()
		if resp.Close {
			return
		}
		time.Sleep(time.Second)
	}
}

// write sends bytes of the crowd at its pace.
func (c *crowdCase) write(conn net.Conn, text string) bool {
	c.pace.wait(len(text))
	n, err := io.WriteString(conn, text)
	c.mu.Lock()
	c.sent += int64(n)
	c.mu.Unlock()
	return err == nil
}

// pacer bounds the bytes a second of all who wait.
type pacer struct {
	perSecond int

	mu   sync.Mutex
	next time.Time
}

// wait waits until n more bytes may be sent.
func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = at.Add(time.Duration(n) * time.Second / time.Duration(p.perSecond))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// judge checks that of the requests which are still unanswered at the timeout of their
// route at most half have no answer half a second later.
func (c *crowdCase) judge() verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.system.entry[0].ended:
		c.rec.say("the process of the entry VM has ended by itself")
		return broken
	default:
	}
	unanswered, late, served := 0, 0, 0
	for _, q := range c.ordinary {
		if !q.end.IsZero() && q.end.Sub(q.sent) <= routeTimeout {
			served++
			continue
		}
		unanswered++
		if q.end.IsZero() || q.end.Sub(q.sent) > routeTimeout+answerSlack {
			late++
		}
	}
	missed := 0
	for _, r := range c.readies {
		if r.status != http.StatusOK {
			missed++
		}
	}
	c.rec.say("%d of %d questions for readiness had no 200", missed, len(c.readies))
	c.rec.say("%d ordinary requests were answered in time, %d were unanswered at the timeout of their route, %d of these half a second later", served, unanswered, late)
	if served == 0 {
		return cannotRun
	}
	if late >= 8 && 2*late > unanswered {
		return broken
	}
	return held
}
