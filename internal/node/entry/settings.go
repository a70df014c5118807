package entry

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Settings is what a VM is told at its start. Addresses are IP:PORT. Durations
// are the platform's bounds.
type Settings struct {
	Name           string
	FailureDomain  string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	LocateAddress  string
	MetricsAddress string // Empty: no metrics are served.
	Seeds          []string
	StoreAddress   string
	MemoryBytes    int64
	// Grace is from SIGTERM until the process is killed.
	Grace time.Duration
	// MaxLocateTTL is the longest life of a locate answer that callers heed.
	MaxLocateTTL time.Duration
	// ConfigApplyLimit is how soon a version has to be in force everywhere.
	ConfigApplyLimit time.Duration
	// ServerHeartbeat is how often a backend server writes its entry in the store; 0 if
	// that is not known.
	ServerHeartbeat time.Duration
	// AddressReuseDelay is for how long the address of a backend server that ended is not
	// given to one of another service.
	AddressReuseDelay time.Duration
	// In any RetryWindow, a service may get RetryFraction of its requests again, and
	// RetryAllowance beside, from all VMs together.
	RetryFraction  float64
	RetryAllowance float64
	RetryWindow    time.Duration
}

// Reload takes over what may change while the VM runs: the seeds, the grace, the life of
// locate answers and the bound of configurations. It names the other fields that are not
// as at the start; they hold from the next start on.
func (v *VM) Reload(ctx context.Context, next Settings) (taken, fromNextStart []string) {
	before := *v.settings.Load()
	in := before
	note := func(list *[]string, name string, changed bool) {
		if changed {
			*list = append(*list, name)
		}
	}
	note(&taken, "seeds", !slices.Equal(before.Seeds, next.Seeds))
	note(&taken, "grace", before.Grace != next.Grace)
	note(&taken, "maxLocateLife", before.MaxLocateTTL != next.MaxLocateTTL)
	note(&taken, "configBound", before.ConfigApplyLimit != next.ConfigApplyLimit)
	in.Seeds, in.Grace, in.MaxLocateTTL, in.ConfigApplyLimit = next.Seeds, next.Grace, next.MaxLocateTTL, next.ConfigApplyLimit
	v.settings.Store(&in)
	if !slices.Equal(before.Seeds, next.Seeds) {
		v.spread.SetSeeds(ctx, next.Seeds)
	}
	note(&fromNextStart, "name", before.Name != next.Name)
	note(&fromNextStart, "failureDomain", before.FailureDomain != next.FailureDomain)
	note(&fromNextStart, "callerAddress", before.CallerAddress != next.CallerAddress)
	note(&fromNextStart, "readyAddress", before.ReadyAddress != next.ReadyAddress)
	note(&fromNextStart, "peerAddress", before.PeerAddress != next.PeerAddress)
	note(&fromNextStart, "locateAddress", before.LocateAddress != next.LocateAddress)
	note(&fromNextStart, "storeAddress", before.StoreAddress != next.StoreAddress)
	note(&fromNextStart, "memoryBytes", before.MemoryBytes != next.MemoryBytes)
	note(&fromNextStart, "serverHeartbeat", before.ServerHeartbeat != next.ServerHeartbeat)
	note(&fromNextStart, "addressKept", before.AddressReuseDelay != next.AddressReuseDelay)
	repeats := before.RetryFraction != next.RetryFraction || before.RetryAllowance != next.RetryAllowance || before.RetryWindow != next.RetryWindow
	note(&fromNextStart, "repeats", repeats)
	return taken, fromNextStart
}

// ErrHistoryGone means that the store no longer knows what changed since the
// version that a watch asked for.
const ErrHistoryGone = errors.ConstError("the store has dropped its history")

// Row is one row of a table. Version is the store's at the row's last change.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Deleted bool
}

// Rows are rows of a table, and the store's version they are as of.
type Rows struct {
	Rows    []Row
	Version uint64
}

// Table is one table of the store. Read gives all rows; Watch waits for changes
// since a version and gives those, or ErrHistoryGone. Both may fail at any time.
type Table struct {
	Read   func(ctx context.Context) (Rows, error)
	Watch  func(ctx context.Context, since uint64, wait time.Duration) (Rows, error)
	Put    func(ctx context.Context, key string, value []byte) error
	Remove func(ctx context.Context, key string) error
}
