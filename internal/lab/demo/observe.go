package demo

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
)

// stats gives the work that the engine has done, in all its processes.
func (e *Engine) stats() (stats enginefake.Stats) {
	if !e.dead {
		body, err := get("http://" + e.listen + "/load")
		if err == nil && json.Unmarshal(body, &stats) != nil {
			stats = enginefake.Stats{} // A garbled answer counts as none.
		}
	}
	stats.Generated += e.last.Generated
	stats.Prefilled += e.last.Prefilled
	stats.CacheHits += e.last.CacheHits
	stats.Requests += e.last.Requests
	stats.Resumes += e.last.Resumes
	return stats
}

// EngineDied reports whether an engine's process has ended.
func (s *System) EngineDied(index int) bool {
	select {
	case <-s.Engines[index].process.done:
		return true
	default:
		return false
	}
}

// EngineStats adds up the work of all engines, that of killed ones included.
func (s *System) EngineStats() (sum enginefake.Stats) {
	for _, engine := range s.Engines {
		stats := engine.stats()
		sum.Generated += stats.Generated
		sum.Prefilled += stats.Prefilled
		sum.CacheHits += stats.CacheHits
		sum.Requests += stats.Requests
		sum.Resumes += stats.Resumes
	}
	return sum
}

// VMUsage gives what a VM's process has used.
func (s *System) VMUsage(index int) Usage {
	return s.VMs[index].process.usage()
}

// PeerBytes gives how many bytes a VM has sent to its peers.
func (s *System) PeerBytes(index int) (sent float64) {
	body, err := get("http://" + s.VMs[index].Operator + "/metrics")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, found := strings.CutPrefix(line, "endivespoke_peer_sent_bytes "); found {
			if _, err := fmt.Sscan(value, &sent); err != nil {
				return 0
			}
		}
	}
	return sent
}

// readiness asks a VM. One that does not answer is not ready.
func (s *System) readiness(vm *VM) (state readiness) {
	response, err := caller.Get("http://" + vm.Operator + "/readyz")
	if err != nil {
		return readiness{}
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return readiness{}
	}
	return state
}

// Revision gives the revision in force on a VM.
func (s *System) Revision(vm *VM) uint64 {
	return s.readiness(vm).Revision
}

// Accepts reports whether a VM takes new requests.
func (s *System) Accepts(vm *VM) bool {
	return s.readiness(vm).Ready
}

// EngineRequests counts the generations that were started on an engine.
func (s *System) EngineRequests(index int) int {
	return s.Engines[index].stats().Requests
}

// PlatformCounts gives how often the platform was used so far.
func (s *System) PlatformCounts() (counts platformfake.Counts) {
	body, err := get(s.Platform + "/counts")
	if err != nil || json.Unmarshal(body, &counts) != nil {
		return platformfake.Counts{}
	}
	return counts
}

// HeadReads counts how often the head of the configurations was read.
func (s *System) HeadReads() int {
	return s.PlatformCounts().HeadReads
}

// readiness is a VM's own word on whether it takes requests.
type readiness struct {
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
}
