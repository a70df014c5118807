// Package service calls plain HTTP services, as opposed to engines.
//
// # Usage
//
//	client := service.New(httpClient)
//	reply, err := client.Call(ctx, address, service.Call{Method: "POST", Path: "/bookings", Body: body, Key: key})
//	if errors.Is(err, service.ErrNotSent) { ... } // No byte was sent: another server may be tried.
//	if errors.Is(err, service.ErrOutcomeUnknown) { ... } // The call may have run.
package service

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/caller"
	"github.com/endivespoke/endivespoke/internal/node/trace"
)

const (
	// ErrNotSent means that the server has not received the call.
	ErrNotSent = errors.ConstError("call was not sent")
	// ErrOutcomeUnknown means that the server may have run the call.
	ErrOutcomeUnknown = errors.ConstError("call has no answer")
)

// MaxReplyBytes bounds a service's answer.
const MaxReplyBytes = 4 << 20

// dialTimeout bounds the check of a server after an answer whose end is not marked.
const dialTimeout = 500 * time.Millisecond

// Call is one call of a service. Key, when set, is sent as Idempotency-Key.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Key         string
}

// Reply is the complete answer of a service.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls services. Its HTTP client must open a connection for each call: an idle
// one may have been lost unnoticed, and the outcome of a call sent on it would be
// unknown.
//
// Memory, if set, limits the answers of all calls together; that of a call counts until its context
// ends.
type Client struct {
	HTTP   *http.Client
	Memory *caller.Bodies
}

// New returns a client that uses the HTTP client.
func New(httpClient *http.Client) *Client {
	return &Client{HTTP: httpClient}
}

// Call makes one call and reads the complete answer.
func (c *Client) Call(ctx context.Context, address string, call Call) (reply Reply, err error) {
	target := "http://" + address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body)); err != nil {
		return Reply{}, errors.Annotatef(ErrNotSent, "%v", err)
	}
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	trace.Outgoing(request)
	written := make(chan error, 1)
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default: // Sent again; the first write counts.
			}
		},
	}))
	var response *http.Response
	client := *c.HTTP
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse } // The call may have run.
	if response, err = client.Do(request); err != nil {
		return Reply{}, classify(err)
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK {
		return Reply{}, errors.Annotatef(ErrOutcomeUnknown, "status %d is none of an answer", response.StatusCode)
	}
	memory := c.Memory
	if memory == nil {
		memory = caller.NewBodies(math.MaxInt64)
	}
	body, release, err := memory.Read(response.Body, MaxReplyBytes)
	context.AfterFunc(ctx, release)
	if err != nil {
		release()
		return Reply{}, errors.Annotatef(ErrOutcomeUnknown, "%v", err)
	}
	reply.Body = body
	isUnmarked := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	switch {
	case isUnmarked && !isWritten(written):
		return Reply{}, errors.Annotate(ErrOutcomeUnknown, "the connection ended while the request was sent, and nothing else marks the end of the answer")
	case isUnmarked && !isUp(ctx, address):
		return Reply{}, errors.Annotate(ErrOutcomeUnknown, "server is down since its answer, whose end is not marked")
	}
	reply.Status = response.StatusCode
	reply.ContentType = response.Header.Get("Content-Type")
	return reply, nil
}

// uploadEndTime is how long after the end of its connection the write of a request may take to return.
const uploadEndTime = 100 * time.Millisecond

// isWritten reports whether the whole request was written. If the write got the error of a connection that was
// reset, a body that ends with the connection seems complete.
func isWritten(written <-chan error) bool {
	limit := time.NewTimer(uploadEndTime)
	defer limit.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-limit.C:
		return false
	}
}

// isUp reports whether a server accepts connections. One that does not may have terminated in the
// middle of an answer without a length or chunks, which ends with its connection either way.
func isUp(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close() // Nothing was sent on it.
	return true
}

func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Annotatef(ErrNotSent, "%v", err)
	}
	return errors.Annotatef(ErrOutcomeUnknown, "%v", err)
}
