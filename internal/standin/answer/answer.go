// Package answer defines the text that stand-in engines generate. Each token
// is a function of the model, its version, the prompt and the token's
// position, so that a checker can verify an answer token by token, also after
// a resume on another engine.
package answer

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
)

// DefaultMaxTokens is the answer length of a body without max_tokens.
const DefaultMaxTokens = 16

// MaxTokens bounds the answer length.
const MaxTokens = 65536

// Source identifies what an answer is generated from.
type Source struct {
	Model   string
	Version string
	Adapter string
	Prompt  string
}

// Generator yields the tokens of one answer. It holds no prompt text.
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

// Seed identifies the answer; answers to different prompts differ in it.
func (g Generator) Seed() uint64 { return g.seed }

// Token returns the text of the token at index.
func (g Generator) Token(index int64) string {
	return fmt.Sprintf(" %05x", mix(g.seed+uint64(index))&0xfffff)
}

// Text returns the text of the tokens from start up to end, end exclusive.
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

// Body is the part of a caller's request that an engine reads.
type Body struct {
	// Model may end with ":" and the name of an adapter, which arrives in
	// backendapi.HeaderAdapter too.
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ParseBody reads the body of a completion or chat request.
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

// PromptText returns the prompt, or the contents of the messages joined by
// line feeds.
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
