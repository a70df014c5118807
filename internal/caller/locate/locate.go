// Package locate serves the list of VMs that callers may use, and fetches it.
//
// # Usage
//
//	mux.Handle("GET /v1/entries", locate.Handler(loop.Snapshot, time.Now))
//	answer, err := locate.Fetch(ctx, httpClient, "http://10.0.0.1:8080")
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
	// EntriesTTL is how long a caller may use an answer. A leaving VM continues to
	// accept requests for as long after it was removed from answers.
	EntriesTTL = 10 * time.Second
	// maxEntries bounds the number of VMs in one answer.
	maxEntries = 4
)

// Entry is one VM that a caller may use.
type Entry struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// Answer lists VMs in the order to try them. It is valid until KeepUntil.
type Answer struct {
	Entries   []Entry   `json:"entries"`
	KeepUntil time.Time `json:"keepUntil"`
}

// Handler answers with at most maxEntries live VMs of as many failure domains as
// possible. Their order is random, so that callers are spread over the VMs.
func Handler(snapshot func() *control.Snapshot, now func() time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		answer := Answer{Entries: Choose(snapshot().Members, rand.Perm), KeepUntil: now().Add(EntriesTTL)}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "max-age=10")
		_ = json.NewEncoder(w).Encode(answer) // A write fails only if the caller has disconnected.
	}
}

// Choose selects the entries of one answer. permute returns a random permutation
// of the integers below n.
func Choose(members []wire.Member, permute func(n int) []int) []Entry {
	shuffled := make([]wire.Member, 0, len(members))
	for _, index := range permute(len(members)) {
		if members[index].State == wire.MemberLive && members[index].CallerAddress != "" {
			shuffled = append(shuffled, members[index])
		}
	}
	entries := []Entry{}
	sameDomain := []Entry{} // Entries whose failure domain is listed already.
	seen := map[string]bool{}
	for _, member := range shuffled {
		entry := Entry{Address: member.CallerAddress, FailureDomain: member.FailureDomain}
		if seen[member.FailureDomain] {
			sameDomain = append(sameDomain, entry)
			continue
		}
		seen[member.FailureDomain] = true
		entries = append(entries, entry)
	}
	entries = append(entries, sameDomain...)
	return entries[:min(len(entries), maxEntries)]
}

// maxAnswerBytes bounds the size of a VM's answer.
const maxAnswerBytes = 1 << 20

// Fetch requests the entries from one VM.
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
