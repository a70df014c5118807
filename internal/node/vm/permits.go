package vm

import (
	"time"

	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

// otherIssuerWait is when a caller whose request needs a permit of another VM may return. It chooses
// a VM anew.
const otherIssuerWait = time.Second

// takePermit takes the permit of a trial if this VM is the one that issues those of its key: VMs of
// this interface exchange heartbeats only, so that permits can't be asked for.
func (v *VM) takePermit(request permit.Request) permit.Reply {
	snapshot := v.loop.Snapshot()
	if !gossip.IsAmongFirst(snapshot.Self.ID, request.Key, snapshot.Members, 1) {
		return permit.Reply{Wait: otherIssuerWait}
	}
	return v.permits.Take(request)
}
