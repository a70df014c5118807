package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

func (c *Criteria) isIsolated() bool {
	return c.Suspicion >= isolationThreshold
}

// assigned returns the servers that an isolated request may be sent to, the preferred one first; for
// other requests, all of them.
//
// The suspects choose in turn, the likeliest cause of crashes first, each the server of the highest
// weight (rendezvous hashing) among those that are left. So VMs that know the same suspects and
// crashes never send two suspects to one server, whichever servers they exclude, requests with one
// content share a server, and each suspect has as many servers as the others, but for one.
func assigned(servers []*server, criteria Criteria) []*server {
	if !criteria.isIsolated() {
		return servers
	}
	suspects := criteria.Suspects
	if !slices.Contains(suspects, criteria.Content) {
		suspects = append(slices.Clone(suspects), criteria.Content)
	}
	if criteria.Isolation == FromSuspectsOfThisVM {
		suspects = []string{criteria.Content}
	}
	choices := map[string][]*server{}
	for _, content := range suspects {
		choices[content] = byPreference(servers, content, criteria.Crashed)
	}
	taken := map[*server]bool{}
	own := []*server{}
	for turn := range servers {
		content := suspects[turn%len(suspects)]
		chosen := slices.IndexFunc(choices[content], func(s *server) bool { return !taken[s] })
		s := choices[content][chosen]
		choices[content] = choices[content][chosen+1:]
		taken[s] = true
		if content == criteria.Content {
			own = append(own, s)
		}
	}
	return own
}

// byPreference returns the servers in the order in which a suspect chooses them: those that did not
// crash lately first, and of these the ones of the highest weight.
func byPreference(servers []*server, content string, crashed []string) []*server {
	rank := func(s *server) int {
		if slices.Contains(crashed, s.Name) {
			return 1
		}
		return 0
	}
	return slices.SortedFunc(slices.Values(servers), func(a, b *server) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(weight(b.Name, content), weight(a.Name, content)), cmp.Compare(a.Name, b.Name))
	})
}

func weight(server, content string) uint64 {
	return xxhash.Sum64String(server + "\x00" + content)
}
