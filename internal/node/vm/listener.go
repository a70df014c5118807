package vm

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/caller"
)

// listener serves HTTP on one address as a supervised service. The address is bound
// at construction, so that a wrong address is an error at start.
type listener struct {
	name    string
	address string
	handler http.Handler
	accept  func(net.Listener) *caller.Port // Bounds the connections.

	mu          sync.Mutex
	bound       net.Listener
	server      *http.Server
	certificate string
	key         string
}

func listen(name, address string) (l *listener, err error) {
	l = &listener{name: name}
	if l.bound, err = net.Listen("tcp", address); err != nil {
		return nil, errors.Annotatef(err, "%s", name)
	}
	l.address = l.bound.Addr().String()
	return l, nil
}

// String names the service in the supervisor's messages.
func (l *listener) String() string {
	return l.name
}

func (l *listener) useTLS(certificate, key string) {
	l.certificate, l.key = certificate, key
}

// Serve runs until the context ends. After a failure the supervisor calls it
// again, and it binds the same address again.
func (l *listener) Serve(ctx context.Context) (err error) {
	var bound net.Listener
	if bound, err = l.boundListener(); err != nil {
		return errors.Trace(err)
	}
	port := l.accept(bound)
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: port.Track, ConnContext: port.Context}
	l.mu.Lock()
	l.server = server
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Closes the connections that are still open.
	defer stop()
	if l.certificate != "" {
		err = server.ServeTLS(port, l.certificate, l.key)
	} else {
		err = server.Serve(port)
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Trace(err)
}

func (l *listener) boundListener() (bound net.Listener, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bound != nil {
		bound = l.bound
		l.bound = nil
		return bound, nil
	}
	if bound, err = net.Listen("tcp", l.address); err != nil {
		return nil, errors.Trace(err)
	}
	return bound, nil
}

// shutdown closes the listener and waits for open requests.
func (l *listener) shutdown(ctx context.Context) {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	if server != nil {
		_ = server.Shutdown(ctx) // On timeout, ending the context of Serve closes what is still open.
	}
}
