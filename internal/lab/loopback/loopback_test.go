package loopback_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/endivespoke/endivespoke/internal/lab/loopback"
)

// TestListenHoldsItsPort guards against a port that is only found free: another process can
// take it before it is used.
func TestListenHoldsItsPort(t *testing.T) {
	listener, err := loopback.Listen()
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	_, err = net.Listen("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.ErrorMatches, ".*address already in use")
	others, err := loopback.Addresses(3)
	qt.Assert(t, err, qt.IsNil)
	for _, other := range others {
		qt.Check(t, other, qt.Not(qt.Equals), listener.Addr().String())
	}
}
