// Package logsink writes log lines to a stream that may be slow or blocked,
// without blocking the code that logs.
//
// # Usage
//
//	sink := logsink.New(logsink.Options{Output: os.Stdout, Now: time.Now})
//	defer sink.Close()
//	logger := hclog.New(&hclog.LoggerOptions{Output: sink, JSONFormat: true})
//
// Lines are written from a bounded queue. Lines above a rate limit, and lines for which
// the queue is full, are dropped. Their number is logged in a separate line once the
// queue has space again.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/endivespoke/endivespoke/internal/node/event"
)

const (
	// queueSize is the capacity of the queue in lines: about 2 MB of text.
	queueSize = 4096
	// DefaultRate is the sustained rate in lines per second. A VM completes up to about
	// 100 requests per second at peak load, with a few lines each.
	DefaultRate = 400
	// burst is the number of lines that pass at once, in seconds of the rate.
	burst = 5
	// closeTimeout bounds the wait for the queued lines.
	closeTimeout = 100 * time.Millisecond
)

// Options configures a Sink. Rate is in lines per second; DefaultRate if 0.
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

// New creates a sink and starts its goroutine.
func New(options Options) *Sink {
	if options.Rate == 0 {
		options.Rate = DefaultRate
	}
	s := &Sink{options: options, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	s.tokens, s.filledAt = burst*options.Rate, options.Now()
	go s.run()
	return s
}

// Write queues a line, or drops it. It never blocks and returns no error.
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

// allowed takes a token from the rate limiter's bucket. The lock must be held.
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
		_, _ = s.options.Output.Write(line) // A failure to write the log can't be logged.
	}
}

// Close waits up to closeTimeout for the queued lines to be written.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
