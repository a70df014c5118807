package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/http1"
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/reach"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/node/rescue"
	"github.com/endivespoke/endivespoke/internal/peer/spread"
	"github.com/endivespoke/endivespoke/internal/peer/tunnel"
)

const (
	// peerTimeout bounds the opening of a connection through one peer, and maxPeers the peers that
	// are asked in turn: some may be lost, or partitioned too.
	peerTimeout = 120 * time.Millisecond
	maxPeers    = 3
	// probeCheckInterval is how often it is checked whether servers are to be probed.
	probeCheckInterval = 100 * time.Millisecond
	// silenceLimit is the time without any data from all servers after which some are probed, while
	// requests wait. maxProbes bounds the servers that are probed until one is reached.
	silenceLimit = 400 * time.Millisecond
	maxProbes    = 3
	probeTimeout = 250 * time.Millisecond
	// maxOtherServers bounds the servers that are dialled to find out whether a failed dial is this VM's fault.
	maxOtherServers = 2
	// returnInterval is the interval of probes while this VM is partitioned.
	returnInterval = 500 * time.Millisecond
	// tunnelsFraction of the memory and of the descriptors is for connections that other VMs have
	// through this one. Each takes tunnelBytes and tunnelDescriptors.
	tunnelsFraction   = 0.05
	tunnelBytes       = 48 << 10
	tunnelDescriptors = 2
)

func (v *VM) newReach() *reach.Dialer {
	direct := v.options.DialServer
	if direct == nil {
		direct = http1.Dial
	}
	return reach.New(reach.Options{Direct: direct, Through: v.dialThroughPeer, Others: v.otherServers, Now: v.Now, OnChange: v.reachChanged})
}

// dialThroughPeer opens a connection to a server through one of the VMs that reach servers.
func (v *VM) dialThroughPeer(ctx context.Context, address string) (connection net.Conn, err error) {
	snapshot := v.spread.Snapshot()
	peers := slices.DeleteFunc(slices.Clone(snapshot.Live), func(m spread.Member) bool {
		return m.ID == snapshot.Self.ID || m.Leaving || m.ServersUnreachable
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	unreached := errors.Trace(tunnel.ErrUnavailable)
	for _, peer := range peers[:min(maxPeers, len(peers))] {
		peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		connection, err = tunnel.Dial(peerCtx, http1.Dial, peer.PeerAddress, address)
		cancel()
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
			return connection, err
		}
		if errors.Is(unreached, tunnel.ErrUnavailable) {
			unreached = err // Any other error tells of the server.
		}
	}
	return nil, unreached
}

func (v *VM) isLeavingPeer(address string) bool {
	return slices.ContainsFunc(v.spread.Snapshot().Live, func(m spread.Member) bool { return m.PeerAddress == address && m.Leaving })
}

// otherServers returns the addresses of a few random servers but for the one at an address.
func (v *VM) otherServers(address string) []string {
	servers := slices.DeleteFunc(slices.Clone(v.spread.Snapshot().Servers), func(s pool.Server) bool { return s.Address == address })
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	addresses := []string{}
	for _, server := range servers[:min(maxOtherServers, len(servers))] {
		addresses = append(addresses, server.Address)
	}
	return addresses
}

// newTunnels lets other VMs reach servers through this one.
func (v *VM) newTunnels() *tunnel.Handler {
	settings := v.settings.Load()
	limit := tunnelsFraction * float64(settings.MemoryBytes) / tunnelBytes
	if settings.MaxDescriptors > 0 {
		limit = min(limit, tunnelsFraction*float64(settings.MaxDescriptors)/tunnelDescriptors)
	}
	return &tunnel.Handler{
		IsAllowed: func(address string) bool {
			return slices.ContainsFunc(v.spread.Snapshot().Servers, func(s pool.Server) bool { return s.Address == address })
		},
		Dial:       v.reach.DialForPeer,
		MaxTunnels: int64(max(limit, 1)),
		OnOpen:     func(string) { v.counters.tunnelled() },
	}
}

// reachChanged announces to the peers whether this VM reaches servers. If its connections hang, those of
// before are closed: what waits on them goes on elsewhere.
func (v *VM) reachChanged(change reach.Change) {
	rescue.Go(v.logger, "change of the reach", func() {
		v.spread.SetSelf(v.stopContext, func(self *spread.Member) { self.ServersUnreachable = v.reach.IsPartitioned() })
	})
	if !change.Partitioned {
		event.ServersReachable.Info(v.logger)
		return
	}
	closed := 0
	if change.Silent {
		closed = v.connections.CloseSilent(change.Since)
	}
	event.ServersUnreachable.Warn(v.logger, "silent", change.Silent, "closed", closed, "forMillis", v.Now().Sub(change.Since).Milliseconds())
}

// probeServers finds out whether this VM is partitioned from the servers while none is heard from or one was reached
// through a peer only, and whether it still is.
func (v *VM) probeServers(ctx context.Context) {
	now := v.Now()
	isPartitioned := v.reach.IsPartitioned()
	interval, probes := silenceLimit, maxProbes
	if isPartitioned {
		interval, probes = returnInterval, 1
	}
	silentSince := now.Add(-silenceLimit)
	isDue := isPartitioned || v.reach.IsSuspected() || (v.reach.ReachedAt().Before(silentSince) && v.connections.IsSilent(silentSince))
	if !isDue || now.Before(v.probedAt.Add(interval)) {
		return
	}
	v.probedAt = now
	servers := slices.Clone(v.spread.Snapshot().Servers)
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for _, server := range servers[:min(probes, len(servers))] {
		if v.probe(ctx, server.Address) {
			return
		}
	}
}

func (v *VM) probe(ctx context.Context, address string) (reached bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return v.reach.Probe(ctx, address)
}
