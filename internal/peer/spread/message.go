package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/request/budget"
	"github.com/endivespoke/endivespoke/internal/request/crash"
)

// Member is one VM as VMs tell each other. ID is new with each start of a
// process. Version counts the changes that the VM itself made to its entry.
type Member struct {
	ID            string `cbor:"1,keyasint"`
	CallerAddress string `cbor:"2,keyasint"`
	PeerAddress   string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Version       uint64 `cbor:"5,keyasint"`
	Ready         bool   `cbor:"6,keyasint,omitempty"`
	Leaving       bool   `cbor:"7,keyasint,omitempty"`
	// StoreUnreachable means that the store does not answer this VM.
	StoreUnreachable bool `cbor:"8,keyasint,omitempty"`
	// Down is told by others. The VM refutes it with a higher version.
	Down bool `cbor:"9,keyasint,omitempty"`
	// Incarnation orders the processes at an address: the highest replaces the others. A
	// process that hears of one before it takes the next number.
	Incarnation uint64 `cbor:"10,keyasint,omitempty"`
}

// ServerRow is one listed backend server, or the mark of one that is gone.
// Changed is the store's version at its last change.
type ServerRow struct {
	Server  pool.Server `cbor:"1,keyasint"`
	Changed uint64      `cbor:"2,keyasint"`
	Deleted bool        `cbor:"3,keyasint,omitempty"`
}

// ServerChanges bring a list of servers from version Base to Version. With Full
// set they are the whole list, whatever the version before. Sum is that of the list at
// Version.
type ServerChanges struct {
	Base    uint64      `cbor:"1,keyasint"`
	Version uint64      `cbor:"2,keyasint"`
	Full    bool        `cbor:"3,keyasint,omitempty"`
	Rows    []ServerRow `cbor:"4,keyasint,omitempty"`
	Sum     uint64      `cbor:"5,keyasint,omitempty"`
}

// CopyLocation tells where the memory of a stream is copied to. CopyKey is the same for
// each attempt of its request.
type CopyLocation struct {
	CopyKey  string `cbor:"1,keyasint"`
	RunID    string `cbor:"2,keyasint"`
	ServerID string `cbor:"3,keyasint"`
	Address  string `cbor:"4,keyasint"`
}

// LossReport tells of a server that is down. Ended means that its process is gone,
// and SuccessorID names the one that started in its place, if that is known.
//
// A note with Up set is the reverse: a watcher found that the server accepts connections.
type LossReport struct {
	ServerID    string `cbor:"1,keyasint"`
	Terminated  bool   `cbor:"2,keyasint,omitempty"`
	SuccessorID string `cbor:"3,keyasint,omitempty"`
	Up          bool   `cbor:"4,keyasint,omitempty"`
}

// ServiceUsage is what a VM did with a service in the last window of its budget
// for repeats.
type ServiceUsage struct {
	Service string       `cbor:"1,keyasint"`
	Usage   budget.Usage `cbor:"2,keyasint"`
}

// summary is what a VM has. Ages tell how long ago that was known to be the
// newest of the store; -1 if it never was.
type summary struct {
	ConfigVersion  uint64 `cbor:"1,keyasint,omitempty"`
	ConfigAge      int64  `cbor:"2,keyasint,omitempty"`
	ServersVersion uint64 `cbor:"3,keyasint,omitempty"`
	ServersAge     int64  `cbor:"4,keyasint,omitempty"`
	MembersHash    uint64 `cbor:"5,keyasint,omitempty"`
	ServersSum     uint64 `cbor:"6,keyasint,omitempty"` // Of the list at ServersVersion.
	CrashesSum     uint64 `cbor:"7,keyasint,omitempty"`
}

// want asks for what is newer than these versions.
type want struct {
	Config         bool   `cbor:"1,keyasint,omitempty"`
	ConfigVersion  uint64 `cbor:"2,keyasint,omitempty"`
	Servers        bool   `cbor:"3,keyasint,omitempty"`
	ServersVersion uint64 `cbor:"4,keyasint,omitempty"`
}

// message is what two VMs exchange. Each part is optional.
type message struct {
	From     string         `cbor:"1,keyasint"`
	Address  string         `cbor:"2,keyasint,omitempty"` // Of From, for peers.
	Summary  *summary       `cbor:"3,keyasint,omitempty"`
	Members  []Member       `cbor:"4,keyasint,omitempty"`
	Want     *want          `cbor:"5,keyasint,omitempty"`
	Config   []byte         `cbor:"6,keyasint,omitempty"` // Compressed.
	Servers  *ServerChanges `cbor:"7,keyasint,omitempty"`
	Loads    []pool.Load    `cbor:"8,keyasint,omitempty"`
	HasLoads bool           `cbor:"9,keyasint,omitempty"`
	Copies   []CopyLocation `cbor:"10,keyasint,omitempty"`
	Crashes  []crash.Report `cbor:"11,keyasint,omitempty"`
	Losses   []LossReport   `cbor:"12,keyasint,omitempty"`
	Uses     []ServiceUsage `cbor:"13,keyasint,omitempty"`
	// NoAnswer tells that nobody waits for one.
	NoAnswer bool `cbor:"19,keyasint,omitempty"`
	// PassOn asks a lead to tell its mates.
	PassOn bool `cbor:"15,keyasint,omitempty"`
	// Digests are of all members that the sender knows to be up, and WantMembers of those
	// whose entries it wants.
	Digests     []byte `cbor:"16,keyasint,omitempty"`
	WantMembers []byte `cbor:"17,keyasint,omitempty"`
	// WantCopies are the keys of copies that the sender looks for.
	WantCopies []string `cbor:"18,keyasint,omitempty"`
	// Departures are of servers that said they are leaving.
	Departures []pool.Departure `cbor:"14,keyasint,omitempty"`
}

func (m *message) hasNotes() bool {
	return len(m.Copies)+len(m.Crashes)+len(m.Losses)+len(m.Departures) > 0
}

func (m *message) encode() []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Every field has a type that CBOR can hold.
	}
	return body
}

func decode(body []byte) (m message, err error) {
	err = cbor.Unmarshal(body, &m)
	return m, err
}

// configLimit bounds a configuration that is unpacked, in bytes.
const configLimit = 32 << 20

func compress(raw []byte) []byte {
	packed := bytes.Buffer{}
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(err) // The level is a constant.
	}
	_, _ = writer.Write(raw) // A buffer never fails to take bytes.
	_ = writer.Close()
	return packed.Bytes()
}

func decompress(packed []byte) (raw []byte, err error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	if raw, err = io.ReadAll(io.LimitReader(reader, configLimit)); err != nil {
		return nil, errors.Annotate(err, "unpacking a configuration")
	}
	return raw, nil
}

// ageOf gives the age of a moment in ms, -1 for none.
func ageOf(moment, now time.Time) int64 {
	if moment.IsZero() {
		return -1
	}
	return max(now.Sub(moment).Milliseconds(), 0)
}

// momentOf is the reverse of ageOf at the receiver.
func momentOf(age int64, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
