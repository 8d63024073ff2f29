// Command standin plays the cases of the review that are scripts: it starts the project's own programs
// and has stand-ins for clients, servers, the operator and the platform.
//
// Its exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

var cases = map[string]func(root string, rec *record, trouble bool) (broken bool){
	"evacuation": evacuation,
	"repair":     repair,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		couldNotRun("%v", err)
	}
	rec := newRecord(filepath.Join(os.Args[3], "record.txt"))
	time.AfterFunc(caseTimeout, func() { couldNotRun("the time is over") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { couldNotRun("%v", <-signals) }()
	play := cases[os.Args[1]]
	if play == nil {
		couldNotRun("no case %q", os.Args[1])
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %v", os.Args[1], trouble)
	broken := play(root, rec, trouble)
	rec.log("rule broken: %v", broken)
	if broken {
		exit(1)
	}
	exit(0)
}
