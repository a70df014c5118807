// Package revision stores the published configurations: one head row in the
// platform's table, and contents and records in its object store.
//
// # Usage
//
//	publisher := &revision.Publisher{Table: table, Objects: objects, Now: time.Now}
//	head, err := publisher.Publish(ctx, set, baseRevision, "operator-name")
//	if errors.Is(err, revision.ErrConflict) { ... } // head is the one of the other operator
//	records, err := publisher.History(ctx, 20)
//
// A publish succeeds only when its write of the head row is known to have taken
// effect; after a lost reply the head is read back. Of several operators that publish
// concurrently, exactly one succeeds.
package revision

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/config/object"
	platformobject "github.com/endivespoke/endivespoke/internal/platform/object"
	"github.com/endivespoke/endivespoke/internal/platform/table"
)

const (
	// ErrConflict means that another operator published first.
	ErrConflict = errors.ConstError("another configuration was published meanwhile")
	// ErrOutcomeUnknown means that it is not known whether the publish took effect,
	// because the platform did not confirm it.
	ErrOutcomeUnknown = errors.ConstError("it is not known whether the configuration was published")
)

// HeadKey is the key of the table row with the newest head.
const HeadKey = "config/head"

// maxHeadWrites bounds the conditional writes of one publish.
const maxHeadWrites = 3

// Head identifies a published revision. Previous is the ID of the revision before it.
type Head struct {
	Revision    uint64    `json:"revision"`
	Hash        string    `json:"hash"`
	Publisher   string    `json:"publisher"`
	ID          string    `json:"id"`
	Previous    string    `json:"previous,omitempty"`
	PublishedAt time.Time `json:"publishedAt"`
}

// Publisher publishes and reads revisions.
type Publisher struct {
	Table   *table.Client
	Objects *platformobject.Client
	Now     func() time.Time
}

func contentName(hash string) string {
	return "config/content/" + hash
}

func recordName(id string) string {
	return "config/record/" + id
}

// Head reads the newest head. Its Revision is 0 if nothing has been published.
func (p *Publisher) Head(ctx context.Context) (Head, error) {
	head, _, err := p.readHead(ctx)
	return head, err
}

func (p *Publisher) readHead(ctx context.Context) (head Head, version string, err error) {
	var row table.Row
	if row, err = p.Table.Get(ctx, HeadKey); err != nil {
		return Head{}, "", errors.Trace(err)
	}
	if row.Version == "" {
		return Head{}, "", nil
	}
	if err = json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, "", errors.Annotate(err, "head row is not readable")
	}
	return head, row.Version, nil
}

// Content reads the configuration of a head and verifies its hash.
func (p *Publisher) Content(ctx context.Context, head Head) (set object.Set, err error) {
	var body []byte
	if body, err = p.Objects.Get(ctx, contentName(head.Hash)); err != nil {
		return object.Set{}, errors.Trace(err)
	}
	return Decode(head, body)
}

// Decode parses a configuration and verifies that it has the hash in the head.
func Decode(head Head, body []byte) (set object.Set, err error) {
	if set, err = object.Parse(body); err != nil {
		return object.Set{}, errors.Trace(err)
	}
	if object.Hash(set) != head.Hash {
		return object.Set{}, errors.Errorf("content of revision %d does not have the hash %s", head.Revision, head.Hash)
	}
	return set, nil
}

// Publish makes the set the next revision if base is still the newest one. The set
// must have passed object.Check. With ErrConflict it returns the head of the revision
// that was published instead.
func (p *Publisher) Publish(ctx context.Context, set object.Set, base uint64, publisher string) (head Head, err error) {
	var current Head
	var version string
	if current, version, err = p.readHead(ctx); err != nil {
		return Head{}, errors.Trace(err)
	}
	if current.Revision != base {
		return current, errors.Annotatef(ErrConflict, "revision %d by %s is newer than %d", current.Revision, current.Publisher, base)
	}
	head = Head{
		Revision:    base + 1,
		Hash:        object.Hash(set),
		Publisher:   publisher,
		ID:          uuid.NewString(),
		Previous:    current.ID,
		PublishedAt: p.Now().UTC(),
	}
	var body []byte
	if body, err = json.Marshal(head); err != nil {
		return Head{}, errors.Trace(err)
	}
	if err = p.Objects.Put(ctx, contentName(head.Hash), object.Encode(set)); err != nil {
		return Head{}, errors.Trace(err)
	}
	if err = p.Objects.Put(ctx, recordName(head.ID), body); err != nil {
		return Head{}, errors.Trace(err)
	}
	return p.writeHead(ctx, head, version, body)
}

// writeHead repeats the conditional write until its outcome is known. A retry is
// safe: at most one of the writes with the same expected version takes effect, and
// the unique ID of the head shows whose write it was.
func (p *Publisher) writeHead(ctx context.Context, head Head, version string, body []byte) (Head, error) {
	var cause error
	for range maxHeadWrites {
		if _, cause = p.Table.Write(ctx, HeadKey, version, body); cause == nil {
			return head, nil
		}
		current, _, err := p.readHead(ctx)
		if err != nil {
			continue
		}
		if current.ID == head.ID {
			return head, nil
		}
		if current.Revision >= head.Revision {
			return p.resolveByHistory(ctx, head, current)
		}
	}
	if errors.Is(cause, table.ErrUnavailable) {
		return Head{}, errors.Trace(cause)
	}
	return Head{}, errors.Annotatef(ErrOutcomeUnknown, "after %d tries: %v", maxHeadWrites, cause)
}

// resolveByHistory walks back from a newer head to the revision with the number of
// the head that was written, and compares their IDs.
func (p *Publisher) resolveByHistory(ctx context.Context, written, newer Head) (Head, error) {
	ancestor := newer
	for ancestor.Revision > written.Revision {
		record, err := p.record(ctx, ancestor.Previous)
		if err != nil {
			return Head{}, errors.Annotatef(ErrOutcomeUnknown, "reading the history: %v", err)
		}
		ancestor = record
	}
	if ancestor.ID == written.ID {
		return written, nil
	}
	return newer, errors.Annotatef(ErrConflict, "revision %d by %s came first", ancestor.Revision, ancestor.Publisher)
}

func (p *Publisher) record(ctx context.Context, id string) (head Head, err error) {
	var body []byte
	if body, err = p.Objects.Get(ctx, recordName(id)); err != nil {
		return Head{}, errors.Trace(err)
	}
	if err = json.Unmarshal(body, &head); err != nil {
		return Head{}, errors.Annotatef(err, "record %s is not readable", id)
	}
	return head, nil
}

// History returns the newest revisions, at most limit, newest first.
func (p *Publisher) History(ctx context.Context, limit int) (heads []Head, err error) {
	var head Head
	if head, err = p.Head(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	for head.Revision > 0 && len(heads) < limit {
		heads = append(heads, head)
		if head.Previous == "" {
			break
		}
		if head, err = p.record(ctx, head.Previous); err != nil {
			return heads, errors.Trace(err)
		}
	}
	return heads, nil
}
