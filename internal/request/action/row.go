// Package action runs non-idempotent work at most once. One row of the
// platform's table decides for each request; the Machine says what to do next
// and does no I/O itself, so that every interleaving can be tested.
//
// The states of a row and who may change them:
//
//	(none)     -> dispatched   any VM, before it sends anything
//	(none)     -> refused      any VM; stops every other
//	dispatched -> done         the VM that sent, with the result
//	dispatched -> refused      the VM that dispatched, if it proved that nothing was sent
//	dispatched -> dispatched   any VM once DispatchUntil has passed, if the service
//	                           honours idempotency keys, to send the key again
//	dispatched -> unknown      the VM that sent; any VM once DispatchUntil has passed
//	unknown    -> done         only if the service honours idempotency keys
//
// Work is sent only by the VM whose write of "dispatched" is known to have
// taken effect, so it is sent once. notRun is said only after "refused" is
// known to be written.
//
// # Usage
//
//	runner := &action.Runner{Table: table, Send: send, Now: time.Now}
//	answer := runner.Run(ctx, action.Request{...})
package action

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// State is how far a request has come.
type State string

const (
	// StateDispatched means that the work was or is about to be sent.
	StateDispatched State = "dispatched"
	// StateDone means that the service answered.
	StateDone State = "done"
	// StateUnknown means that the work may have run.
	StateUnknown State = "unknown"
	// StateRefused means that the work did not run and never will.
	StateRefused State = "refused"
)

// Result is a service's answer as it is given to the caller.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}

// Row is the value of a request's table row. Attempt is unique to the try that
// wrote "dispatched"; VM and Server are for people. DispatchUntil is the
// deadline until which the writer may send and wait.
type Row struct {
	State         State     `json:"state"`
	Attempt       string    `json:"attempt"`
	VM            string    `json:"vm"`
	Server        string    `json:"server,omitempty"`
	BodyHash      string    `json:"bodyHash"`
	DispatchUntil time.Time `json:"dispatchUntil"`
	ExpiresAt     time.Time `json:"expiresAt"`
	Result        *Result   `json:"result,omitempty"`
	Reason        string    `json:"reason,omitempty"`
}

// Key is the table key of a request's row.
func Key(account, key string) string {
	return "action/" + account + "/" + url.PathEscape(key)
}

// HashBody names what a request asks for, so that a key that comes back with
// another body is noticed.
func HashBody(method, path string, body []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(method + " " + path + "\x00")) // A hash never fails to write.
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

func encodeRow(row Row) []byte {
	body, err := json.Marshal(row)
	if err != nil {
		panic(err) // No field of Row can fail to encode.
	}
	return body
}

func decodeRow(body []byte) (row Row, err error) {
	if err = json.Unmarshal(body, &row); err != nil {
		return Row{}, errors.Annotate(err, "action row is not readable")
	}
	return row, nil
}
