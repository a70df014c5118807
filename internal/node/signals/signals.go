// Package signals receives the signals of the operating system in a process that serves callers.
//
// The handlers stay until the process exits. A signal whose handler is removed gets its default
// action back, which for most signals ends the process: at any moment of a graceful stop that would
// cut the requests that still run.
//
// # Usage
//
//	caught := signals.Catch()          // First, before anything that takes time.
//	serve(caught.Stopping(), ...)      // The context ends with the first SIGTERM or SIGINT.
//	for range caught.Hangups { ... }   // SIGHUP; several that come together count as one.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals are those that the process has received. Further SIGTERMs and SIGINTs have no effect, nor
// has SIGPIPE: the reader of the log may end before the process does.
type Signals struct {
	Hangups <-chan os.Signal

	stopping context.Context
}

// Catch handles the signals from now on.
func Catch() *Signals {
	hangups, stops, brokenPipes := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(brokenPipes, syscall.SIGPIPE) // Nobody reads them.
	stopping, stop := context.WithCancel(context.Background())
	go func() {
		<-stops
		stop()
	}()
	return &Signals{Hangups: hangups, stopping: stopping}
}

// Stopping returns a context that ends when the process is asked to stop.
func (s *Signals) Stopping() context.Context {
	return s.stopping
}
