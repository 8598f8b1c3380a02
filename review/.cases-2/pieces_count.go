package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["pieces-count"] = runPiecesCount }

const (
	// wrappingCount is a number of pieces whose product with the 21 ms of a piece, in
	// ns, is 2^64 and a little more.
	wrappingCount = "878416384463"
	// endsOfMachine and endsOnMachines are the numbers of the rule: so many processes
	// end by themselves so often.
	endsOfMachine  = 3
	endsOnMachines = 2
)

// runPiecesCount sends small requests that name a very large number of pieces. The
// platform kills processes that take more memory than their machine has.
func runPiecesCount(rec *record, trouble bool) (bool, error) {
	d, err := startStaged(rec)
	if err != nil {
		return false, err
	}
	watch := watchMemory(d.deployment)
	count := "2"
	if trouble {
		count = wrappingCount
	}
	for range endsOfMachine {
		for _, m := range d.entry {
			if err := d.awaitReady(); err != nil {
				return false, err
			}
			q := brief(count)
			a := send(m.addr(portFront), q, 8*time.Second)
			rec.printf("client: %s to %s, %d bytes, X-Pieces %s: %v", q.attempt, m.name, len(q.bytes()), count, a)
			if !trouble && (a.err != nil || a.status != http.StatusOK) {
				return false, fmt.Errorf("an ordinary request is not served: %v", a)
			}
			time.Sleep(time.Second)
		}
	}
	return countEnded(d.deployment, watch) >= endsOnMachines, nil
}

// countEnded ends the watch and returns the number of machines whose processes have ended
// by themselves as often as the rule says.
func countEnded(d *deployment, watch *memoryWatch) int {
	kills, peak := watch.close()
	d.rec.printf("platform: peak memory in MiB: %v", peak)
	machines := 0
	for _, m := range d.machines() {
		ends := kills[m.name] + m.ownEnds()
		d.rec.printf("platform: %s: %d kills for its memory, %d ends by itself", m.name, kills[m.name], m.ownEnds())
		if ends >= endsOfMachine {
			machines++
		}
	}
	d.rec.printf("platform: processes of %d machines have ended by themselves %d times or more", machines, endsOfMachine)
	return machines
}
