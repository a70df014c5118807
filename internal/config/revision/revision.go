// Package revision keeps the published configurations: one head row in the
// platform's table, contents and records in its object store.
//
// # Usage
//
//	publisher := &revision.Publisher{Table: table, Objects: objects, Now: time.Now}
//	head, err := publisher.Publish(ctx, set, baseRevision, "operator-name")
//	if errors.Is(err, revision.ErrRaced) { ... } // head is the one that won
//	records, err := publisher.History(ctx, 20)
//
// A publish is accepted only once its head write is known to have taken effect;
// a lost reply is resolved by reading the head back. Of operators that race,
// exactly one wins.
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
	// ErrOutcomeUnknown means that the platform did not say whether the publish took effect.
	ErrOutcomeUnknown = errors.ConstError("it is not known whether the configuration was published")
)

// HeadKey is the table row that names the configuration in force.
const HeadKey = "config/head"

// headTries bounds the conditional writes of one publish.
const headTries = 3

// Head names one published revision. Previous is the ID of the one before.
type Head struct {
	Revision    uint64    `json:"revision"`
	Hash        string    `json:"hash"`
	Publisher   string    `json:"publisher"`
	ID          string    `json:"id"`
	Previous    string    `json:"previous,omitempty"`
	PublishedAt time.Time `json:"publishedAt"`
}

// Publisher reads and writes revisions.
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

// Head reads the newest head. Revision 0 means that nothing was published yet.
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

// Content reads the configuration that a head names and checks its hash.
func (p *Publisher) Content(ctx context.Context, head Head) (set object.Set, err error) {
	var body []byte
	if body, err = p.Objects.Get(ctx, contentName(head.Hash)); err != nil {
		return object.Set{}, errors.Trace(err)
	}
	return Decode(head, body)
}

// Decode reads a configuration's content and checks that it is the one that
// the head names.
func Decode(head Head, body []byte) (set object.Set, err error) {
	if set, err = object.Parse(body); err != nil {
		return object.Set{}, errors.Trace(err)
	}
	if object.Hash(set) != head.Hash {
		return object.Set{}, errors.Errorf("content of revision %d does not have the hash %s", head.Revision, head.Hash)
	}
	return set, nil
}

// Publish makes the set the next revision, if base still is the newest one.
// The set must have passed object.Check. With ErrRaced the returned head is
// the one that won.
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

// writeHead makes the conditional write until its end is known. Writing again
// is safe: of all tries with the same expected version at most one takes
// effect, and the head's unique ID tells ours from another operator's.
func (p *Publisher) writeHead(ctx context.Context, head Head, version string, body []byte) (Head, error) {
	var cause error
	for range headTries {
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
			return p.resolveByChain(ctx, head, current)
		}
	}
	if errors.Is(cause, table.ErrUnavailable) {
		return Head{}, errors.Trace(cause)
	}
	return Head{}, errors.Annotatef(ErrOutcomeUnknown, "after %d tries: %v", headTries, cause)
}

// resolveByChain walks back from a newer head to our revision's place.
func (p *Publisher) resolveByChain(ctx context.Context, mine, newer Head) (Head, error) {
	at := newer
	for at.Revision > mine.Revision {
		record, err := p.record(ctx, at.Previous)
		if err != nil {
			return Head{}, errors.Annotatef(ErrOutcomeUnknown, "reading the history: %v", err)
		}
		at = record
	}
	if at.ID == mine.ID {
		return mine, nil
	}
	return newer, errors.Annotatef(ErrConflict, "revision %d by %s came first", at.Revision, at.Publisher)
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

// History lists up to limit revisions, newest first.
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
