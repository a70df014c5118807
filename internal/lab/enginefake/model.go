package enginefake

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// vocabulary is the number of token ids of the fake model.
const vocabulary = 50000

// Tokenize returns one token id for each word.
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

// Text returns the text of a token.
func Text(id int) string {
	return fmt.Sprintf(" t%d", id)
}

// model simulates decoding with a fixed seed: each token depends on the version, the seed
// and all tokens before it. One missing, repeated or wrong token therefore changes all
// that follow.
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

// Expected returns the token ids of the failure-free answer to a prompt.
func Expected(version string, seed int64, prompt string, maxTokens int) []int {
	m := newModel(version, seed, Tokenize(prompt))
	ids := make([]int, maxTokens)
	for i := range ids {
		ids[i] = m.next()
	}
	return ids
}

// ExpectedText returns the failure-free answer as text.
func ExpectedText(version string, seed int64, prompt string, maxTokens int) string {
	var text strings.Builder
	for _, id := range Expected(version, seed, prompt, maxTokens) {
		text.WriteString(Text(id))
	}
	return text.String()
}

// ExpectedText returns the failure-free answer of this engine, whose salt may differ from that of others.
func (e *Engine) ExpectedText(version string, seed int64, prompt string, maxTokens int) string {
	return ExpectedText(version, seed+saltOf(e.Options.Salt), prompt, maxTokens)
}
