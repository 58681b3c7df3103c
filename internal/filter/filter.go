// Package filter defines what the filters of the request pipeline share: the
// Call that travels through them and the Filter interface.
package filter

import (
	"bytes"
	"context"
	"iter"
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// Call is one request on its way through the pipeline. One goroutine owns it.
type Call struct {
	ID       string
	Kind     request.Kind
	Received time.Time
	// Deadline is set by classify and never moved afterwards.
	Deadline time.Time

	HTTP   *http.Request
	Writer http.ResponseWriter
	// Path is the path below /services/{service}, with its leading slash.
	Path string

	Bundle *bundle.Accepted
	Team   *bundle.Team
	Body   *bodybuf.Buffer

	Inference Inference
	Service   Service

	// Attempt is the attempt in progress. Place sets it.
	Attempt *Attempt
	// MayHaveRun is true when an attempt that ended may have been run by a
	// back end.
	MayHaveRun bool
	// VerifiedTokens counts the verified tokens of the answer over all attempts.
	VerifiedTokens int64
	Reply          Reply
}

// Inference is the part of a Call that goes to model engines.
type Inference struct {
	Model   *bundle.Model
	Adapter string
	Class   *bundle.Class
	Stream  bool
	// PromptTokens is estimated from the length of the prompt.
	PromptTokens int64
	// AnswerTokens bounds the answer.
	AnswerTokens int64
	// Prefix is the beginning of the prompt's text as engines see it, long
	// enough for backendapi.PrefixBlocks.
	Prefix []byte
}

// Service is the part of a Call that goes to plain services.
type Service struct {
	Name      string
	Operation *bundle.Operation
	// Claim is the right to send a call with an idempotency key. Claim sets
	// it, reply resolves it with the answer.
	Claim ledger.Claim
}

// Attempt is one try of a Call on one backend server.
type Attempt struct {
	ID        string
	Number    int
	Placement place.Placement
	Started   time.Time
	// VerifiedBefore is Call.VerifiedTokens at the start of the attempt.
	VerifiedBefore int64
	// Sent is true while the attempt is in progress and may have been run.
	// Dispatch sets it; place turns it into Call.MayHaveRun at the end.
	Sent bool
	// Streaming is true once a token of this attempt was handed on.
	Streaming bool
	// Response is the answer as received. Dispatch sets it.
	Response *http.Response
	// ResetStallTimer restarts the stall timer. Dispatch sets it, verify calls it at
	// each verified chunk.
	ResetStallTimer func()
	// Chunks yields the verified chunks of an engine's answer up to the end
	// mark. Verify sets it.
	Chunks iter.Seq2[backendapi.Chunk, error]
	// Answer is the verified answer of a plain service. Verify sets it.
	Answer *Answer
	// PromptTokens and CachedTokens are as the engine reported them.
	PromptTokens int64
	CachedTokens int64
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Reply is what the caller has been sent.
type Reply struct {
	// Started is true once the response header was sent.
	Started bool
	// Finished is true once the whole answer was sent.
	Finished bool
	// Text gathers the answer of a request that is not streamed.
	Text []byte
	// EventBuffer is the memory in which each event of a stream is formed.
	EventBuffer bytes.Buffer
	// LastTokenAt is when the last token was handed on.
	LastTokenAt time.Time
	// Outcome is set with the answer.
	Outcome request.Outcome
}

// Idempotent reports whether the call may be attempted again after a byte of
// it may have been sent.
func (c *Call) Idempotent() bool {
	return c.Kind.ForEngine() || c.Service.Operation.Idempotent
}

// ClassName returns the label of the call in metrics.
func (c *Call) ClassName() string {
	if c.Inference.Class != nil {
		return c.Inference.Class.Name
	}
	return string(c.Kind)
}

// TeamName returns the name of the team, or an empty string before identify.
func (c *Call) TeamName() string {
	if c.Team == nil {
		return ""
	}
	return c.Team.Name
}

// Outcome returns the outcome of the call if it ends now without an answer.
func (c *Call) Outcome() request.Outcome {
	inProgress := c.Attempt != nil && c.Attempt.Sent
	if !c.MayHaveRun && !inProgress {
		return request.NotRun
	}
	return request.FinalOutcome(true, c.Idempotent())
}

// Next runs the rest of the pipeline.
type Next func(ctx context.Context, call *Call) error

// Filter is one job of the pipeline.
type Filter interface {
	// Name is the name of the filter's folder.
	Name() string
	// Process does the filter's job on call, runs next at most once for each
	// attempt, and cleans up. It returns a *request.Error, or, below place, a
	// *request.AttemptError.
	Process(ctx context.Context, call *Call, next Next) error
}
