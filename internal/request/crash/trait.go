package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Trait is something that requests have in common and that may be why servers crash under them:
// their content, or a part of their prompts.
type Trait string

const (
	// partPrefix distinguishes parts of prompts from contents, which are hashes in hexadecimal.
	partPrefix = "part/"
	// maxPartBytes bounds the ids of parts. Longer ones are replaced by their hash.
	maxPartBytes = 64
	// maxTraits bounds the traits of one request. Prompts have a few parts; their number is up
	// to callers.
	maxTraits = 64
)

// Part returns the trait of requests that have a part in their prompts.
func Part(id string) Trait {
	if len(id) > maxPartBytes {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:])
	}
	return Trait(partPrefix + id)
}

// Traits returns the traits of a request: its content, and the parts of its prompt that other
// requests may share, at most maxTraits in all.
func Traits(content string, parts []string) []Trait {
	traits := []Trait{Trait(content)}
	for _, id := range parts[:min(len(parts), maxTraits-1)] {
		traits = append(traits, Part(id))
	}
	return traits
}

// Field returns the name and the value under which logs show the trait: "part" and the id, or
// "content" and the hash.
func (t Trait) Field() (name, value string) {
	if id, found := strings.CutPrefix(string(t), partPrefix); found {
		return "part", id
	}
	return "content", string(t)
}

// IsPart reports whether the trait is a part of a prompt.
func (t Trait) IsPart() bool {
	return strings.HasPrefix(string(t), partPrefix)
}

// containsAll reports whether a request with these traits has all of some others.
func containsAll(traits, others []Trait) bool {
	for _, other := range others {
		found := false
		for _, t := range traits {
			found = found || t == other
		}
		if !found {
			return false
		}
	}
	return true
}
