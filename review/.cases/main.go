package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 112 * time.Second

// caseFunc plays one case and reports whether the rule was broken. An error
// says that the case could not run.
type caseFunc func(s *system, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER; the record is written to FOLDER/record.txt")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play caseFunc, folder string) (code int) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("TROUBLE=%t", trouble)
	s, err := newSystem(rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.end()
	watchdog := time.AfterFunc(caseTimeout, func() {
		rec.say("the case could not run: it took longer than %v", caseTimeout)
		s.end()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	defer func() {
		if p := recover(); p != nil {
			rec.say("the case could not run: %v\n%s", p, debug.Stack())
			code = exitNotRun
		}
	}()
	broken, err := play(s, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("result: the rule was broken")
		return exitBroken
	}
	rec.say("result: the rule held")
	return exitHeld
}
