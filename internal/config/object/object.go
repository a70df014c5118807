// Package object defines the named objects that operators publish and the
// rules that a whole set of them has to keep.
//
// # Usage
//
//	set, err := object.Parse(body)       // rejects malformed JSON and unknown fields
//	if faults := object.Check(set); len(faults) > 0 { ... } // every broken rule, each with its path
//	hash := object.Hash(set)             // the content address in the object store
//
// A set is published whole or not at all, so that a reference never points at
// something that is not there.
package object

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Profile chooses which of the two measures the recovery policy favours.
type Profile string

const (
	// ProfileUnset means the default, ProfileResumeLatency.
	ProfileUnset Profile = ""
	// ProfileResumeLatency reconnects early and races a second engine.
	ProfileResumeLatency Profile = "resumeLatency"
	// ProfileResourceUse waits for the cheap path before it pays for a new one.
	ProfileResourceUse Profile = "resourceUse"
)

// ServerState says whether a backend server may receive new work.
type ServerState string

const (
	// ServerActive servers receive new work. It is the default.
	ServerActive ServerState = "active"
	// ServerLeaving servers finish what they run and receive nothing new.
	ServerLeaving ServerState = "leaving"
)

// Set is one whole configuration.
type Set struct {
	Profile        Profile         `json:"profile,omitempty"`
	Models         []Model         `json:"models"`
	Versions       []Version       `json:"versions"`
	Priorities     []Priority      `json:"priorities"`
	ClientAccounts []ClientAccount `json:"clientAccounts"`
	Operators      []Operator      `json:"operators"`
	Services       []Service       `json:"services"`
	BackendServers []BackendServer `json:"backendServers"`
	WeightStore    WeightStore     `json:"weightStore"`
}

// WeightStore bounds the reading of model weights. ConcurrentLoads servers load
// at once over the whole system; 0 means the default.
type WeightStore struct {
	ConcurrentLoads int `json:"concurrentLoads,omitempty"`
}

// DefaultConcurrentLoads is used when the configuration sets no bound.
const DefaultConcurrentLoads = 4

// LoadsLimit is the bound in force.
func (w WeightStore) LoadsLimit() int {
	if w.ConcurrentLoads == 0 {
		return DefaultConcurrentLoads
	}
	return w.ConcurrentLoads
}

// Model is what callers name in a request. Version is the one that new
// requests are pinned to.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Version is one loadable state of a model. EngineModel is the model name that
// engines know it by.
type Version struct {
	Name        string `json:"name"`
	Model       string `json:"model"`
	EngineModel string `json:"engineModel"`
}

// Priority orders work. A lower Rank is served first. Lookup priorities have
// room reserved for them.
type Priority struct {
	Name   string `json:"name"`
	Rank   int    `json:"rank"`
	Lookup bool   `json:"lookup,omitempty"`
}

// ClientAccount is one calling organisation. TokenHashes are SHA-256 hashes of
// its bearer tokens in lower-case hex. RequestsPerSecond and
// ConcurrentRequests are limits over the whole system, not per VM.
type ClientAccount struct {
	Name               string   `json:"name"`
	TokenHashes        []string `json:"tokenHashes"`
	Priorities         []string `json:"priorities"`
	Models             []string `json:"models"`
	Services           []string `json:"services"`
	Weight             int      `json:"weight"`
	RequestsPerSecond  float64  `json:"requestsPerSecond"`
	ConcurrentRequests int      `json:"concurrentRequests"`
}

// Operator may check and publish configurations.
type Operator struct {
	Name        string   `json:"name"`
	TokenHashes []string `json:"tokenHashes"`
}

// Service is a plain HTTP service that the system routes to.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is one call of a service, matched by method and exact path.
// Idempotent operations are retried and hedged. Others run at most once; if
// the service honours the Idempotency-Key header, an unknown end is resolved
// by sending the call again.
type Operation struct {
	Method                string `json:"method"`
	Path                  string `json:"path"`
	Idempotent            bool   `json:"idempotent,omitempty"`
	HonoursIdempotencyKey bool   `json:"honoursIdempotencyKey,omitempty"`
}

// BackendServer is one process that does the work: an engine that serves
// Versions, or an instance of Service. MaxConcurrent is how many requests it
// runs side by side. A Managed engine is ordered to load and unload versions;
// ChecksFencing says that it refuses orders with an old fencing number.
type BackendServer struct {
	Name          string      `json:"name"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failureDomain"`
	State         ServerState `json:"state,omitempty"`
	Versions      []string    `json:"versions,omitempty"`
	Service       string      `json:"service,omitempty"`
	MaxConcurrent int         `json:"maxConcurrent"`
	Managed       bool        `json:"managed,omitempty"`
	ChecksFencing bool        `json:"checksFencing,omitempty"`
}

// Parse decodes one set from JSON. Unknown fields and trailing data are errors,
// since a misspelt field would otherwise silently mean its default.
func Parse(body []byte) (set Set, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&set); err != nil {
		return Set{}, errors.Annotate(err, "configuration is not valid JSON of the known shape")
	}
	if _, err = decoder.Token(); err != io.EOF {
		return Set{}, errors.New("configuration has data after its closing brace")
	}
	return set, nil
}

// Encode gives the canonical JSON of a set, the same bytes for equal sets.
func Encode(set Set) []byte {
	body, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		panic(err) // No field of Set can fail to encode.
	}
	return append(body, '\n')
}

// Hash is the lower-case hex SHA-256 of the canonical JSON.
func Hash(set Set) string {
	sum := sha256.Sum256(Encode(set))
	return hex.EncodeToString(sum[:])
}

// HashToken is the form in which bearer tokens are kept in a configuration.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// VersionOf returns the version that a model's new requests are pinned to.
func (s *Set) VersionOf(model string) (Version, bool) {
	for _, m := range s.Models {
		if m.Name == model {
			return s.Version(m.Version)
		}
	}
	return Version{}, false
}

// Version finds a version by name.
func (s *Set) Version(name string) (Version, bool) {
	for _, v := range s.Versions {
		if v.Name == name {
			return v, true
		}
	}
	return Version{}, false
}

// Priority finds a priority by name.
func (s *Set) Priority(name string) (Priority, bool) {
	for _, p := range s.Priorities {
		if p.Name == name {
			return p, true
		}
	}
	return Priority{}, false
}

// Operation finds the declared operation for a call of a service.
func (s *Set) Operation(service, method, path string) (Operation, bool) {
	for _, candidate := range s.Services {
		if candidate.Name != service {
			continue
		}
		for _, operation := range candidate.Operations {
			if operation.Method == method && operation.Path == path {
				return operation, true
			}
		}
	}
	return Operation{}, false
}

// Server finds a backend server by name.
func (s *Set) Server(name string) (BackendServer, bool) {
	for _, server := range s.BackendServers {
		if server.Name == name {
			return server, true
		}
	}
	return BackendServer{}, false
}
