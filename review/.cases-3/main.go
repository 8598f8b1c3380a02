// Command cases plays the scripts of the third review: it starts the programs of the
// deploy file on loopback, with simulated clients, runners and platform beside them.
//
// Usage: cases CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// verdict is the exit status of a case.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	cannotRun verdict = 2
)

// startTimeout bounds the time until the deployment serves.
const startTimeout = 20 * time.Second

// play is one run of a case.
type play struct {
	ctx     context.Context
	rec     *record
	trouble bool
}

var cases = map[string]func(*play) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(int(cannotRun))
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(cannotRun))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 118*time.Second)
	p := &play{ctx: ctx, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.say("case %s, disruption: %v", os.Args[1], p.trouble)
	v, err := cases[os.Args[1]](p)
	if err != nil {
		rec.say("the case could not run: %v", err)
		v = cannotRun
	}
	rec.say("exit %d", v)
	cancel()
	rec.close()
	os.Exit(int(v))
}
