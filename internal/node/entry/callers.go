package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/event"
)

// Port is one of the VM's listeners.
type Port int

// The listeners of a VM.
const (
	PortCallers Port = iota
	PortLocate
	PortPeers
	PortReady
	PortMetrics
)

// closedReportInterval is the least time between two reports of closed connections.
const closedReportInterval = time.Second

// portParts are the parts of the ports. What is left of the descriptors is for connections to servers,
// peers and the store.
var portParts = map[Port]caller.Part{
	PortCallers: {Name: "callers", Descriptors: 0.35, Memory: 0.12},
	PortLocate:  {Name: "locate", Descriptors: 0.08, Memory: 0.03},
	PortPeers:   {Name: "peers", Descriptors: 0.15, Memory: 0.14},
	PortReady:   {Name: "ready", Descriptors: 0.02, Memory: 0.01},
	PortMetrics: {Name: "metrics", Descriptors: 0.01, Memory: 0.01},
}

// Bound bounds the connections of a listener.
func (v *VM) Bound(listener net.Listener, port Port) *caller.Port {
	part := portParts[port]
	connections := part.Connections(v.options.Settings.MemoryBytes, v.options.Settings.MaxDescriptors)
	event.PortBounded.Info(v.logger, "port", part.Name, "address", listener.Addr().String(), "connections", connections)
	return v.ports.Listen(listener, part.Name, connections)
}

// TrackCaller is the ConnState hook of the http.Server for callers.
func (v *VM) TrackCaller(connection net.Conn, state http.ConnState) {
	v.callers.Track(connection, state)
}

// closeOverdue closes caller connections that exceed the idle timeout or the time for a head of the
// configuration in force, and those whose callers don't read.
func (v *VM) closeOverdue(context.Context) {
	headLimit := time.Duration(0)
	if configuration := v.spread.Snapshot().Configuration; configuration != nil {
		v.callers.CloseIdle(configuration.Limits.IdleTimeout)
		headLimit = configuration.Limits.HeaderTimeout
	}
	v.ports.Sweep(headLimit)
}

// reportClosed counts and logs the connections that were closed since the last report, one line for
// each port and reason.
func (v *VM) reportClosed(context.Context) {
	for port, reasons := range v.ports.Closed() {
		for reason, count := range reasons {
			v.counters.closed(port, reason, count)
			event.ConnectionsClosed.Warn(v.logger, "port", port, "reason", reason, "connections", count)
		}
	}
}
