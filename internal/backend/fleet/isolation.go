package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// isAssignedTo reports whether the server is the request's among the suspects of all VMs. Each
// server is assigned to one content by highest random weight (rendezvous hashing), so VMs that
// know the same suspects never send two of them to one server, whichever servers they exclude.
func (s *server) isAssignedTo(criteria Criteria) bool {
	own := weight(s.Name, criteria.Content)
	for _, content := range criteria.Suspects {
		if content != criteria.Content && weight(s.Name, content) >= own {
			return false
		}
	}
	return true
}

// chooseForSuspect returns the server of the highest weight, so that requests with one content at
// several VMs share a server: if they crash it, it is one server.
func chooseForSuspect(candidates []*server, content string) *server {
	return slices.MaxFunc(candidates, func(a, b *server) int {
		return cmp.Compare(weight(a.Name, content), weight(b.Name, content))
	})
}

func weight(server, content string) uint64 {
	return xxhash.Sum64String(server + "\x00" + content)
}
