// Package loopback allocates loopback addresses for processes that the lab and the tests
// start.
//
// # Usage
//
//	addresses, err := loopback.Addresses(4)   // For other processes.
//	listener, err := loopback.Listen()        // For this one.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// Ports are allocated below the ephemeral ports that Linux uses for outgoing connections
// (from 32768, net.ipv4.ip_local_port_range): such a connection could take a port after
// it was found free and before its process listens on it, or while a process restarts.
const (
	firstPort = 10000
	portCount = 20000
)

// portsTaken counts the ports that were allocated or found in use, so that no two callers
// in one process get the same port.
var portsTaken atomic.Int64

// processStride is the distance between the first ports of processes with consecutive ids.
// It is more than the ports that a test binary uses, and coprime to portCount.
const processStride = 977

// Addresses returns loopback addresses that nothing listens on. Another process may take
// one before it is used; to listen in this process, call Listen.
func Addresses(count int) (addresses []string, err error) {
	for range count {
		var listener net.Listener
		if listener, err = Listen(); err != nil {
			return nil, err
		}
		if err = listener.Close(); err != nil {
			return nil, errors.Trace(err)
		}
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Listen listens on a free port.
func Listen() (listener net.Listener, err error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*processStride+portsTaken.Add(1))%portCount
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return listener, nil
		} // The port is in use by another process.
	}
	return nil, errors.Annotate(err, "no free port")
}
