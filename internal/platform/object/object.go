// Package object is a client of the platform's object store. Every object is
// immutable and named by its content hash or a unique ID, so that a write can be
// retried safely.
//
// # Usage
//
//	client := object.New(baseURL, httpClient)
//	err := client.Put(ctx, "config/content/"+hash, body)
//	body, err := client.Get(ctx, "config/content/"+hash)
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"
)

// MaxObjectBytes bounds how much of an object is read.
const MaxObjectBytes = 16 << 20

// Client is a client of one object store.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

// New makes a client for the store at baseURL.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{BaseURL: baseURL, HTTP: httpClient}
}

// Put writes an object. It is idempotent.
func (c *Client) Put(ctx context.Context, name string, body []byte) (err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodPut, c.url(name), bytes.NewReader(body)); err != nil {
		return errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(request); err != nil {
		return errors.Annotatef(err, "storing %s", name)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("storing %s: %s", name, response.Status)
	}
	return nil
}

// Get reads an object. If it does not exist, the error satisfies errors.NotFound.
func (c *Client) Get(ctx context.Context, name string) (body []byte, err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, c.url(name), nil); err != nil {
		return nil, errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(request); err != nil {
		return nil, errors.Annotatef(err, "reading %s", name)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errors.NotFoundf("object %s", name)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("reading %s: %s", name, response.Status)
	}
	if body, err = io.ReadAll(io.LimitReader(response.Body, MaxObjectBytes)); err != nil {
		return nil, errors.Annotatef(err, "reading %s", name)
	}
	return body, nil
}

func (c *Client) url(name string) string {
	return c.BaseURL + "/objects/" + url.PathEscape(name)
}
