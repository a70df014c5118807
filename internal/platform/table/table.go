// Package table is a client of the platform's transactional table service, over
// HTTP with conditional requests (RFC 9110 section 13).
//
// # Usage
//
//	client := table.New(baseURL, httpClient)
//	row, err := client.Get(ctx, "config/head")
//	version, err := client.Write(ctx, "config/head", row.Version, value)
//	if errors.Is(err, table.ErrConflict) { ... }       // another writer was first; no effect
//	if errors.Is(err, table.ErrOutcomeUnknown) { ... } // read back before deciding
//
// A write whose reply is lost may have taken effect. The client never retries a
// write; the owner of the row reads it back and decides.
package table

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/juju/errors"
)

const (
	// ErrConflict means that the row's version is not the expected one and the write had no effect.
	ErrConflict = errors.ConstError("row was changed by another writer")
	// ErrOutcomeUnknown means that the write may or may not have taken effect.
	ErrOutcomeUnknown = errors.ConstError("outcome of the table write is not known")
	// ErrUnavailable means that the service could not be reached or refused the request; a write
	// had no effect.
	ErrUnavailable = errors.ConstError("table service is not available")
)

// MaxRowBytes bounds how much of a row is read.
const MaxRowBytes = 8 << 20

// Row is one row. A row that does not exist has an empty Version.
type Row struct {
	Key     string
	Version string
	Value   []byte
}

// Client is a client of one table service.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

// New makes a client for the service at baseURL, such as "http://10.0.0.1:7000".
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{BaseURL: baseURL, HTTP: httpClient}
}

// Get reads one row. A missing row is not an error.
func (c *Client) Get(ctx context.Context, key string) (row Row, err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, c.url(key), nil); err != nil {
		return Row{}, errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(request); err != nil {
		return Row{}, errors.Annotatef(ErrUnavailable, "reading %s: %v", key, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotFound:
		return Row{Key: key}, nil
	case http.StatusOK:
	default:
		return Row{}, errors.Annotatef(ErrUnavailable, "reading %s: %s", key, response.Status)
	}
	var value []byte
	if value, err = io.ReadAll(io.LimitReader(response.Body, MaxRowBytes)); err != nil {
		return Row{}, errors.Annotatef(ErrUnavailable, "reading %s: %v", key, err)
	}
	return Row{Key: key, Version: response.Header.Get("ETag"), Value: value}, nil
}

// Write replaces the row's value if its version is the expected one. An
// empty expected version creates the row and conflicts with an existing one.
// It returns the new version.
func (c *Client) Write(ctx context.Context, key, expected string, value []byte) (version string, err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodPut, c.url(key), bytes.NewReader(value)); err != nil {
		return "", errors.Trace(err)
	}
	if expected == "" {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", expected)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(request); err != nil {
		if neverSent(err) {
			return "", errors.Annotatef(ErrUnavailable, "writing %s: %v", key, err)
		}
		return "", errors.Annotatef(ErrOutcomeUnknown, "writing %s: %v", key, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return response.Header.Get("ETag"), nil
	case http.StatusPreconditionFailed:
		return "", errors.Annotatef(ErrConflict, "writing %s", key)
	case http.StatusTooManyRequests:
		return "", errors.Annotatef(ErrUnavailable, "writing %s: %s", key, response.Status)
	}
	return "", errors.Annotatef(ErrOutcomeUnknown, "writing %s: %s", key, response.Status)
}

func (c *Client) url(key string) string {
	return c.BaseURL + "/table/" + url.PathEscape(key)
}

// neverSent reports whether the error proves that no byte of the request was sent.
func neverSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op == "dial"
	}
	return false
}
