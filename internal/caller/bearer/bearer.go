// Package bearer authenticates requests by their bearer token (RFC 6750).
//
// # Usage
//
//	account, p := bearer.Account(r, snapshot)
//	if p != nil { problem.Write(w, p); return }
package bearer

import (
	"net/http"
	"strings"

	"github.com/endivespoke/endivespoke/internal/caller/problem"
	"github.com/endivespoke/endivespoke/internal/config/object"
	"github.com/endivespoke/endivespoke/internal/node/control"
)

// Account returns the client account that the request's token belongs to, or the
// problem to answer with.
func Account(r *http.Request, snapshot *control.Snapshot) (*object.ClientAccount, *problem.Problem) {
	if snapshot.Set == nil {
		return nil, &problem.Problem{Code: problem.ConfigurationOutdated, Outcome: problem.NotRun, Detail: "this VM has no configuration yet; use another"}
	}
	account := snapshot.Account(object.HashToken(token(r)))
	if account == nil {
		return nil, unauthorized()
	}
	return account, nil
}

// Operator returns the name of the operator that the request's token belongs to,
// or the problem to answer with.
func Operator(r *http.Request, snapshot *control.Snapshot, bootstrapHash string) (string, *problem.Problem) {
	hash := object.HashToken(token(r))
	if name := snapshot.Operator(hash); name != "" {
		return name, nil
	}
	// Until the first configuration is published no operators are defined, and the
	// bootstrap token is accepted.
	if snapshot.Set == nil && bootstrapHash != "" && hash == bootstrapHash {
		return "bootstrap", nil
	}
	return "", unauthorized()
}

// token returns the bearer token. Tokens are compared only by their hashes, so
// the duration of a comparison reveals nothing about the token.
func token(r *http.Request) string {
	text, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return text
}

func unauthorized() *problem.Problem {
	return &problem.Problem{Code: problem.Unauthorized, Outcome: problem.NotRun, Detail: "the bearer token is missing or not known"}
}
