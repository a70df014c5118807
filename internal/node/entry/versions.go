package entry

import "context"

// sweepConnections closes idle connections whose timeout has expired, and those to unused servers of
// versions that keep no work.
func (v *VM) sweepConnections(context.Context) {
	v.connections.Sweep()
	for _, order := range v.rollouts.follower.Orders() {
		isRetired := func(version string) bool {
			_, retired := v.rollouts.follower.Retired(order.Service, version)
			return retired
		}
		for _, address := range v.servers.UnusedAddresses(order.Service, isRetired) {
			v.connections.CloseIdle(address)
		}
	}
}
