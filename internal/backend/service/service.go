// Package service speaks to plain HTTP services beside the engines.
//
// # Usage
//
//	client := service.New(httpClient)
//	reply, err := client.Call(ctx, address, service.Call{Method: "POST", Path: "/bookings", Body: body, Key: key})
//	if errors.Is(err, service.ErrNeverSent) { ... } // no byte left: safe to try another server
//	if errors.Is(err, service.ErrNotKnown) { ... }  // it may have run
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/trace"
)

const (
	// ErrNotSent proves that the server did not see the call.
	ErrNotSent = errors.ConstError("call was not sent")
	// ErrOutcomeUnknown means that the server may have run the call.
	ErrOutcomeUnknown = errors.ConstError("call has no answer")
)

// MaxReplyBytes bounds a service's answer.
const MaxReplyBytes = 4 << 20

// Call is one call of a service. Key, when set, goes out as Idempotency-Key.
type Call struct {
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Key         string
}

// Reply is a service's whole answer.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls services. Its HTTP client must open a connection for each call:
// a kept one may have gone silent, and a call sent into it has no known end.
type Client struct {
	HTTP *http.Client
}

// New makes a client.
func New(httpClient *http.Client) *Client {
	return &Client{HTTP: httpClient}
}

// Call makes one call and reads the whole answer.
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
	var response *http.Response
	if response, err = c.HTTP.Do(request); err != nil {
		return Reply{}, classify(err)
	}
	defer response.Body.Close()
	if reply.Body, err = io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes)); err != nil {
		return Reply{}, errors.Annotatef(ErrOutcomeUnknown, "%v", err)
	}
	reply.Status = response.StatusCode
	reply.ContentType = response.Header.Get("Content-Type")
	return reply, nil
}

func classify(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Annotatef(ErrNotSent, "%v", err)
	}
	return errors.Annotatef(ErrOutcomeUnknown, "%v", err)
}
