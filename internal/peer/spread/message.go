package spread

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endivespoke/endivespoke/internal/backend/pool"
)

// Member is one VM as VMs tell each other. ID is new with each start of a
// process. Beat counts up while the process runs.
type Member struct {
	ID            string `cbor:"1,keyasint"`
	CallerAddress string `cbor:"2,keyasint"`
	PeerAddress   string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Beat          uint64 `cbor:"5,keyasint"`
	Ready         bool   `cbor:"6,keyasint,omitempty"`
	Leaving       bool   `cbor:"7,keyasint,omitempty"`
}

// ServerRow is one listed backend server, or the mark of one that is gone.
// Changed is the store's version at its last change.
type ServerRow struct {
	Server  pool.Server `cbor:"1,keyasint"`
	Changed uint64      `cbor:"2,keyasint"`
	Gone    bool        `cbor:"3,keyasint,omitempty"`
}

// ServerChanges bring a list of servers from version Base to Version. With Full
// set they are the whole list, whatever the version before.
type ServerChanges struct {
	Base    uint64      `cbor:"1,keyasint"`
	Version uint64      `cbor:"2,keyasint"`
	Full    bool        `cbor:"3,keyasint,omitempty"`
	Rows    []ServerRow `cbor:"4,keyasint,omitempty"`
}

// CopyNote tells where the memory of a stream is copied to.
type CopyNote struct {
	PromptKey string `cbor:"1,keyasint"`
	RunID     string `cbor:"2,keyasint"`
	ServerID  string `cbor:"3,keyasint"`
	Address   string `cbor:"4,keyasint"`
}

// CrashNote counts the servers that died while they ran a content.
type CrashNote struct {
	Content string `cbor:"1,keyasint"`
	Count   int    `cbor:"2,keyasint"`
}

// LossNote tells of a server that is down. Ended means that its process is gone.
type LossNote struct {
	ServerID string `cbor:"1,keyasint"`
	Ended    bool   `cbor:"2,keyasint,omitempty"`
}

// message is what two VMs exchange. Ages tell how long ago the sender's picture
// was known to be the newest of the store; -1 if it never was.
type message struct {
	From           string         `cbor:"1,keyasint"`
	Members        []Member       `cbor:"2,keyasint,omitempty"`
	ConfigVersion  uint64         `cbor:"3,keyasint,omitempty"`
	ConfigAge      int64          `cbor:"4,keyasint,omitempty"`
	ServersVersion uint64         `cbor:"5,keyasint,omitempty"`
	ServersAge     int64          `cbor:"6,keyasint,omitempty"`
	Config         []byte         `cbor:"7,keyasint,omitempty"`
	Servers        *ServerChanges `cbor:"8,keyasint,omitempty"`
	Loads          []pool.Load    `cbor:"9,keyasint,omitempty"`
	HasLoads       bool           `cbor:"10,keyasint,omitempty"`
	Copies         []CopyNote     `cbor:"11,keyasint,omitempty"`
	Crashes        []CrashNote    `cbor:"12,keyasint,omitempty"`
	Losses         []LossNote     `cbor:"13,keyasint,omitempty"`
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
