// Package loopback gives out addresses for processes that the lab and the tests
// start.
//
// # Usage
//
//	addresses, err := loopback.Addresses(4)
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

// Addresses gives addresses of this host that nothing listens on.
func Addresses(count int) (addresses []string, err error) {
	for tries := 0; len(addresses) < count; tries++ {
		if tries == portCount {
			return nil, errors.New("no free port")
		}
		// Processes that run at once begin at places of their own.
		port := firstPort + (int64(os.Getpid())*101+portsTaken.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // Another process listens there.
		}
		if err := listener.Close(); err != nil {
			return nil, errors.Trace(err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
