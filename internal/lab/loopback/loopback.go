// Package loopback gives out addresses for processes that the lab and the tests
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

// Ports are given out below those that Linux uses for outgoing connections
// (32768 on, net.ipv4.ip_local_port_range): such a connection could take a port
// between its being found free and its process listening on it, or while a
// process is restarted.
const (
	firstPort = 10000
	portCount = 20000
)

// portsTaken counts the ports that were given out or found in use, so that no two
// callers in one process get the same.
var portsTaken atomic.Int64

// processStride parts the places at which processes with neighbouring ids begin. It is
// more ports than a test binary takes, and has no factor in common with portCount.
const processStride = 977

// Addresses gives addresses of this host that nothing listens on. Another process may
// take one before it is used; where this process listens itself, call Listen.
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
		} // Another process listens there.
	}
	return nil, errors.Annotate(err, "no free port")
}
