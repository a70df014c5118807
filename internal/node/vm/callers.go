package vm

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

const (
	// defaultMemoryBytes is assumed if the settings name no memory.
	defaultMemoryBytes = 1 << 30
	// memoryLimitFraction of the memory in the settings is the soft limit of the Go runtime.
	memoryLimitFraction = 0.6
	// bodiesFraction bounds the share of the memory for bodies of requests, and answersFraction for
	// what servers send, if that is less than answersBytes.
	bodiesFraction  = 0.1
	answersFraction = 0.15
	// freeBodyBytes is the size up to which a body needs no part of that share. It is part of what
	// counts for a connection.
	freeBodyBytes = 4 << 10
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = time.Minute
	// overdueInterval is how often overdue connections are looked for, and closedReportInterval how
	// often closed ones are reported.
	overdueInterval      = 500 * time.Millisecond
	closedReportInterval = time.Second
)

// The parts of the VM's ports. What is left of the descriptors is for connections to servers, peers and
// the platform.
var (
	callersPart   = caller.Part{Name: "callers", Descriptors: 0.35, Memory: 0.12}
	peersPart     = caller.Part{Name: "peers", Descriptors: 0.15, Memory: 0.14}
	operatorsPart = caller.Part{Name: "operators", Descriptors: 0.05, Memory: 0.02}
)

// memoryBytes returns the memory that the limits are parts of.
func (v *VM) memoryBytes() int64 {
	return cmp.Or(v.settings.MemoryBytes, defaultMemoryBytes)
}

// bound returns the function that bounds the connections of a listener.
func (v *VM) bound(part caller.Part) func(net.Listener) *caller.Port {
	return func(listener net.Listener) *caller.Port {
		connections := part.Connections(v.memoryBytes(), v.settings.MaxDescriptors)
		event.PortBounded.Info(v.logger, "port", part.Name, "address", listener.Addr().String(), "connections", connections)
		return v.ports.Listen(listener, part.Name, connections)
	}
}

// readsBodies bounds the bodies that a handler reads.
func (v *VM) readsBodies(handler http.Handler) http.Handler {
	return caller.BodyHandler(v.bodies, bodyTimeout, handler)
}

func (v *VM) closeOverdue(context.Context) {
	v.ports.Sweep(readHeaderTimeout)
}

// reportClosed counts and logs the connections that were closed since the last report, one line for
// each port and reason.
func (v *VM) reportClosed(context.Context) {
	for port, reasons := range v.ports.Closed() {
		for reason, count := range reasons {
			metrics.GetOrCreateCounter(fmt.Sprintf(`endivespoke_connections_closed_total{port=%q,reason=%q}`, port, reason)).Add(count)
			event.ConnectionsClosed.Warn(v.logger, "port", port, "reason", reason, "connections", count)
		}
	}
}
