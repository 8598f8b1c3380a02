package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["short-fields"] = runShortFields }

const (
	// grownMemoryMB is the memory of an entry machine of gwbh-relay-grown.
	grownMemoryMB = 184
	// headBytes is the size of a head, inside the max_header_bytes of 16,384;
	// shortBody that of a body.
	headBytes = 14500
	shortBody = 600
	// held is the number of requests that stop just short of their end, opened by
	// openers at a time.
	held    = 1300
	openers = 20
	// heldTime is how long they stay open.
	heldTime      = 8 * time.Second
	ordinaryPause = 500 * time.Millisecond
)

// heldRequest is a request of legal size, made of very many short fields, that stops one
// byte short of its end.
func heldRequest() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /brief/2f HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\nX-Prompt-Prefix: ",
		hostName, tenantKey, newAttempt(), shortBody)
	b.WriteString(":1")
	for b.Len() < headBytes {
		b.WriteString(",:1")
	}
	b.WriteString("\r\n\r\n" + strings.Repeat("n", shortBody-1))
	return []byte(b.String())
}

// hold opens the requests of a crowd and returns their connections.
func hold(addr string) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var opening sync.WaitGroup
	for range openers {
		opening.Go(func() {
			for range held / openers {
				c, err := net.DialTimeout("tcp", addr, 2*time.Second)
				if err != nil {
					continue
				}
				_, _ = c.Write(heldRequest())
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
			}
		})
	}
	opening.Wait()
	return conns
}

// runShortFields holds crowds of such requests open at two entry machines, three times
// each. The platform kills processes that take more memory than their machine has.
func runShortFields(rec *record, trouble bool) (bool, error) {
	d, err := startStaged(rec, func(d *deployment) {
		for _, m := range d.entry {
			m.memoryMB = grownMemoryMB
		}
	})
	if err != nil {
		return false, err
	}
	watch := watchMemory(d.deployment)
	request := heldRequest()
	rec.printf("client: a held request has %d bytes, its X-Prompt-Prefix %d parts", len(request), strings.Count(string(request), ":1"))
	served, asked := 0, 0
	for range endsOfMachine {
		for _, m := range d.entry[:endsOnMachines] {
			if err := d.awaitReady(); err != nil {
				return false, err
			}
			var conns []net.Conn
			if trouble {
				conns = hold(m.addr(portFront))
				rec.printf("client: %d requests are held open at %s", len(conns), m.name)
			}
			for end := time.Now().Add(heldTime); time.Now().Before(end); time.Sleep(ordinaryPause) {
				q := deposit()
				a := send(m.addr(portFront), q, 3*time.Second)
				asked++
				if a.err == nil && a.status == http.StatusOK {
					served++
				}
				rec.printf("client: ordinary %s to %s: %v", q.attempt, m.name, a)
			}
			for _, c := range conns {
				_ = c.Close()
			}
		}
	}
	rec.printf("client: %d of %d ordinary requests served", served, asked)
	machines := countEnded(d.deployment, watch)
	return machines >= endsOnMachines, nil
}
