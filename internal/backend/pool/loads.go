package pool

import (
	"slices"
	"strings"
	"time"
)

const (
	// LoadReportInterval is the longest pause between two messages about a VM's work, and
	// LoadsSeldom the same in a fleet of several cells.
	LoadReportInterval        = 1200 * time.Millisecond
	LoadReportIntervalInCells = 3 * time.Second
	// peerLoadLife is how long what a peer told of its work counts: one message may be
	// lost. What a VM told that went down is forgotten at once.
	peerLoadLife = 2*LoadReportIntervalInCells + time.Second
)

// Load is the work that one VM has on a server.
type Load struct {
	ServerID      string `cbor:"1,keyasint"`
	PendingTokens int    `cbor:"2,keyasint,omitempty"`
	Running       int    `cbor:"3,keyasint,omitempty"`
	MemoryTokens  int    `cbor:"4,keyasint,omitempty"`
}

type peerLoads struct {
	loads      []Load
	validUntil time.Time
}

// MergePeerLoads takes in what a peer has on the servers.
func (p *Pool) MergePeerLoads(peer string, loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetPeer(peer)
	p.peers[peer] = peerLoads{loads: loads, validUntil: p.options.Now().Add(peerLoadLife)}
	for _, load := range loads {
		p.addOthers(load, 1)
	}
}

// ForgetPeers drops what VMs told that went down.
func (p *Pool) ForgetPeers(peers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range peers {
		p.forgetPeer(peer)
	}
}

// forgetPeer drops what a peer told. Called with the lock held.
func (p *Pool) forgetPeer(peer string) {
	for _, load := range p.peers[peer].loads {
		p.addOthers(load, -1)
	}
	delete(p.peers, peer)
}

// addOthers adds to the sums of the peers' work, or takes away from them.
func (p *Pool) addOthers(load Load, sign int) {
	sum := p.others[load.ServerID]
	sum.PendingTokens += sign * load.PendingTokens
	sum.Running += sign * load.Running
	sum.MemoryTokens += sign * load.MemoryTokens
	p.others[load.ServerID] = sum
	if sum == (Load{}) {
		delete(p.others, load.ServerID)
	}
}

// forgetSilentPeers drops what was told too long ago. Called with the lock held.
func (p *Pool) forgetSilentPeers(now time.Time) {
	for peer, told := range p.peers {
		if now.After(told.validUntil) {
			p.forgetPeer(peer)
		}
	}
}

// Loads lists the stream work of this VM, by the servers' IDs.
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
	load := Load{MemoryTokens: s.copies}
	for lease := range s.leases {
		if !lease.stream {
			continue
		}
		load.MemoryTokens += lease.need.Tokens()
		if lease.started {
			load.Running++
		} else {
			load.PendingTokens += lease.need.PromptTokens
		}
	}
	return load
}
