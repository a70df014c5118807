package entry

import (
	"context"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// retiredVersion reports whether a version of a service is to keep no work, and returns the rule for
// what leaves it.
func (v *VM) retiredVersion(service, version string) (rule pool.VersionRule, retired bool) {
	keep, found := v.rollouts.Retiring(service)
	if !found || version == keep {
		return pool.VersionRule{}, false
	}
	return pool.VersionRule{Prefer: keep, AvoidOthers: true}, true
}

// sweepConnections closes idle connections whose timeout has expired, and those to servers of retired
// versions.
func (v *VM) sweepConnections(context.Context) {
	v.connections.Sweep()
	for _, state := range v.rollouts.States() {
		service := state.Order.Service
		keep, found := v.rollouts.Retiring(service)
		if !found {
			continue
		}
		for _, address := range v.servers.UnusedAddresses(service, pool.VersionRule{Prefer: keep, AvoidOthers: true}) {
			v.connections.CloseIdle(address)
		}
	}
}
