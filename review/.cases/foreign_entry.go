package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign-entry"] = playForeignEntry }

const (
	ledgerService = "wuno96b"
	rollService   = "pimo31d"
	depositHost   = "jeye25.example"
	rollHost      = "volo10.example"
)

// plainDocument has a route for bookings, which may not be repeated, and one for
// the members' register, each to its own service.
func plainDocument(version int) *document {
	d := newDocument(version)
	d.Routes = []map[string]any{
		{
			"name": "r-deposit", "host": depositHost, "path_prefix": "/sopo924/", "kind": "non_idempotent", "timeout_ms": 1500, "slo_ms": 300,
			"priority": 2, "service": ledgerService, "max_attempts": 1, "public": false,
		},
		{
			"name": "r-roll", "host": rollHost, "path_prefix": "/kami162/", "kind": "idempotent", "timeout_ms": 1500, "slo_ms": 300,
			"priority": 2, "service": rollService, "max_attempts": 2, "public": false,
		},
	}
	for _, name := range []string{ledgerService, rollService} {
		d.Services = append(d.Services, map[string]any{"name": name, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false})
	}
	return d
}

// playForeignEntry has the platform's list hold, in trouble, one entry of another
// writer: it lacks the field "version" and names a runner of the register under
// the service of the bookings. Rule ROUTE: no booking may be run by the register.
func playForeignEntry(s *system, trouble bool) (broken bool, err error) {
	const (
		requests = 150
		pause    = 100 * time.Millisecond
	)
	var ledger, roll []*plainRunner
	for n := range 3 {
		x := &plainRunner{rec: s.rec, work: 30 * time.Millisecond}
		if x.runner, err = s.addRunner(121+n, fmt.Sprintf("i-ledger-%d", n), ledgerService, 6, x.serve); err != nil {
			return false, err
		}
		ledger = append(ledger, x)
		y := &plainRunner{rec: s.rec, work: 30 * time.Millisecond}
		if y.runner, err = s.addRunner(131+n, fmt.Sprintf("i-roll-%d", n), rollService, 6, y.serve); err != nil {
			return false, err
		}
		roll = append(roll, y)
	}
	if trouble {
		x := roll[0].runner
		s.list.addRaw(fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":"lagos-ikeja","slots":6,"state":"ready","cold_left_ms":0}`, x.id, ledgerService, x.addr))
		s.rec.say("platform: the list has an entry without a version, which names %s under the service %s", x.id, ledgerService)
	}
	if err := s.startServing(2, plainDocument(7)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var clients []*client
	for _, v := range s.entries {
		clients = append(clients, &client{addr: s.addr(v.host, s.ports.callers)})
	}
	sent := map[string]bool{}
	served := 0
	for n := range requests {
		k := &call{id: newID(), method: http.MethodPost, host: depositHost, path: "/sopo924/2f", deadline: 3 * time.Second, body: "deposit"}
		sent[k.id] = true
		a := clients[n%len(clients)].do(k)
		s.rec.say("client: deposit %s gets %v: %s", k.id, a, a.body)
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
		time.Sleep(pause)
	}
	wrong := 0
	for _, x := range roll {
		for _, run := range x.runs() {
			if sent[run.id] {
				wrong++
			}
		}
	}
	right := 0
	for _, x := range ledger {
		right += len(x.runs())
	}
	s.rec.say("%d deposits sent, %d answered with 200, %d run by %s, %d run by %s", requests, served, right, ledgerService, wrong, rollService)
	if served == 0 {
		return false, errors.New("no deposit was served")
	}
	return wrong > 0, nil
}
