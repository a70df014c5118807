package caller

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// requestBody is the body of a request that came through BodyHandler.
type requestBody struct {
	io.ReadCloser
	bodies     *Bodies
	connection *Connection
	response   http.ResponseWriter
	deadline   time.Time
	release    func()
}

// BodyHandler wraps a handler that reads bodies with ReadAll, for which they share a limit. A body has to
// be complete within the timeout, and its memory counts until the handler returns.
func BodyHandler(bodies *Bodies, timeout time.Duration, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection := ConnectionOf(r.Context())
		if !connection.ReadBody(r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength == 0 {
			connection.Serve() // Writing fails if it was closed.
			handler.ServeHTTP(w, r)
			return
		}
		body := &requestBody{ReadCloser: r.Body, bodies: bodies, connection: connection, response: w, deadline: time.Now().Add(timeout), release: func() {}}
		defer func() { body.release() }()
		r.Body = body
		handler.ServeHTTP(w, r)
	})
}

// ReadAll reads the body of a request, of at most limit bytes. Only one that came through BodyHandler shares
// a limit with others.
func ReadAll(r *http.Request, limit int64) (body []byte, err error) {
	b, ok := r.Body.(*requestBody)
	if !ok {
		body, _, err = NewBodies(math.MaxInt64).Read(r.Body, limit)
		return body, err
	}
	controller := http.NewResponseController(b.response)
	if err = controller.SetReadDeadline(b.deadline); err != nil {
		return nil, errors.Trace(err)
	}
	stop := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) } // Fails if the connection is closed.
	body, b.release, err = b.bodies.ReadFrom(Body{From: b.ReadCloser, Limit: limit, Stop: stop})
	r.Trailer = nil // Nothing reads trailers.
	if err != nil {
		b.response.Header().Set("Connection", "close")
		return nil, err
	}
	if !b.connection.Serve() {
		return nil, errors.New("the connection was closed")
	}
	return body, errors.Trace(controller.SetReadDeadline(time.Time{}))
}
