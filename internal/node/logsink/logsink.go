// Package logsink writes log lines to a stream that may be slow or stuck,
// without ever holding up who logs.
//
// # Usage
//
//	sink := logsink.New(logsink.Options{Output: os.Stdout, Now: time.Now})
//	defer sink.Close()
//	logger := hclog.New(&hclog.LoggerOptions{Output: sink, JSONFormat: true})
//
// Lines wait in a bounded queue. More lines than a rate allows, and lines that
// find the queue full, are dropped; how many is told in a line of its own once
// there is room again.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

const (
	// queueSize bounds the lines that wait: about 2 MB of text.
	queueSize = 4096
	// DefaultRate is the lines a second that pass for any length of time. A VM ends
	// up to about 100 requests a second at the users' peak, with a few lines each.
	DefaultRate = 400
	// burst is the lines that pass at once, in seconds of the rate.
	burst = 5
	// closeLimit bounds the wait for the last lines.
	closeLimit = 100 * time.Millisecond
)

// Options shapes a Sink. Rate is in lines a second; DefaultRate if 0.
type Options struct {
	Output io.Writer
	Now    func() time.Time
	Rate   float64
}

// Sink is safe for concurrent use. Each Write is one line.
type Sink struct {
	options Options
	lines   chan []byte
	done    chan struct{}

	mu       sync.Mutex
	closed   bool
	tokens   float64
	filledAt time.Time
	dropped  int
}

// New starts a sink.
func New(options Options) *Sink {
	if options.Rate == 0 {
		options.Rate = DefaultRate
	}
	s := &Sink{options: options, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	s.tokens, s.filledAt = burst*options.Rate, options.Now()
	go s.run()
	return s
}

// Write queues a line. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.allowed() {
		s.dropped++
		return len(line), nil
	}
	if s.dropped > 0 && s.queue(s.droppedLine()) {
		s.dropped = 0
	}
	if !s.queue(append([]byte{}, line...)) {
		s.dropped++
	}
	return len(line), nil
}

// allowed takes a token of the rate. Called with the lock held.
func (s *Sink) allowed() bool {
	now := s.options.Now()
	s.tokens = min(s.tokens+now.Sub(s.filledAt).Seconds()*s.options.Rate, burst*s.options.Rate)
	s.filledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Sink) queue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

func (s *Sink) droppedLine() []byte {
	e := event.LogDropped
	at := s.options.Now().Format("2006-01-02T15:04:05.000000Z07:00")
	return fmt.Appendf(nil, `{"@level":"warn","@message":%q,"@timestamp":%q,"event":%d,"lines":%d}`+"\n", e.Text, at, e.Number, s.dropped)
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		_, _ = s.options.Output.Write(line) // There is nowhere to tell of a log that can't be written.
	}
}

// Close waits a moment for the lines that are queued.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeLimit):
	}
}
