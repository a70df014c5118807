package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/engine"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/platform/table"
)

const (
	// CheckInterval is the interval between two checks of a server.
	CheckInterval = 2 * time.Second
	// checkTimeout bounds the request for a server's loaded models.
	checkTimeout = time.Second
	// tableTimeout bounds one call to the table service.
	tableTimeout = time.Second
)

// Options configures a Controller. Servers returns the servers that this VM manages, as
// currently published. HolderDown reports whether a VM is known to be down.
// BeforeClockCheck and BeforeSend, when set, are called right before the lease's
// remaining time is checked, and between that check and the sending of the order; tests
// use them to pause there.
type Options struct {
	Self             string
	Table            *table.Client
	Engines          *engine.Client
	Servers          func() []object.BackendServer
	LoadsLimit       func() int
	HolderDown       func(vm string) bool
	Logger           hclog.Logger
	Now              func() time.Time
	BeforeClockCheck func()
	BeforeSend       func()
}

// Controller brings some backend servers to their published state.
type Controller struct {
	options Options
}

// New returns a controller.
func New(options Options) *Controller {
	return &Controller{options: options}
}

// CheckAll checks each of this VM's servers. It is to be called every CheckInterval.
func (c *Controller) CheckAll(ctx context.Context) {
	for _, server := range c.options.Servers() {
		if err := c.Check(ctx, server); err != nil {
			event.OrderFailed.Info(c.options.Logger, "server", server.Name, "error", err)
		}
	}
}

// Plan lists the orders that bring a server from its loaded models to the wanted ones:
// loads first, so that no version is missing in between, and no unload of a version that
// still runs something.
func Plan(wanted []string, reported []engine.LoadedModel) []engine.Order {
	orders := []engine.Order{}
	loaded := map[string]engine.LoadedModel{}
	for _, model := range reported {
		loaded[model.ID] = model
	}
	needed := map[string]bool{}
	for _, model := range wanted {
		needed[model] = true
		if _, found := loaded[model]; !found {
			orders = append(orders, engine.Order{Action: engine.LoadModel, Model: model})
		}
	}
	for _, model := range reported {
		if !needed[model.ID] && model.Running == 0 {
			orders = append(orders, engine.Order{Action: engine.UnloadModel, Model: model.ID})
		}
	}
	return orders
}

// Check compares a server with its published state, and sends it the orders that are
// needed if this VM acquires the lease.
func (c *Controller) Check(ctx context.Context, server object.BackendServer) (err error) {
	checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var reported []engine.LoadedModel
	if reported, err = c.options.Engines.LoadedModels(checkCtx, server.Address); err != nil {
		return errors.Trace(err)
	}
	orders := Plan(server.Versions, reported)
	if len(orders) == 0 {
		return nil
	}
	var lease Lease
	var version string
	if lease, version, err = c.acquire(ctx, server); err != nil {
		return errors.Trace(err)
	}
	for _, wanted := range orders {
		if err = c.send(ctx, server, lease, wanted); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(c.release(ctx, server, lease, version))
}

// acquire writes the lease. If the reply is lost, the lease counts as not acquired; its
// number is then skipped, which is harmless.
func (c *Controller) acquire(ctx context.Context, server object.BackendServer) (lease Lease, version string, err error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var row table.Row
	if row, err = c.options.Table.Get(ctx, LeaseKey(server.Name)); err != nil {
		return Lease{}, "", errors.Trace(err)
	}
	var current Lease
	if current, err = decodeLease(row.Value); err != nil {
		return Lease{}, "", errors.Trace(err)
	}
	next, ok := current.Acquire(c.options.Self, server.ChecksFencing, c.options.HolderDown(current.Holder), c.options.Now())
	if !ok {
		return Lease{}, "", errors.Errorf("%s holds the lease until %s", current.Holder, current.Until.Format(time.RFC3339))
	}
	var body []byte
	if body, err = json.Marshal(next); err != nil {
		return Lease{}, "", errors.Trace(err)
	}
	if version, err = c.options.Table.Write(ctx, LeaseKey(server.Name), row.Version, body); err != nil {
		return Lease{}, "", errors.Trace(err)
	}
	return next, version, nil
}

// send sends one order if the lease leaves enough time for it.
func (c *Controller) send(ctx context.Context, server object.BackendServer, lease Lease, wanted engine.Order) (err error) {
	if wanted.Action == engine.LoadModel {
		if err = c.acquireWeightSlot(ctx, server.Name); err != nil {
			return errors.Trace(err)
		}
		defer c.releaseWeightSlot(server.Name)
	}
	call(c.options.BeforeClockCheck)
	if !lease.MaySend(c.options.Now()) {
		return errors.Errorf("the lease %d has no time left for an order", lease.Number)
	}
	call(c.options.BeforeSend)
	wanted.FencingNumber = lease.Number
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err = c.options.Engines.SendOrder(ctx, server.Address, wanted); err != nil {
		return errors.Trace(err)
	}
	event.OrderGiven.Info(c.options.Logger, "server", server.Name, "action", wanted.Action, "model", wanted.Model, "number", lease.Number)
	return nil
}

func call(hook func()) {
	if hook != nil {
		hook()
	}
}

func (c *Controller) release(ctx context.Context, server object.BackendServer, lease Lease, version string) error {
	body, err := json.Marshal(lease.Released(c.options.Now()))
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err = c.options.Table.Write(ctx, LeaseKey(server.Name), version, body)
	return errors.Trace(err)
}

// acquireWeightSlot acquires one of the limited slots for reading weights.
func (c *Controller) acquireWeightSlot(ctx context.Context, server string) error {
	return c.updateLoads(ctx, func(loads WeightLoads) (WeightLoads, bool) {
		return loads.Acquire(server, c.options.LoadsLimit(), c.options.Now())
	})
}

// releaseWeightSlot releases the slot; one that can't be released expires.
func (c *Controller) releaseWeightSlot(server string) {
	err := c.updateLoads(context.Background(), func(loads WeightLoads) (WeightLoads, bool) {
		return loads.Release(server), true
	})
	if err != nil {
		event.OrderFailed.Info(c.options.Logger, "server", server, "error", err)
	}
}

// updateLoads updates the row of slots, and retries if another VM has updated it
// concurrently.
func (c *Controller) updateLoads(ctx context.Context, change func(WeightLoads) (WeightLoads, bool)) (err error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var row table.Row
		if row, err = c.options.Table.Get(ctx, WeightLoadsKey); err != nil {
			return errors.Trace(err)
		}
		var loads WeightLoads
		if len(row.Value) > 0 {
			if err = json.Unmarshal(row.Value, &loads); err != nil {
				return errors.Annotate(err, "row of weight loads is not readable")
			}
		}
		next, ok := change(loads)
		if !ok {
			return errors.New("too many servers read the weight store now")
		}
		var body []byte
		if body, err = json.Marshal(next); err != nil {
			return errors.Trace(err)
		}
		if _, err = c.options.Table.Write(ctx, WeightLoadsKey, row.Version, body); !errors.Is(err, table.ErrConflict) {
			return errors.Trace(err)
		}
	}
	return errors.Trace(ctx.Err())
}
