package rescue_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/endivespoke/endivespoke/internal/node/rescue"
)

// TestPanicIsLoggedAndEndsItsTaskOnly panics in a task. Without the recovery the panic
// would end the test's process.
func TestPanicIsLoggedAndEndsItsTaskOnly(t *testing.T) {
	log := bytes.Buffer{}
	written := sync.WaitGroup{}
	written.Add(1)
	logger := hclog.New(&hclog.LoggerOptions{Output: writer(func(line []byte) { log.Write(line); written.Done() })})
	rescue.Go(logger, "a part", func() {
		panic("index out of range")
	})
	written.Wait()
	qt.Assert(t, strings.Contains(log.String(), "a part"), qt.IsTrue)
	qt.Assert(t, strings.Contains(log.String(), "index out of range"), qt.IsTrue, qt.Commentf(log.String()))
}

type writer func(line []byte)

// Write passes one line of the log to the function.
func (w writer) Write(line []byte) (int, error) {
	w(line)
	return len(line), nil
}
