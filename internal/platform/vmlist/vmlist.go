// Package vmlist is a client of the platform's list of VMs. The list lags: a VM that
// is removed may still be listed, and a new one not yet.
//
// # Usage
//
//	vms, err := vmlist.New(baseURL, httpClient).List(ctx)
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// State is the state of a VM in the platform's list.
type State string

const (
	// StateLive VMs are in use.
	StateLive State = "live"
	// StateLeaving VMs are about to be removed.
	StateLeaving State = "leaving"
)

// VM is one entry of the list. CallerAddress and PeerAddress are HOST:PORT
// with IP numbers.
type VM struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
	State         State  `json:"state"`
}

// Client is a client of one platform.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

// New makes a client for the platform at baseURL.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{BaseURL: baseURL, HTTP: httpClient}
}

// maxListBytes bounds the list: some hundred bytes for each of 10,000 VMs.
const maxListBytes = 4 << 20

// List returns every listed VM.
func (c *Client) List(ctx context.Context) (vms []VM, err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+"/vms", nil); err != nil {
		return nil, errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(request); err != nil {
		return nil, errors.Annotate(err, "reading the VM list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("reading the VM list: %s", response.Status)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, errors.Annotate(err, "decoding the VM list")
	}
	return vms, nil
}
