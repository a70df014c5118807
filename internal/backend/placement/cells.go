package placement

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// Large fleets are split into cells: VMs place streams on the servers of their own cell
// and report their load to the VMs of that cell only. Without cells each placement is
// reported to every VM, and the number of messages grows with the square of the fleet. 91
// VMs and 144 servers make three cells of 30 VMs and 48 servers, with servers of each
// failure domain in each.

// cellSize is the approximate number of VMs in a cell. In simulation, cells of 11 place
// streams worse than one cell of 91, and those of 30 do not; see docs/DECISIONS.md 14.
const cellSize = 32

// CellCount returns the number of cells for a number of VMs. Fleets below 48 VMs have
// one.
func CellCount(vms int) int {
	return max(1, (vms+cellSize/2)/cellSize)
}

// Cells distributes the members of a group, such as the servers of a service in one
// failure domain, evenly among count cells. VMs with the same lists get the same result.
// Members are ranked by a hash, so that adding or removing one moves at most one other
// member between any two cells.
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

// CellOf returns the cell of the member with this rank among the members of a group.
func CellOf(rank, members, count int) int {
	return rank * count / members
}

// Hash returns a hash that is the same on all VMs and in all processes.
func Hash(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // Writing to a hash never fails.
	// Addresses differ mostly in their last bytes, which FNV mixes least.
	return Mix(hash.Sum64())
}

// Mix spreads a number over all bits (the finalizer of MurmurHash3 without its last
// step).
func Mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	return sum ^ sum>>33
}
