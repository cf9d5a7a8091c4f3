//go:build review3

// Command review-standin-3 plays the cases of the third review: it starts the project's
// daemons as separate processes, with stand-ins for the platform's store, the operator, the
// runners and the clients.
//
//	review-standin-3 CASE RECORD
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// verdict is the outcome of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(w *world, trouble bool) verdict{
	"renamed-twice": renamedTwice,
	"renamed-lost":  renamedLost,
	"checkpoint":    largeCheckpoint,
	"lost-majority": lostMajority,
	"late-ack":      lateAck,
	"port-taken":    portTaken,
	"split-lasting": splitLasting,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 CASE RECORD")
		os.Exit(int(notRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, record string) verdict {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	outcome := make(chan verdict, 1)
	go func() { outcome <- cases[name](w, os.Getenv("TROUBLE") != "0") }()
	result := notRun
	select {
	case result = <-outcome:
	case <-time.After(caseTimeout):
		w.note("the case takes too long")
	}
	w.note("result: %d (0: the rule held, 1: broken, 2: could not run)", result)
	return result
}
