// Command standin runs one case of the review: it starts machines of the project as separate
// processes, and is their store, their workers and their clients.
//
//	target/review-standin CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest bounds a case.
const longest = 110 * time.Second

var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: review-standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	g := newRig(os.Args[2])
	time.AfterFunc(longest, func() { g.giveUp("the case took too long") })
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() { g.giveUp("ended by %v", <-interrupts) }()
	cases[os.Args[1]](g)
}
