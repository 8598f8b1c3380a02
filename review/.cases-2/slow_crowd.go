package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-crowd"] = runSlowCrowd }

const (
	// crowd is the number of clients that send very slowly.
	crowd = 1400
	// dripPause is the time between two bytes of one of them.
	dripPause = 600 * time.Millisecond
	// ordinaryClients try new connections for triesTime, each with an address of its
	// own. contactTime is contact_ms.
	ordinaryClients = 8
	triesTime       = 10 * time.Second
	contactTime     = 4 * time.Second
)

// slowSender sends a request of legal size byte by byte until stop.
func slowSender(addr string, stop <-chan struct{}, open *atomic.Int64) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	q := &request{method: http.MethodPost, path: "/post/slow", attempt: newAttempt(), body: string(make([]byte, 4000)), headers: []string{"X-Deadline-Ms: 60000"}}
	whole := q.bytes()
	headEnd := len(whole) - len(q.body)
	if _, err := c.Write(whole[:headEnd]); err != nil {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	for i := headEnd; i < len(whole); i++ {
		if _, err := c.Write(whole[i : i+1]); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(dripPause):
		}
	}
}

// runSlowCrowd shows whether ordinary clients at other addresses get new connections
// while a crowd at one address sends very slowly.
func runSlowCrowd(rec *record, trouble bool) (bool, error) {
	d, err := startStaged(rec)
	if err != nil {
		return false, err
	}
	victim := d.entry[0]
	end := make(chan struct{})
	var open atomic.Int64
	var senders sync.WaitGroup
	if trouble {
		for range crowd {
			senders.Go(func() { slowSender(victim.addr(portFront), end, &open) })
		}
		time.Sleep(2 * time.Second)
	}
	rec.printf("client: %d slow senders are connected to %s", open.Load(), victim.name)
	ready := http.Client{Timeout: time.Second}
	var mu sync.Mutex
	var lastServed time.Time
	began := time.Now()
	lastServed = began
	var longest time.Duration
	served, tried, notReady := 0, 0, 0
	var clients sync.WaitGroup
	for i := range ordinaryClients {
		clients.Go(func() {
			dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", d.prefix, 60+i))}}
			for time.Since(began) < triesTime {
				a := sendFrom(&dialer, victim.addr(portFront), deposit(), 3*time.Second)
				mu.Lock()
				tried++
				if a.err == nil && a.status == http.StatusOK {
					served++
					longest = max(longest, time.Since(lastServed))
					lastServed = time.Now()
				}
				mu.Unlock()
				rec.printf("client: ordinary client %d: %v", i, a)
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	for time.Since(began) < triesTime {
		resp, err := ready.Get("http://" + victim.addr(portReady) + "/-/ready")
		if err != nil || resp.StatusCode != http.StatusOK {
			notReady++
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(time.Second)
	}
	clients.Wait()
	longest = max(longest, time.Since(lastServed))
	rec.printf("client: %d slow senders are still connected", open.Load())
	close(end)
	senders.Wait()
	rec.printf("client: %d of %d ordinary requests on new connections served; longest time without one %.1f s", served, tried, longest.Seconds())
	rec.printf("platform: %s was ready at every question but %d", victim.name, notReady)
	return longest > contactTime && notReady == 0, nil
}
