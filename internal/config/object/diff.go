package object

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Change is one object that differs between two configurations. Before is empty if
// the object was added, After if it was removed.
type Change struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Diff returns the objects that differ, ordered by path, for example
// "models/drafting".
func Diff(before, after Set) []Change {
	old := flatten(before)
	updated := flatten(after)
	changes := []Change{}
	for path, value := range old {
		if !bytes.Equal(value, updated[path]) {
			changes = append(changes, Change{Path: path, Before: value, After: updated[path]})
		}
	}
	for path, value := range updated {
		if _, found := old[path]; !found {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

// flatten returns the JSON of each object by its path.
func flatten(set Set) map[string]json.RawMessage {
	objects := map[string]json.RawMessage{}
	add := func(kind, name string, value any) {
		body, err := json.Marshal(value)
		if err != nil {
			panic(err) // No field of an object can fail to encode.
		}
		objects[strings.TrimSuffix(kind+"/"+name, "/")] = body
	}
	add("profile", "", set.Profile) // Profile and weight store have no name.
	add("weightStore", "", set.WeightStore)
	for _, model := range set.Models {
		add("models", model.Name, model)
	}
	for _, version := range set.Versions {
		add("versions", version.Name, version)
	}
	for _, priority := range set.Priorities {
		add("priorities", priority.Name, priority)
	}
	for _, account := range set.ClientAccounts {
		add("clientAccounts", account.Name, account)
	}
	for _, operator := range set.Operators {
		add("operators", operator.Name, operator)
	}
	for _, service := range set.Services {
		add("services", service.Name, service)
	}
	for _, server := range set.BackendServers {
		add("backendServers", server.Name, server)
	}
	return objects
}
