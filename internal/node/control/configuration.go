package control

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/config/revision"
	"github.com/endivespoke/endivespoke/internal/node/event"
	"github.com/endivespoke/endivespoke/internal/peer/gossip"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

// isHeadReader reports whether this VM reads the head: it is one of the head
// readers of its failure domain, or less than half of the freshness limit remains
// for the revision in force.
func (l *Loop) isHeadReader(s *state, now time.Time) bool {
	if now.Add(revision.FreshnessLimit / 2).After(s.inForce.FreshUntil) {
		return true
	}
	self := s.membership.Self()
	same := []wire.Member{}
	for _, member := range s.membership.Members() {
		if member.FailureDomain == self.FailureDomain {
			same = append(same, member)
		}
	}
	return gossip.IsAmongFirst(self.ID, "headReader", same, headReadersPerDomain)
}

func (l *Loop) readHead(ctx context.Context, known uint64) {
	requestedAt := l.options.Now()
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	head, err := l.options.Publisher.Head(readCtx)
	if err != nil {
		l.do(ctx, func(s *state) { s.readingHead = false })
		return
	}
	if head.Revision > known {
		l.fetchFromStore(readCtx, head, requestedAt)
	}
	l.do(ctx, func(s *state) {
		s.readingHead = false
		s.inForce.Confirm(head.Revision, head.Hash, requestedAt.Add(revision.FreshnessLimit))
	})
}

func (l *Loop) fetchFromStore(ctx context.Context, head revision.Head, requestedAt time.Time) {
	set, err := l.options.Publisher.Content(ctx, head)
	if err != nil {
		event.ConfigUnreadable.Warn(l.options.Logger, "revision", head.Revision, "error", err)
		return
	}
	l.Offer(ctx, head, &set, requestedAt)
}

// fetchFromPeer requests the content of a newer revision from the peer that
// announced it, and from the store if the peer fails.
func (l *Loop) fetchFromPeer(ctx context.Context, from wire.Member, hash string) {
	defer l.do(ctx, func(s *state) { s.fetching = false })
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reply, err := l.options.Pool.Call(callCtx, from.ID, from.PeerAddress, wire.Frame{ContentRequest: &wire.ContentRequest{Hash: hash}})
	if err != nil || reply.Content == nil || len(reply.Content.Body) == 0 {
		l.readHead(ctx, 0)
		return
	}
	head, set, err := decodeContent(*reply.Content)
	if err != nil {
		event.ConfigUnreadable.Warn(l.options.Logger, "from", from.ID, "error", err)
		return
	}
	l.Offer(ctx, head, &set, time.Time{})
}

// Offer puts a configuration in force if it is newer than the current one.
// confirmedAt is when it was last known to be the newest, or zero.
func (l *Loop) Offer(ctx context.Context, head revision.Head, set *object.Set, confirmedAt time.Time) {
	content, err := encodeContent(head, set)
	if err != nil {
		event.ConfigUnreadable.Warn(l.options.Logger, "revision", head.Revision, "error", err)
		return
	}
	l.do(ctx, func(s *state) {
		if !s.inForce.Offer(head, set, confirmedAt) {
			return
		}
		s.content = content
		event.ConfigInForce.Info(l.options.Logger, "revision", head.Revision, "publisher", head.Publisher)
		l.options.OnConfiguration(set, l.Snapshot().Live())
	})
}

// OnContent answers a peer that requests the configuration in force.
func (l *Loop) OnContent(request wire.ContentRequest) wire.Content {
	snapshot := l.Snapshot()
	if snapshot.Set == nil || snapshot.Head.Hash != request.Hash {
		return wire.Content{}
	}
	return snapshot.content
}

// encodeContent encodes a configuration for peers, once for all requests. It is
// compressed, since each change is sent to every VM and configurations of many
// similar objects shrink to a tenth.
func encodeContent(head revision.Head, set *object.Set) (content wire.Content, err error) {
	if content.Head, err = json.Marshal(head); err != nil {
		return wire.Content{}, errors.Trace(err)
	}
	var body bytes.Buffer
	writer := gzip.NewWriter(&body)
	if _, err = writer.Write(object.Encode(*set)); err != nil {
		return wire.Content{}, errors.Trace(err)
	}
	if err = writer.Close(); err != nil {
		return wire.Content{}, errors.Trace(err)
	}
	content.Body = body.Bytes()
	return content, nil
}

// decodeContent decodes a configuration from a peer. It reads at most the size
// limit of a configuration.
func decodeContent(content wire.Content) (head revision.Head, set object.Set, err error) {
	if err = json.Unmarshal(content.Head, &head); err != nil {
		return revision.Head{}, object.Set{}, errors.Annotate(err, "head from a peer")
	}
	var reader *gzip.Reader
	if reader, err = gzip.NewReader(bytes.NewReader(content.Body)); err != nil {
		return revision.Head{}, object.Set{}, errors.Annotate(err, "content from a peer")
	}
	var body []byte
	if body, err = io.ReadAll(io.LimitReader(reader, problem.MaxBodyBytes+1)); err != nil {
		return revision.Head{}, object.Set{}, errors.Annotate(err, "content from a peer")
	}
	if set, err = revision.Decode(head, body); err != nil {
		return revision.Head{}, object.Set{}, errors.Trace(err)
	}
	return head, set, nil
}
