// Package object defines the named objects of a configuration and validates a set
// of them.
//
// # Usage
//
//	set, err := object.Parse(body)       // rejects malformed JSON and unknown fields
//	if faults := object.Check(set); len(faults) > 0 { ... } // all violations, each with its path
//	hash := object.Hash(set)             // the key of the content in the object store
//
// A set is validated and published as a unit, so that every reference between
// objects is valid.
package object

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Profile selects what the recovery of interrupted streams optimizes for.
type Profile string

const (
	// ProfileUnset means the default, ProfileResumeLatency.
	ProfileUnset Profile = ""
	// ProfileResumeLatency minimizes the pause of a stream: the hedge delay before a
	// second engine is started is short.
	ProfileResumeLatency Profile = "resumeLatency"
	// ProfileResourceUse minimizes the use of engines: the hedge delay is long, so
	// that a second engine is started only if the first one is slow to resume.
	ProfileResourceUse Profile = "resourceUse"
)

// ServerState determines whether a backend server may receive new work.
type ServerState string

const (
	// ServerActive servers receive new work. It is the default.
	ServerActive ServerState = "active"
	// ServerLeaving servers complete their running requests and receive no new ones.
	ServerLeaving ServerState = "leaving"
)

// Set is a complete configuration.
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

// WeightStore limits the load on the store of model weights. ConcurrentLoads is the
// number of servers in the whole system that may load weights at the same time; 0
// means the default.
type WeightStore struct {
	ConcurrentLoads int `json:"concurrentLoads,omitempty"`
}

// DefaultConcurrentLoads is used when the configuration sets no limit.
const DefaultConcurrentLoads = 4

// LoadsLimit returns ConcurrentLoads or its default.
func (w WeightStore) LoadsLimit() int {
	if w.ConcurrentLoads == 0 {
		return DefaultConcurrentLoads
	}
	return w.ConcurrentLoads
}

// Model is a model that callers name in a request. Version is the version that new
// requests are pinned to.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Version is one version of a model's weights. EngineModel is the model name that
// engines use for it.
type Version struct {
	Name        string `json:"name"`
	Model       string `json:"model"`
	EngineModel string `json:"engineModel"`
}

// Priority determines the order of admission. A lower Rank is admitted first. Some
// capacity is reserved for Lookup priorities.
type Priority struct {
	Name   string `json:"name"`
	Rank   int    `json:"rank"`
	Lookup bool   `json:"lookup,omitempty"`
}

// ClientAccount is an organisation that sends requests. TokenHashes are the SHA-256
// hashes of its bearer tokens in lower-case hex. RequestsPerSecond and
// ConcurrentRequests are limits for the whole system, not per VM.
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

// Service is a plain HTTP service that requests are routed to.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is one operation of a service, matched by method and exact path.
// Idempotent operations are retried and hedged. Others run at most once; if the
// service honours the Idempotency-Key header, an unknown outcome is resolved by
// sending the call again.
type Operation struct {
	Method                string `json:"method"`
	Path                  string `json:"path"`
	Idempotent            bool   `json:"idempotent,omitempty"`
	HonoursIdempotencyKey bool   `json:"honoursIdempotencyKey,omitempty"`
}

// BackendServer is one server process: an engine that serves Versions, or an
// instance of Service. MaxConcurrent is the number of requests that it runs
// concurrently. A Managed engine receives orders to load and unload versions;
// ChecksFencing means that it rejects orders with an outdated fencing number.
// SoftwareVersion names the version of an engine's software; engines without one
// count as alike.
type BackendServer struct {
	Name            string      `json:"name"`
	Address         string      `json:"address"`
	FailureDomain   string      `json:"failureDomain"`
	State           ServerState `json:"state,omitempty"`
	Versions        []string    `json:"versions,omitempty"`
	Service         string      `json:"service,omitempty"`
	MaxConcurrent   int         `json:"maxConcurrent"`
	Managed         bool        `json:"managed,omitempty"`
	ChecksFencing   bool        `json:"checksFencing,omitempty"`
	SoftwareVersion string      `json:"softwareVersion,omitempty"`
}

// Parse decodes a set from JSON. Unknown fields and trailing data are errors;
// otherwise a misspelt field would silently get its default value.
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

// Encode returns the canonical JSON of a set: equal sets have the same bytes.
func Encode(set Set) []byte {
	body, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		panic(err) // No field of Set can fail to encode.
	}
	return append(body, '\n')
}

// Hash returns the SHA-256 hash of the canonical JSON in lower-case hex.
func Hash(set Set) string {
	sum := sha256.Sum256(Encode(set))
	return hex.EncodeToString(sum[:])
}

// HashToken returns the hash by which a configuration identifies a bearer token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// VersionOf returns the version that new requests for a model are pinned to.
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

// Operation finds the operation of a service that a call matches.
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
