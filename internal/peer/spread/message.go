package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/backend/rollout"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
	"github.com/endivespoke/endivespoke/internal/request/admission"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// Member is the membership entry of one VM. Each start of a process has a new ID. Version
// counts the changes that the VM itself made to its entry.
type Member struct {
	ID            string `cbor:"1,keyasint"`
	CallerAddress string `cbor:"2,keyasint"`
	PeerAddress   string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Version       uint64 `cbor:"5,keyasint"`
	Ready         bool   `cbor:"6,keyasint,omitempty"`
	Leaving       bool   `cbor:"7,keyasint,omitempty"`
	// StoreUnreachable means that the platform's store does not answer this VM.
	StoreUnreachable bool `cbor:"8,keyasint,omitempty"`
	// Down is set by other VMs. The VM refutes it with a higher version.
	Down bool `cbor:"9,keyasint,omitempty"`
	// Incarnation orders the processes at an address: the highest replaces the others. A
	// process that receives the entry of an earlier one uses the next number.
	Incarnation uint64 `cbor:"10,keyasint,omitempty"`
	// ServersUnreachable means that this VM reaches backend servers through other VMs only.
	ServersUnreachable bool `cbor:"11,keyasint,omitempty"`
}

// ServerRow is one listed backend server, or the tombstone of a removed one. Changed is the
// store's version at its last change.
type ServerRow struct {
	Server  pool.Server `cbor:"1,keyasint"`
	Changed uint64      `cbor:"2,keyasint"`
	Deleted bool        `cbor:"3,keyasint,omitempty"`
}

// ServerChanges update a server list from version Base to Version, both of one Era. With Full
// set they are the whole list and apply to any earlier version. Hash is that of the list at
// Version.
type ServerChanges struct {
	Base    uint64      `cbor:"1,keyasint"`
	Version uint64      `cbor:"2,keyasint"`
	Full    bool        `cbor:"3,keyasint,omitempty"`
	Rows    []ServerRow `cbor:"4,keyasint,omitempty"`
	Sum     uint64      `cbor:"5,keyasint,omitempty"`
	Era     uint64      `cbor:"6,keyasint,omitempty"`
}

func (c *ServerChanges) base() StoreVersion {
	return StoreVersion{Era: c.Era, Rev: c.Base}
}

func (c *ServerChanges) version() StoreVersion {
	return StoreVersion{Era: c.Era, Rev: c.Version}
}

// CopyLocation is a run of a stream and where its memory is copied to; RunID is empty if it is
// copied nowhere. CopyKey is the same for all attempts of its request, and for equal requests.
type CopyLocation struct {
	CopyKey  string `cbor:"1,keyasint"`
	RunID    string `cbor:"2,keyasint,omitempty"`
	ServerID string `cbor:"3,keyasint,omitempty"`
	Address  string `cbor:"4,keyasint,omitempty"`
	// Origin is the id of the request's first attempt; empty if it is RunID.
	Origin string `cbor:"5,keyasint,omitempty"`
	// Ambiguous means that streams of several equal requests run; without an Origin and a RunID the
	// location is of the key only.
	Ambiguous bool `cbor:"6,keyasint,omitempty"`
	// Withdrawn means that the run has ended and its caller has received nothing of it.
	Withdrawn bool `cbor:"7,keyasint,omitempty"`
	// Service and Version are those of the servers that the request was sent to; the version is empty if
	// it is not known.
	Service string `cbor:"8,keyasint,omitempty"`
	Version string `cbor:"9,keyasint,omitempty"`
	// ByOriginOnly means that many requests may have the key.
	ByOriginOnly bool `cbor:"10,keyasint,omitempty"`
}

// CopyQuery asks for the runs with a key, and for that whose request began with the attempt Origin, if
// it is set.
type CopyQuery struct {
	CopyKey string `cbor:"1,keyasint"`
	Origin  string `cbor:"2,keyasint,omitempty"`
}

// LossReport reports a server that is down. Terminated means that its process has ended;
// SuccessorID is the process that started in its place, if that is known.
//
// With Up set it reports the reverse: a watcher found that the server accepts connections.
type LossReport struct {
	ServerID    string `cbor:"1,keyasint"`
	Terminated  bool   `cbor:"2,keyasint,omitempty"`
	SuccessorID string `cbor:"3,keyasint,omitempty"`
	Up          bool   `cbor:"4,keyasint,omitempty"`
}

// ServiceUsage is a VM's use of a service within the last window of its retry budget.
type ServiceUsage struct {
	Service string       `cbor:"1,keyasint"`
	Usage   budget.Usage `cbor:"2,keyasint"`
}

// summary lists the versions that a VM has. An age is the time in ms since the version was
// last known to be the newest in the store; -1 if it never was.
type summary struct {
	ConfigVersion  uint64 `cbor:"1,keyasint,omitempty"`
	ConfigAge      int64  `cbor:"2,keyasint,omitempty"`
	ServersVersion uint64 `cbor:"3,keyasint,omitempty"`
	ServersAge     int64  `cbor:"4,keyasint,omitempty"`
	MembersHash    uint64 `cbor:"5,keyasint,omitempty"`
	ServersHash    uint64 `cbor:"6,keyasint,omitempty"` // Of the list at ServersVersion.
	CrashesHash    uint64 `cbor:"7,keyasint,omitempty"`
	ServersEra     uint64 `cbor:"8,keyasint,omitempty"` // Of ServersVersion.
	RolloutsHash   uint64 `cbor:"9,keyasint,omitempty"`
}

