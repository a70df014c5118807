// Package locate tells callers which VMs to use.
//
// # Usage
//
//	mux.Handle("GET /v1/entries", locate.Handler(loop.Snapshot, time.Now))
//	answer, err := locate.Ask(ctx, httpClient, "http://10.0.0.1:8080")
package locate

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/endivespoke/endivespoke/internal/node/control"
	"github.com/endivespoke/endivespoke/internal/peer/wire"
)

const (
	// KeepFor is how long a caller may go by an answer. A VM that leaves goes on
	// accepting for as long after it has disappeared from answers.
	KeepFor = 10 * time.Second
	// maxEntries bounds one answer.
	maxEntries = 4
)

// Entry is one VM that a caller may use.
type Entry struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// Answer lists VMs in the order to try, and until when to go by it.
type Answer struct {
	Entries   []Entry   `json:"entries"`
	KeepUntil time.Time `json:"keepUntil"`
}

// Handler answers with a few live VMs, each in another failure domain as far as
// there are, in random order so that callers spread.
func Handler(snapshot func() *control.Snapshot, now func() time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		answer := Answer{Entries: Choose(snapshot().Members, rand.Perm), KeepUntil: now().Add(KeepFor)}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "max-age=10")
		_ = json.NewEncoder(w).Encode(answer) // The caller may have gone; there is nobody left to tell.
	}
}

// Choose picks the entries of one answer. permute gives a random order of n.
func Choose(members []wire.Member, permute func(n int) []int) []Entry {
	shuffled := make([]wire.Member, 0, len(members))
	for _, at := range permute(len(members)) {
		if members[at].State == wire.MemberLive && members[at].CallerAddress != "" {
			shuffled = append(shuffled, members[at])
		}
	}
	entries := []Entry{}
	rest := []Entry{}
	seen := map[string]bool{}
	for _, member := range shuffled {
		entry := Entry{Address: member.CallerAddress, FailureDomain: member.FailureDomain}
		if seen[member.FailureDomain] {
			rest = append(rest, entry)
			continue
		}
		seen[member.FailureDomain] = true
		entries = append(entries, entry)
	}
	entries = append(entries, rest...)
	return entries[:min(len(entries), maxEntries)]
}

// maxAnswerBytes bounds a VM's answer.
const maxAnswerBytes = 1 << 20

// Fetch asks one VM, as a caller does.
func Fetch(ctx context.Context, client *http.Client, base string) (answer Answer, err error) {
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/entries", nil); err != nil {
		return Answer{}, errors.Trace(err)
	}
	var response *http.Response
	if response, err = client.Do(request); err != nil {
		return Answer{}, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Answer{}, errors.Errorf("%s answered %s", base, response.Status)
	}
	if err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return Answer{}, errors.Annotate(err, "decoding the entries")
	}
	return answer, nil
}
