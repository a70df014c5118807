package logsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/node/logsink"
)

// blockedWriter blocks each write until free is closed.
type blockedWriter struct {
	free chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	output := &blockedWriter{free: make(chan struct{})}
	now := time.Unix(0, 0)
	sink := logsink.New(logsink.Options{Output: output, Now: func() time.Time { return now }, Rate: 1e6})
	began := time.Now()
	const lines = 10_000
	for range lines {
		_, err := sink.Write([]byte("line\n"))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(began) < time.Second, qt.IsTrue)
	close(output.free)
	time.Sleep(100 * time.Millisecond)
	_, _ = sink.Write([]byte("last\n"))
	sink.Close()
	output.mu.Lock()
	defer output.mu.Unlock()
	text := output.text.String()
	qt.Assert(t, strings.Contains(text, `"event":805,"lines":`), qt.IsTrue)
	qt.Assert(t, strings.HasSuffix(text, "last\n"), qt.IsTrue)
}

func TestRateIsBounded(t *testing.T) {
	text := &bytes.Buffer{}
	now := time.Unix(0, 0)
	sink := logsink.New(logsink.Options{Output: text, Now: func() time.Time { return now }, Rate: 10})
	for range 100 {
		_, _ = sink.Write([]byte("first\n"))
	}
	now = now.Add(time.Second)
	for range 100 {
		_, _ = sink.Write([]byte("second\n"))
	}
	sink.Close()
	qt.Assert(t, strings.Count(text.String(), "first"), qt.Equals, 50)
	qt.Assert(t, strings.Count(text.String(), "second"), qt.Equals, 10)
	qt.Assert(t, strings.Contains(text.String(), `"lines":50`), qt.IsTrue)
}
