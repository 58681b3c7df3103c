// Package answer defines the text that stand-in engines generate, and parses the requests for
// it. Each token is a function of the model, its version, the adapter, the prompt and the
// position of the token, so that a checker can verify an answer token by token, also after a
// resume on another engine.
package answer

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
)

// DefaultMaxTokens is the answer length, in tokens, of a request that does not set one.
const DefaultMaxTokens = 16

// MaxTokens is the maximum answer length in tokens. ParseBody reduces longer ones to it.
const MaxTokens = 65536

// Source is the input that determines an answer.
type Source struct {
	Model   string
	Version string
	Adapter string
	Prompt  string
}

// Generator generates the tokens of one answer. It keeps a hash of the Source, not the prompt.
type Generator struct{ seed uint64 }

// NewGenerator returns the generator of the answer to source.
func NewGenerator(source Source) Generator {
	hash := fnv.New64a()
	for _, part := range []string{source.Model, source.Version, source.Adapter, source.Prompt} {
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	return Generator{seed: hash.Sum64()}
}

// Seed identifies the answer. It is a 64-bit hash of the Source.
func (g Generator) Seed() uint64 { return g.seed }

// Token returns the text of the token at index, counted from 0.
func (g Generator) Token(index int64) string {
	return fmt.Sprintf(" %05x", mix(g.seed+uint64(index))&0xfffff)
}

// Text returns the text of the tokens from start to end, end exclusive.
func (g Generator) Text(start, end int64) string {
	var text strings.Builder
	for i := start; i < end; i++ {
		text.WriteString(g.Token(i))
	}
	return text.String()
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Body holds the fields of a completion or chat request that a stand-in engine uses.
type Body struct {
	// Model is the name of the model. In a request, ":" and the name of an adapter may follow,
	// which ParseBody removes: the adapter is also in backendapi.HeaderAdapter.
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens and takes precedence if it is positive.
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ParseBody parses the JSON body of a completion or chat request. It sets MaxTokens to the answer
// length that applies, from 1 to the constant MaxTokens.
func ParseBody(text []byte) (Body, error) {
	var body Body
	if err := json.Unmarshal(text, &body); err != nil {
		return Body{}, fmt.Errorf("request body: %w", err)
	}
	body.Model, _, _ = strings.Cut(body.Model, ":")
	if body.MaxCompletionTokens > 0 {
		body.MaxTokens = body.MaxCompletionTokens
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = DefaultMaxTokens
	}
	body.MaxTokens = min(body.MaxTokens, MaxTokens)
	return body, nil
}

// PromptText returns the contents of the messages joined by line feeds, or Prompt if there are no
// messages.
func (b Body) PromptText() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	contents := make([]string, len(b.Messages))
	for i, message := range b.Messages {
		contents[i] = message.Content
	}
	return strings.Join(contents, "\n")
}
