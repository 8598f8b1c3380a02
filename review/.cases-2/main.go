// Command cases runs the scripted cases of the second review on the project's own
// programs.
package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseLimit is how long a case may run.
const caseLimit = 110 * time.Second

// reviewCase runs one case. It reports whether the rule was broken, and an error if
// the case could not run. Without trouble it does the same without the disruption.
type reviewCase func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]reviewCase{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, "usage: cases NAME FOLDER, with NAME one of %v\n", slices.Sorted(maps.Keys(cases)))
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run reviewCase, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ended := make(chan int, 1)
	go func() { ended <- judge(rec, run) }()
	status := statusNotRun
	select {
	case status = <-ended:
	case <-signals:
		rec.printf("result: interrupted")
	case <-time.After(caseLimit):
		rec.printf("result: could not run: no end within %v", caseLimit)
	}
	cleanUp()
	return status
}

// judge runs a case and records its result.
func judge(rec *record, run reviewCase) int {
	broken, err := run(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		return statusNotRun
	case broken:
		rec.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return statusBroken
	}
	rec.printf("result: the rule held")
	fmt.Println("the rule held")
	return statusHeld
}

var cleanUps struct {
	mu   sync.Mutex
	list []func()
}

// atEnd has f called at the end of the case, however that comes.
func atEnd(f func()) {
	cleanUps.mu.Lock()
	defer cleanUps.mu.Unlock()
	cleanUps.list = append(cleanUps.list, f)
}

func cleanUp() {
	cleanUps.mu.Lock()
	defer cleanUps.mu.Unlock()
	for _, f := range cleanUps.list {
		f()
	}
}
