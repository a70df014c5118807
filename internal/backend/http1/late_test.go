package http1_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
)

// TestResponseWithoutAnIDIsNotAccepted: on a connection that was used before, a response
// without an id may be a late duplicate of an earlier one.
func TestResponseWithoutAnIDIsNotAccepted(t *testing.T) {
	address, _ := peer(t, func(number int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if number > 1 {
			answer(c, "", "of a new connection")
			return
		}
		answer(c, "r0", "for r0")
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		answer(c, "", "late")
		_, _ = r.ReadByte()
	})
	p := http1.New(http1.Options{})
	body, err := send(p, address, "r0", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "for r0")
	_, err = send(p, address, "r1", nil)
	qt.Assert(t, errors.Is(err, http1.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	body, err = send(p, address, "r2", nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "of a new connection")
}

// TestHeadWithoutAnEndIsBroken: a server that sends endless header lines must not exhaust
// the memory of the VM.
func TestHeadWithoutAnEndIsBroken(t *testing.T) {
	sent := make(chan int, 1)
	address, _ := peer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		total := 0
		for i := 0; i < 100_000; i++ {
			n, err := fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("a", 1000))
			if total += n; err != nil {
				break
			}
		}
		sent <- total
	})
	_, err := send(http1.New(http1.Options{}), address, "r0", nil)
	qt.Assert(t, errors.Is(err, http1.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	select {
	case total := <-sent:
		qt.Assert(t, total < 16<<20, qt.IsTrue, qt.Commentf("%d bytes were read", total))
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}
