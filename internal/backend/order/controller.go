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
	// CheckInterval is the time between two looks at a server.
	CheckInterval = 2 * time.Second
	// lookLimit bounds one look.
	lookLimit = time.Second
	// tableLimit bounds one call of the table.
	tableLimit = time.Second
)

// Options shapes a Controller. Servers gives those that this VM looks after, as
// published now. HolderDown tells whether a VM is known to be down. BeforeSend,
// when set, is called between the look at the clock and the sending, for tests
// of a pause just there; BeforeCheck right before that look.
type Options struct {
	Self        string
	Table       *table.Client
	Engines     *engine.Client
	Servers     func() []object.BackendServer
	LoadsLimit  func() int
	HolderDown  func(vm string) bool
	Logger      hclog.Logger
	Now         func() time.Time
	BeforeCheck func()
	BeforeSend  func()
}

// Controller looks after some backend servers.
type Controller struct {
	options Options
}

// New makes a controller.
func New(options Options) *Controller {
	return &Controller{options: options}
}

// CheckAll looks at each of this VM's servers. It is to be called every
// LookEvery.
func (c *Controller) CheckAll(ctx context.Context) {
	for _, server := range c.options.Servers() {
		if err := c.Check(ctx, server); err != nil {
			event.OrderFailed.Info(c.options.Logger, "server", server.Name, "error", err)
		}
	}
}

// Plan lists the orders that bring a server from what it has to what is wanted:
// loads first, so that a version is never missing between, and no unload of a
// version that still runs something.
func Plan(wanted []string, has []engine.LoadedModel) []engine.Order {
	orders := []engine.Order{}
	loaded := map[string]engine.LoadedModel{}
	for _, model := range has {
		loaded[model.ID] = model
	}
	needed := map[string]bool{}
	for _, model := range wanted {
		needed[model] = true
		if _, found := loaded[model]; !found {
			orders = append(orders, engine.Order{Action: engine.LoadModel, Model: model})
		}
	}
	for _, model := range has {
		if !needed[model.ID] && model.Running == 0 {
			orders = append(orders, engine.Order{Action: engine.UnloadModel, Model: model.ID})
		}
	}
	return orders
}

// Check compares a server with its published state, and gives it the orders that
// are needed if this VM gets the lease.
func (c *Controller) Check(ctx context.Context, server object.BackendServer) (err error) {
	lookCtx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	var has []engine.LoadedModel
	if has, err = c.options.Engines.LoadedModels(lookCtx, server.Address); err != nil {
		return errors.Trace(err)
	}
	orders := Plan(server.Versions, has)
	if len(orders) == 0 {
		return nil
	}
	var lease Lease
	var version string
	if lease, version, err = c.take(ctx, server); err != nil {
		return errors.Trace(err)
	}
	for _, wanted := range orders {
		if err = c.give(ctx, server, lease, wanted); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(c.release(ctx, server, lease, version))
}

// take writes the lease. A reply that was lost counts as not taken: the number
// is then skipped, which is harmless.
func (c *Controller) take(ctx context.Context, server object.BackendServer) (lease Lease, version string, err error) {
	ctx, cancel := context.WithTimeout(ctx, tableLimit)
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

// give sends one order, if there is still time for it under the lease.
func (c *Controller) give(ctx context.Context, server object.BackendServer, lease Lease, wanted engine.Order) (err error) {
	if wanted.Action == engine.LoadModel {
		if err = c.enterWeightStore(ctx, server.Name); err != nil {
			return errors.Trace(err)
		}
		defer c.leaveWeightStore(server.Name)
	}
	call(c.options.BeforeCheck)
	if !lease.MaySend(c.options.Now()) {
		return errors.Errorf("the lease %d has no time left for an order", lease.Number)
	}
	call(c.options.BeforeSend)
	wanted.FencingNumber = lease.Number
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
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
	ctx, cancel := context.WithTimeout(ctx, tableLimit)
	defer cancel()
	_, err = c.options.Table.Write(ctx, LeaseKey(server.Name), version, body)
	return errors.Trace(err)
}

// enterWeightStore takes one of the few places for reading weights.
func (c *Controller) enterWeightStore(ctx context.Context, server string) error {
	return c.changeLoads(ctx, func(loads WeightLoads) (WeightLoads, bool) {
		return loads.Enter(server, c.options.LoadsLimit(), c.options.Now())
	})
}

// leaveWeightStore gives the place back; one that can't be given back lapses.
func (c *Controller) leaveWeightStore(server string) {
	err := c.changeLoads(context.Background(), func(loads WeightLoads) (WeightLoads, bool) {
		return loads.Leave(server), true
	})
	if err != nil {
		event.OrderFailed.Info(c.options.Logger, "server", server, "error", err)
	}
}

// changeLoads changes the row of places, and tries again when another VM was
// faster.
func (c *Controller) changeLoads(ctx context.Context, change func(WeightLoads) (WeightLoads, bool)) (err error) {
	ctx, cancel := context.WithTimeout(ctx, tableLimit)
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
