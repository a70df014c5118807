package entry

import (
	"github.com/endivespoke/endivespoke/internal/backend/pool"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/permit"
)

// takePermit asks for the permit of something that is bounded for all VMs together.
func (v *VM) takePermit(request permit.Request) permit.Reply {
	request.VM = v.options.Settings.Name
	reply, err := v.spread.TakePermit(request)
	v.counters.permit(reply, err)
	if err != nil {
		v.logger.Debug("no reply from the issuer of a permit", "key", request.Key, "error", err)
	}
	return reply
}

func (v *VM) serverLimitChanged(change pool.LimitChange) {
	pairs := []any{"server", change.Server.ID, "limit", change.Limit, "before", change.Before,
		"answerTo", change.Reply.Purpose, "status", change.Reply.Status, "refused", change.Reply.Refused}
	if change.Limited {
		event.ServerLimitNamed.Info(v.logger, pairs...)
		return
	}
	event.ServerLimitEnded.Info(v.logger, pairs...)
}