func (s *summary) serversVersion() StoreVersion {
	return StoreVersion{Era: s.ServersEra, Rev: s.ServersVersion}
}

// fetchRequest requests content that is newer than these versions.
type fetchRequest struct {
	Config         bool   `cbor:"1,keyasint,omitempty"`
	ConfigVersion  uint64 `cbor:"2,keyasint,omitempty"`
	Servers        bool   `cbor:"3,keyasint,omitempty"`
	ServersVersion uint64 `cbor:"4,keyasint,omitempty"`
	ServersEra     uint64 `cbor:"5,keyasint,omitempty"` // Of ServersVersion.
}

func (f *fetchRequest) serversVersion() StoreVersion {
	return StoreVersion{Era: f.ServersEra, Rev: f.ServersVersion}
}

// message is the unit of exchange between two VMs. Each part is optional.
type message struct {
	From         string         `cbor:"1,keyasint"`
	Address      string         `cbor:"2,keyasint,omitempty"` // Peer address of From.
	Summary      *summary       `cbor:"3,keyasint,omitempty"`
	Members      []Member       `cbor:"4,keyasint,omitempty"`
	Fetch        *fetchRequest  `cbor:"5,keyasint,omitempty"`
	Config       []byte         `cbor:"6,keyasint,omitempty"` // Compressed.
	Servers      *ServerChanges `cbor:"7,keyasint,omitempty"`
	Loads        []pool.Load    `cbor:"8,keyasint,omitempty"`
	HasLoads     bool           `cbor:"9,keyasint,omitempty"`
	Copies       []CopyLocation `cbor:"10,keyasint,omitempty"`
	Crashes      []crash.Report `cbor:"11,keyasint,omitempty"`
	Losses       []LossReport   `cbor:"12,keyasint,omitempty"`
	ServiceUsage []ServiceUsage `cbor:"13,keyasint,omitempty"`
	// NoReply means that the sender does not wait for a reply.
	NoReply bool `cbor:"19,keyasint,omitempty"`
	// Forward requests a forwarder to send the message to its cell peers.
	Forward bool `cbor:"15,keyasint,omitempty"`
	// Digests are of all members that are up in the sender's view, and WantMembers of those
	// whose entries it requests.
	Digests     []byte `cbor:"16,keyasint,omitempty"`
	WantMembers []byte `cbor:"17,keyasint,omitempty"`
	// WantCopies are the runs whose locations the sender requests. Versions, in the reply, are those that
	// servers of each service were listed with lately; nil if the VM does not know them all.
	WantCopies []CopyQuery      `cbor:"29,keyasint,omitempty"`
	Versions   pool.VersionAges `cbor:"30,keyasint,omitempty"`
	// Departures are of servers that reported that they are leaving.
	Departures []pool.Departure `cbor:"14,keyasint,omitempty"`
	// Limits are of servers that named one.
	Limits []pool.ServerLimit `cbor:"20,keyasint,omitempty"`
	// Backoffs are of servers that asked for no requests from a VM that shares connections with others.
	Backoffs []pool.Backoff `cbor:"31,keyasint,omitempty"`
	// Permit requests a permit from the issuer of its key, PermitReply is the reply, and
	// Observation reports the answer to a request that had a permit.
	Permit      *permit.Request     `cbor:"21,keyasint,omitempty"`
	PermitReply *permit.Reply       `cbor:"22,keyasint,omitempty"`
	Observation *permit.Observation `cbor:"23,keyasint,omitempty"`
	// Rollouts are orders and states of roll-outs, Tallies what a VM has counted for them. Credit
	// requests a credit from the coordinator of a roll-out, CreditReply is the reply.
	Rollouts    *RolloutNews           `cbor:"24,keyasint,omitempty"`
	Tallies     []rollout.Tally        `cbor:"25,keyasint,omitempty"`
	Credit      *rollout.CreditRequest `cbor:"26,keyasint,omitempty"`
	CreditReply *rollout.CreditReply   `cbor:"27,keyasint,omitempty"`
	// Admission is sent with the loads; empty if no stream waits for headroom in the cell.
	Admission []admission.Report `cbor:"28,keyasint,omitempty"`
}

func (m *message) hasAnnouncements() bool {
	return len(m.Copies)+len(m.Crashes)+len(m.Losses)+len(m.Departures)+len(m.Limits)+len(m.Backoffs) > 0 || m.Rollouts != nil
}

func (m *message) encode() []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Every field has a type that CBOR can encode.
	}
	return body
}

func decode(body []byte) (m message, err error) {
	err = cbor.Unmarshal(body, &m)
	return m, err
}

// maxConfigBytes bounds a decompressed configuration.
const maxConfigBytes = 32 << 20

func compress(raw []byte) []byte {
	compressed := bytes.Buffer{}
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		panic(err) // The level is a constant.
	}
	_, _ = writer.Write(raw) // Writes to a bytes.Buffer do not fail.
	_ = writer.Close()
	return compressed.Bytes()
}

func decompress(compressed []byte) (raw []byte, err error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	if raw, err = io.ReadAll(io.LimitReader(reader, maxConfigBytes)); err != nil {
		return nil, errors.Annotate(err, "decompressing a configuration")
	}
	return raw, nil
}

// ageMillis returns the age of a moment in ms; -1 for the zero time.
func ageMillis(moment, now time.Time) int64 {
	if moment.IsZero() {
		return -1
	}
	return max(now.Sub(moment).Milliseconds(), 0)
}

// timeFromAge is the inverse of ageMillis, on the receiver's clock.
func timeFromAge(age int64, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
