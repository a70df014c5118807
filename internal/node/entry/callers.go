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

const (
	// reservedDescriptors are left for files. Connections that the VM opens and those that its ports
	// accept share the others.
	reservedDescriptors = 200
	// headsFraction bounds the share of the VM's memory for the heads of requests.
	headsFraction = 0.06
	// minConnections is the least number of connections of a port.
	minConnections = 8
	// notReadTimeout is how long a caller may take no part of an answer.
	notReadTimeout = time.Minute
	// headSlack is added to the configuration's limit of the time for a head, for its way.
	headSlack = time.Second
	// closedReportInterval is the least time between two reports of closed connections.
	closedReportInterval = time.Second
)

// portParts are the parts of a VM's descriptors and memory that the connections of its ports may
// take. What is left of the descriptors is for connections to servers, peers and the store.
var portParts = []struct {
	port                Port
	name                string
	descriptors, memory float64
}{
	{PortCallers, "callers", 0.35, 0.12},
	{PortLocate, "locate", 0.08, 0.03},
	{PortPeers, "peers", 0.15, 0.1},
	{PortReady, "ready", 0.02, 0.01},
	{PortMetrics, "metrics", 0.01, 0.01},
}

// Connections returns the name of a port and how many connections it takes.
func (s *Settings) Connections(port Port) (name string, connections int) {
	part := portParts[port]
	connections = int(part.memory*float64(s.MemoryBytes)) / caller.ConnectionBytes
	if s.MaxDescriptors > 0 {
		connections = min(connections, int(part.descriptors*float64(s.MaxDescriptors-reservedDescriptors)))
	}
	return part.name, max(connections, minConnections)
}

// Bound bounds the connections of a listener.
func (v *VM) Bound(listener net.Listener, port Port) *caller.Port {
	name, connections := v.options.Settings.Connections(port)
	event.PortBounded.Info(v.logger, "port", name, "address", listener.Addr().String(), "connections", connections)
	return v.ports.Listen(listener, name, connections)
}

// TrackCaller is the ConnState hook of the http.Server for callers.
func (v *VM) TrackCaller(connection net.Conn, state http.ConnState) {
	v.callers.Track(connection, state)
}

// closeOverdue closes caller connections that exceed the idle timeout or the time for a head of the
// configuration in force, and those whose callers don't read.
func (v *VM) closeOverdue(context.Context) {
	now := v.Now()
	headSince := time.Time{}
	if configuration := v.spread.Snapshot().Configuration; configuration != nil {
		v.callers.CloseIdle(configuration.Limits.IdleTimeout)
		if configuration.Limits.HeaderTimeout > 0 {
			headSince = now.Add(-configuration.Limits.HeaderTimeout - headSlack)
		}
	}
	v.ports.Sweep(headSince, now.Add(-notReadTimeout))
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
