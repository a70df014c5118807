// Command lab2 has the stand-ins of the second review's scripts: the platform's store, backend servers
// and clients. A case runs the project's program as separate processes on loopback addresses.
//
//	lab2 case NAME DIR      run a case; DIR/record.txt is written
//	lab2 worker FLAGS       one backend server process; started by cases
//
// Exit code of a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit ends a case that hangs, with all its processes.
const caseLimit = 110 * time.Second

// cases run on a lab; each returns whether the rule was broken.
var cases = map[string]func(l *lab) bool{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 case NAME DIR")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[2]], os.Args[3]))
}

// cannotRun is the value with which a case panics that could not run.
type cannotRun string

func runCase(run func(l *lab) bool, dir string) (code int) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l, err := newLab(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(record, "could not run:", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		l.note("the case was stopped by signal %v", <-stops)
		l.close()
		os.Exit(2)
	}()
	limit := time.AfterFunc(caseLimit, func() {
		l.note("the case took too long")
		l.close()
		os.Exit(2)
	})
	defer limit.Stop()
	defer l.close()
	defer func() {
		if reason := recover(); reason != nil {
			l.note("could not run: %v", reason)
			fmt.Println("could not run:", reason)
			code = 2
		}
	}()
	if run(l) {
		l.note("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	l.note("rule held")
	fmt.Println("rule held")
	return 0
}
