package placement

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// Large fleets are split into cells: VMs place streams on the servers of their own cell
// and tell only the VMs of that cell of their work. Without cells each placement is told
// to every VM, and the messages grow with the square of the fleet. 91 VMs and 144 servers
// make three cells of 30 VMs and 48 servers, with servers of each failure domain in each.

// cellSize is about how many VMs a cell has. Cells of 11 place streams worse than one
// cell of 91 in simulation, those of 30 do not; see docs/DECISIONS.md 14.
const cellSize = 32

// CellCount is the number of cells for so many VMs; fleets below 48 VMs are one.
func CellCount(vms int) int {
	return max(1, (vms+cellSize/2)/cellSize)
}

// Cells assigns the members of a group, such as the servers of a service in one failure
// domain, evenly to so many cells. VMs with the same lists agree. Members are ranked by a
// hash, so that one that comes or goes moves at most one other between two cells.
func Cells(group []string, count int) map[string]int {
	hashes := make(map[string]uint64, len(group))
	for _, member := range group {
		hashes[member] = Hash(member)
	}
	ranked := slices.SortedFunc(maps.Keys(hashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
	cells := make(map[string]int, len(ranked))
	for rank, member := range ranked {
		cells[member] = CellOf(rank, len(ranked), count)
	}
	return cells
}

// CellOf is the cell of the member with this rank among the members of a group.
func CellOf(rank, members, count int) int {
	return rank * count / members
}

// Hash is the same on all VMs and processes.
func Hash(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // A hash never fails to write.
	// The last bytes of addresses differ most and FNV mixes them least.
	return Mix(hash.Sum64())
}

// Mix spreads a number over all bits (the finalizer of MurmurHash3 without its last step).
func Mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
