package enginefake

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// vocabulary is the number of token ids that the stand-in model knows.
const vocabulary = 50000

// Tokenize gives one token id for each word.
func Tokenize(text string) []int {
	words := strings.Fields(text)
	ids := make([]int, len(words))
	for i, word := range words {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(word))
		ids[i] = int(hash.Sum32() % vocabulary)
	}
	return ids
}

// Text is the text of one token.
func Text(id int) string {
	return fmt.Sprintf(" t%d", id)
}

// model is a deterministic stand-in for decoding with a fixed seed: each token
// depends on the version, the seed and every token before it. One missing,
// repeated or foreign token therefore changes all that follow.
type model struct {
	state uint64
}

func newModel(version string, seed int64, context []int) model {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s/%d", version, seed)
	m := model{state: hash.Sum64()}
	for _, id := range context {
		m.absorb(id)
	}
	return m
}

// absorb mixes one token into the state with the finalizer of splitmix64.
func (m *model) absorb(id int) {
	x := m.state + uint64(id)*0x9E3779B97F4A7C15 + 0x9E3779B97F4A7C15
	x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9
	x = (x ^ (x >> 27)) * 0x94D049BB133111EB
	m.state = x ^ (x >> 31)
}

func (m *model) next() int {
	id := int(m.state % vocabulary)
	m.absorb(id)
	return id
}

// Expected gives the failure-free answer to a prompt.
func Expected(version string, seed int64, prompt string, maxTokens int) []int {
	m := newModel(version, seed, Tokenize(prompt))
	ids := make([]int, maxTokens)
	for i := range ids {
		ids[i] = m.next()
	}
	return ids
}

// ExpectedText gives the failure-free answer as text.
func ExpectedText(version string, seed int64, prompt string, maxTokens int) string {
	var text strings.Builder
	for _, id := range Expected(version, seed, prompt, maxTokens) {
		text.WriteString(Text(id))
	}
	return text.String()
}
