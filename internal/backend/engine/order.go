package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ErrFenced means that the server has seen an order with a later number.
const ErrFenced = errors.ConstError("order is fenced by a later one")

// Action is what an order does.
type Action string

const (
	// LoadModel makes the server ready for a model.
	LoadModel Action = "load"
	// UnloadModel frees what a model holds.
	UnloadModel Action = "unload"
)

// Order is one idempotent order. FencingNumber goes out in the header
// Fencing-Number, the time until which it may still take effect in
// Order-Deadline; servers that check neither ignore them.
type Order struct {
	Action        Action
	Model         string
	FencingNumber uint64
}

// orderBody is what an order's request carries.
type orderBody struct {
	Model string `json:"model"`
}

// LoadedModel is a model that a server has ready, with what it runs of it.
type LoadedModel struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
}

// LoadedModels asks a server what it has ready.
func (c *Client) LoadedModels(ctx context.Context, address string) (models []LoadedModel, err error) {
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/models", nil); err != nil {
		return nil, errors.Trace(err)
	}
	var response *http.Response
	if response, err = c.HTTP.Do(call); err != nil {
		return nil, classify(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Annotatef(ErrBusy, "%s", response.Status)
	}
	var list struct {
		Data []LoadedModel `json:"data"`
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&list); err != nil {
		return nil, errors.Annotate(err, "list of models is not JSON")
	}
	return list.Data, nil
}

// SendOrder sends one order and waits until it is carried out.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) (err error) {
	var body []byte
	if body, err = json.Marshal(orderBody{Model: order.Model}); err != nil {
		return errors.Trace(err)
	}
	var call *http.Request
	if call, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/models/"+string(order.Action), bytes.NewReader(body)); err != nil {
		return errors.Trace(err)
	}
	call.Header.Set("Fencing-Number", strconv.FormatUint(order.FencingNumber, 10))
	if deadline, ok := ctx.Deadline(); ok {
		call.Header.Set("Order-Deadline", deadline.UTC().Format(time.RFC3339Nano))
	}
	var response *http.Response
	if response, err = c.HTTP.Do(call); err != nil {
		return classify(err)
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusPreconditionFailed:
		return errors.Annotatef(ErrFenced, "number %d", order.FencingNumber)
	case response.StatusCode/100 != 2:
		return errors.Annotatef(ErrBusy, "order %s %s: %s", order.Action, order.Model, response.Status)
	}
	return nil
}
