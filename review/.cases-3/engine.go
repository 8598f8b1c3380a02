package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// engineAnswer says how a simulated model engine answers.
type engineAnswer struct {
	// firstEvent is the time to the first event, gap that between two events.
	firstEvent, gap time.Duration
	events          int
	// unframed answers have neither a length nor chunks: they end with the connection.
	unframed bool
	// onRun is called when a request begins to run. It returns false if the runner has
	// crashed on it.
	onRun func(r *runner, req *http.Request) bool
}

// serve answers one request with a stream of events.
func (e *engineAnswer) serve(r *runner, c net.Conn, req *http.Request, _ []byte) (keep bool) {
	time.Sleep(e.firstEvent)
	if e.onRun != nil && !e.onRun(r, req) {
		return false
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if e.unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s%sX-Weight-Versions: 1\r\n\r\n", r.head(req), framing); err != nil {
		return false
	}
	for i := range e.events {
		if i > 0 {
			time.Sleep(e.gap)
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("t", 40))
		if !e.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := c.Write([]byte(event)); err != nil {
			return false
		}
	}
	if e.unframed {
		return false
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// sharedParts returns the parts of a request's prompt but for the last one.
func sharedParts(req *http.Request) []string {
	var ids []string
	for _, part := range strings.Split(req.Header.Get("X-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}
