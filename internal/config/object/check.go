package object

import (
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"strings"
)

// Fault is one violation of a rule. Path identifies the field, for example
// "clientAccounts[2].priorities[0]".
type Fault struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

func (f Fault) String() string {
	return f.Path + ": " + f.Problem
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	softwareVersionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,62}$`)
)

// checker collects all faults of a set, so that an operator gets them in one
// answer. names has the names of each kind of object.
type checker struct {
	faults []Fault
	names  map[string]map[string]bool
}

// Check returns all violations of rules in the set, in the order of its objects. If
// there are none, the set may be published.
func Check(set Set) []Fault {
	c := &checker{names: map[string]map[string]bool{}}
	c.collectNames(set)
	c.profile(set.Profile)
	c.models(set)
	c.versions(set)
	c.priorities(set)
	c.accounts(set)
	c.operators(set)
	c.services(set)
	c.servers(set)
	if set.WeightStore.ConcurrentLoads < 0 {
		c.add("weightStore.concurrentLoads", "%d is below 0", set.WeightStore.ConcurrentLoads)
	}
	return c.faults
}

func (c *checker) add(path, format string, values ...any) {
	c.faults = append(c.faults, Fault{Path: path, Problem: fmt.Sprintf(format, values...)})
}

func (c *checker) collectNames(set Set) {
	for i, model := range set.Models {
		c.name("models", i, model.Name)
	}
	for i, version := range set.Versions {
		c.name("versions", i, version.Name)
	}
	for i, priority := range set.Priorities {
		c.name("priorities", i, priority.Name)
	}
	for i, account := range set.ClientAccounts {
		c.name("clientAccounts", i, account.Name)
	}
	for i, operator := range set.Operators {
		c.name("operators", i, operator.Name)
	}
	for i, service := range set.Services {
		c.name("services", i, service.Name)
	}
	for i, server := range set.BackendServers {
		c.name("backendServers", i, server.Name)
	}
}

func (c *checker) name(kind string, index int, name string) {
	path := fmt.Sprintf("%s[%d].name", kind, index)
	if !namePattern.MatchString(name) {
		c.add(path, "%q is not a name: use 1 to 63 of a-z, 0-9, '.' and '-', starting with a letter or digit", name)
		return
	}
	if c.names[kind] == nil {
		c.names[kind] = map[string]bool{}
	}
	if c.names[kind][name] {
		c.add(path, "%q is used twice", name)
	}
	c.names[kind][name] = true
}

// reference reports a reference to an object that does not exist.
func (c *checker) reference(path, kind, name string) {
	if !c.names[kind][name] {
		c.add(path, "no object named %q in %s", name, kind)
	}
}

func (c *checker) references(path, kind string, names []string) {
	for i, name := range names {
		c.reference(fmt.Sprintf("%s[%d]", path, i), kind, name)
	}
}

func (c *checker) profile(profile Profile) {
	switch profile {
	case ProfileUnset, ProfileResumeLatency, ProfileResourceUse:
	default:
		c.add("profile", "%q is not one of %q, %q", profile, ProfileResumeLatency, ProfileResourceUse)
	}
}

func (c *checker) models(set Set) {
	for i, model := range set.Models {
		path := fmt.Sprintf("models[%d].version", i)
		c.reference(path, "versions", model.Version)
		version, found := set.Version(model.Version)
		if found && version.Model != model.Name {
			c.add(path, "version %q belongs to model %q", model.Version, version.Model)
		}
	}
}

func (c *checker) versions(set Set) {
	for i, version := range set.Versions {
		c.reference(fmt.Sprintf("versions[%d].model", i), "models", version.Model)
		if version.EngineModel == "" {
			c.add(fmt.Sprintf("versions[%d].engineModel", i), "must not be empty")
		}
	}
}

func (c *checker) priorities(set Set) {
	for i, priority := range set.Priorities {
		if priority.Rank < 0 || priority.Rank > 100 {
			c.add(fmt.Sprintf("priorities[%d].rank", i), "%d is not within 0 to 100", priority.Rank)
		}
	}
}

func (c *checker) accounts(set Set) {
	owners := map[string]string{}
	for i, account := range set.ClientAccounts {
		path := fmt.Sprintf("clientAccounts[%d]", i)
		c.tokens(path, "client account "+account.Name, account.TokenHashes, owners)
		if len(account.Priorities) == 0 {
			c.add(path+".priorities", "needs at least one priority; the first is the account's default")
		}
		c.references(path+".priorities", "priorities", account.Priorities)
		c.references(path+".models", "models", account.Models)
		c.references(path+".services", "services", account.Services)
		if account.Weight < 1 || account.Weight > 1000 {
			c.add(path+".weight", "%d is not within 1 to 1000", account.Weight)
		}
		if account.RequestsPerSecond <= 0 {
			c.add(path+".requestsPerSecond", "%v is not above 0", account.RequestsPerSecond)
		}
		if account.ConcurrentRequests < 1 {
			c.add(path+".concurrentRequests", "%d is not at least 1", account.ConcurrentRequests)
		}
	}
}

func (c *checker) operators(set Set) {
	owners := map[string]string{}
	for i, operator := range set.Operators {
		c.tokens(fmt.Sprintf("operators[%d]", i), "operator "+operator.Name, operator.TokenHashes, owners)
	}
}

// tokens checks the format of hashes, and that no two accounts or operators have
// the same one.
func (c *checker) tokens(path, owner string, hashes []string, owners map[string]string) {
	if len(hashes) == 0 {
		c.add(path+".tokenHashes", "needs at least one hash")
	}
	for i, hash := range hashes {
		hashPath := fmt.Sprintf("%s.tokenHashes[%d]", path, i)
		if !hashPattern.MatchString(hash) {
			c.add(hashPath, "is not a SHA-256 hash in lower-case hex")
			continue
		}
		if other, taken := owners[hash]; taken {
			c.add(hashPath, "is also a token of %s", other)
		}
		owners[hash] = owner
	}
}

func (c *checker) services(set Set) {
	for i, service := range set.Services {
		for j, operation := range service.Operations {
			path := fmt.Sprintf("services[%d].operations[%d]", i, j)
			switch operation.Method {
			case "GET", "POST", "PUT", "PATCH", "DELETE":
			default:
				c.add(path+".method", "%q is not one of GET, POST, PUT, PATCH, DELETE", operation.Method)
			}
			if !strings.HasPrefix(operation.Path, "/") {
				c.add(path+".path", "%q does not start with '/'", operation.Path)
			}
			if operation.Idempotent && operation.HonoursIdempotencyKey {
				c.add(path+".honoursIdempotencyKey", "means nothing on an idempotent operation")
			}
		}
	}
}

func (c *checker) servers(set Set) {
	addresses := map[string]string{}
	for i, server := range set.BackendServers {
		path := fmt.Sprintf("backendServers[%d]", i)
		c.address(path+".address", server, addresses)
		if server.FailureDomain == "" {
			c.add(path+".failureDomain", "must not be empty")
		}
		if server.MaxConcurrent < 1 {
			c.add(path+".maxConcurrent", "%d is not at least 1", server.MaxConcurrent)
		}
		switch server.State {
		case "", ServerActive, ServerLeaving:
		default:
			c.add(path+".state", "%q is not one of %q, %q", server.State, ServerActive, ServerLeaving)
		}
		if (len(server.Versions) > 0) == (server.Service != "") {
			c.add(path, "needs either versions, for an engine, or a service")
		}
		if server.Managed && server.Service != "" {
			c.add(path+".managed", "is for engines, not for services")
		}
		c.softwareVersion(path+".softwareVersion", server)
		c.references(path+".versions", "versions", server.Versions)
		if server.Service != "" {
			c.reference(path+".service", "services", server.Service)
		}
	}
}

func (c *checker) softwareVersion(path string, server BackendServer) {
	switch {
	case server.SoftwareVersion == "":
	case server.Service != "":
		c.add(path, "is for engines, not for services")
	case !softwareVersionPattern.MatchString(server.SoftwareVersion):
		c.add(path, "%q is not a software version: use 1 to 63 of letters, digits, '.', '_', '+' and '-', starting with a letter or digit", server.SoftwareVersion)
	}
}

func (c *checker) address(path string, server BackendServer, taken map[string]string) {
	host, _, err := net.SplitHostPort(server.Address)
	if err != nil {
		c.add(path, "%q is not HOST:PORT", server.Address)
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		c.add(path, "%q is not an IP number", host)
	}
	if other, found := taken[server.Address]; found {
		c.add(path, "%q is also the address of %s", server.Address, other)
	}
	taken[server.Address] = server.Name
}
