package main

import (
	"net"
	"sync"
	"time"
)

func init() { cases["sent-ahead"] = runSentAhead }

const (
	// leavers is the number of clients that send requests ahead and leave, ahead the
	// number of requests of each.
	leavers = 20
	ahead   = 3
	// leaveAfter is when they close their connections, lateAfter how much later a
	// request that reaches a runner counts.
	leaveAfter = 150 * time.Millisecond
	lateAfter  = 500 * time.Millisecond
	// fewLate is how many late requests are a few.
	fewLate = 5
)

// runSentAhead has clients send several requests at once and close their connections
// before the first answer. Without trouble each sends one request.
func runSentAhead(rec *record, trouble bool) (bool, error) {
	d, err := startStaged(rec)
	if err != nil {
		return false, err
	}
	for _, rn := range d.runners {
		if rn.service == "ledger" {
			rn.work = time.Second
		}
	}
	number := 1
	if trouble {
		number = ahead
	}
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	var clients sync.WaitGroup
	for i := range leavers {
		clients.Go(func() {
			m := d.entry[i%len(d.entry)]
			c, err := net.Dial("tcp", m.addr(portFront))
			if err != nil {
				return
			}
			var text []byte
			var attempts []string
			for range number {
				q := deposit()
				attempts = append(attempts, q.attempt)
				text = append(text, q.bytes()...)
			}
			_, _ = c.Write(text)
			time.Sleep(leaveAfter)
			_ = c.Close()
			now := time.Now()
			rec.printf("client %d: sent %v to %s and closed the connection", i, attempts, m.name)
			mu.Lock()
			defer mu.Unlock()
			for _, a := range attempts {
				closedAt[a] = now
			}
		})
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	late := 0
	for a, at := range closedAt {
		for _, x := range runsOf(d.runners, a) {
			if behind := x.at.Sub(at); behind > lateAfter {
				late++
				rec.printf("%s has reached %s %d ms after its client had closed its connection", a, x.runner, behind.Milliseconds())
			}
		}
	}
	rec.printf("%d requests have reached a runner over half a second late", late)
	return late > fewLate, nil
}
