package pool

import (
	"slices"
	"strings"
	"time"
)

const (
	// LoadReportInterval is the longest interval between two reports of a VM's load to
	// its peers, and LoadReportIntervalInCells the same in a fleet of several cells.
	LoadReportInterval        = 1200 * time.Millisecond
	LoadReportIntervalInCells = 3 * time.Second
	// peerLoadTTL is how long a peer's load report counts, so that one lost report does
	// no harm. The reports of a VM that went down are dropped at once.
	peerLoadTTL = 2*LoadReportIntervalInCells + time.Second
)

// Load is the stream work that one VM has on a server.
type Load struct {
	ServerID      string `cbor:"1,keyasint"`
	PendingTokens int    `cbor:"2,keyasint,omitempty"`
	Running       int    `cbor:"3,keyasint,omitempty"`
	MemoryTokens  int    `cbor:"4,keyasint,omitempty"`
	// ReservedTokens is the part of MemoryTokens that waiting streams have reserved.
	ReservedTokens int `cbor:"5,keyasint,omitempty"`
	// Pending is the number of streams without a first event, whose prompts are PendingTokens.
	Pending int `cbor:"6,keyasint,omitempty"`
}

type peerLoads struct {
	loads      []Load
	validUntil time.Time
}

// MergePeerLoads replaces what is known of a peer's load on the servers.
func (p *Pool) MergePeerLoads(peer string, loads []Load) {
	defer p.options.OnHeadroom()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetPeer(peer)
	p.peers[peer] = peerLoads{loads: loads, validUntil: p.options.Now().Add(peerLoadTTL)}
	for _, load := range loads {
		p.addToPeerTotals(load, 1)
	}
}

// ForgetPeers drops the loads of VMs that went down.
func (p *Pool) ForgetPeers(peers []string) {
	defer p.options.OnHeadroom()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range peers {
		p.forgetPeer(peer)
	}
}

// forgetPeer drops the loads of a peer. Called with the lock held.
func (p *Pool) forgetPeer(peer string) {
	for _, load := range p.peers[peer].loads {
		p.addToPeerTotals(load, -1)
	}
	delete(p.peers, peer)
}

// addToPeerTotals adds a peer's load to the totals, or subtracts it if sign is -1.
func (p *Pool) addToPeerTotals(load Load, sign int) {
	sum := p.peerTotals[load.ServerID]
	sum.PendingTokens += sign * load.PendingTokens
	sum.Running += sign * load.Running
	sum.Pending += sign * load.Pending
	sum.MemoryTokens += sign * load.MemoryTokens
	sum.ReservedTokens += sign * load.ReservedTokens
	p.peerTotals[load.ServerID] = sum
	if sum == (Load{}) {
		delete(p.peerTotals, load.ServerID)
	}
}

// forgetExpiredPeers drops the loads of peers that sent no report within peerLoadTTL.
// Called with the lock held.
func (p *Pool) forgetExpiredPeers(now time.Time) {
	for peer, entry := range p.peers {
		if now.After(entry.validUntil) {
			p.forgetPeer(peer)
		}
	}
}

// Loads lists the stream work of this VM on each server, sorted by server ID.
func (p *Pool) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := []Load{}
	for id, s := range p.servers {
		load := s.load()
		if load != (Load{}) {
			load.ServerID = id
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.ServerID, b.ServerID) })
	return loads
}

func (s *server) load() Load {
	load := Load{MemoryTokens: s.copyTokens + s.reservedTokens, ReservedTokens: s.reservedTokens}
	for lease := range s.leases {
		if !lease.stream {
			continue
		}
		load.MemoryTokens += lease.demand.Tokens()
		if lease.started {
			load.Running++
		} else {
			load.Pending++
			load.PendingTokens += lease.demand.PromptTokens
		}
	}
	return load
}
