package demo

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/endivespoke/endivespoke/internal/lab/enginefake"
	"github.com/endivespoke/endivespoke/internal/lab/platformfake"
)

// stats returns the engine's statistics, summed over its processes.
func (e *Engine) stats() (stats enginefake.Stats) {
	if !e.killed {
		body, err := get("http://" + e.listenAddress + "/load")
		if err == nil && json.Unmarshal(body, &stats) != nil {
			stats = enginefake.Stats{} // An invalid answer counts as zero.
		}
	}
	stats.Generated += e.previousStats.Generated
	stats.Prefilled += e.previousStats.Prefilled
	stats.CacheHits += e.previousStats.CacheHits
	stats.Requests += e.previousStats.Requests
	stats.Resumes += e.previousStats.Resumes
	return stats
}

// EngineExited reports whether an engine's process has ended.
func (s *System) EngineExited(index int) bool {
	select {
	case <-s.Engines[index].process.done:
		return true
	default:
		return false
	}
}

// EngineStats sums the statistics of all engines, including killed ones.
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

// VMUsage returns the resource usage of a VM's process.
func (s *System) VMUsage(index int) Usage {
	return s.VMs[index].process.usage()
}

// PeerBytesSent returns how many bytes a VM has sent to its peers.
func (s *System) PeerBytesSent(index int) (sent float64) {
	body, err := get("http://" + s.VMs[index].OperatorAddress + "/metrics")
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

// readiness queries a VM's readiness endpoint. A VM that does not answer counts
// as not ready.
func (s *System) readiness(vm *VM) (state readiness) {
	response, err := httpClient.Get("http://" + vm.OperatorAddress + "/readyz")
	if err != nil {
		return readiness{}
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return readiness{}
	}
	return state
}

// Revision returns the configuration revision in force on a VM.
func (s *System) Revision(vm *VM) uint64 {
	return s.readiness(vm).Revision
}

// AcceptsRequests reports whether a VM accepts new requests.
func (s *System) AcceptsRequests(vm *VM) bool {
	return s.readiness(vm).Ready
}

// EngineRequests returns the number of generations started on an engine.
func (s *System) EngineRequests(index int) int {
	return s.Engines[index].stats().Requests
}

// PlatformCounts returns the number of calls that the platform has received.
func (s *System) PlatformCounts() (counts platformfake.Counts) {
	body, err := get(s.PlatformURL + "/counts")
	if err != nil || json.Unmarshal(body, &counts) != nil {
		return platformfake.Counts{}
	}
	return counts
}

// HeadReads returns how often the head of the configuration history was read.
func (s *System) HeadReads() int {
	return s.PlatformCounts().HeadReads
}

// readiness is the body of a VM's answer at /readyz.
type readiness struct {
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
}
