// Package filter defines the types that the filters of the request pipeline
// share: Call, the state of one request, and the Filter interface. The filters
// themselves are in the folders below; their order is set by internal/pipeline.
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

// Call is the state of one request in the pipeline. It is owned by one goroutine
// at a time and has no locks.
type Call struct {
	ID       string
	Kind     request.Kind
	Received time.Time
	// Deadline is set by classify and not changed afterwards.
	Deadline time.Time

	HTTP   *http.Request
	Writer http.ResponseWriter
	// Path is the path below /services/{service}, with its leading slash.
	Path string

	Bundle *bundle.AcceptedBundle
	Team   *bundle.Team
	Body   *bodybuf.Buffer

	Inference Inference
	Service   Service

	// Attempt is the current attempt, or the last one. The place filter sets it.
	Attempt *Attempt
	// MayHaveRun is true when a backend server may have run one of the attempts
	// that have ended.
	MayHaveRun bool
	// VerifiedTokens is the number of verified answer tokens over all attempts.
	VerifiedTokens int64
	Reply          Reply
}

// Inference describes a Call that is served by a model engine.
type Inference struct {
	Model   *bundle.Model
	Adapter string
	Class   *bundle.Class
	Stream  bool
	// PromptTokens is estimated from the length of the prompt in bytes.
	PromptTokens int64
	// AnswerTokens is the maximum length of the answer.
	AnswerTokens int64
	// Prefix is the beginning of the decoded prompt text, as an engine sees it.
	// It is long enough for backendapi.PrefixBlocks.
	Prefix []byte
}

// Service describes a Call that is served by a plain service.
type Service struct {
	Name      string
	Operation *bundle.Operation
	// Claim is the right to send a call with an idempotency key, or nil. The
	// claim filter sets it; the reply filter resolves it with the answer.
	Claim ledger.Claim
}

// Attempt is one send of a Call to one backend server, or to the servers of a
// group placement.
type Attempt struct {
	ID        string
	Number    int
	Placement place.Placement
	Started   time.Time
	// VerifiedBefore is Call.VerifiedTokens at the start of the attempt.
	VerifiedBefore int64
	// Sent is true while the attempt is in progress and a backend server may
	// have run it. The dispatch filter sets it; at the end of the attempt the
	// place filter clears it and updates Call.MayHaveRun.
	Sent bool
	// Streaming is true once the reply filter has taken a token of this attempt.
	Streaming bool
	// Response is the unverified response. The dispatch filter sets it.
	Response *http.Response
	// ResetStallTimer restarts the stall timer. The dispatch filter sets it; the
	// verify filter calls it for each verified chunk.
	ResetStallTimer func()
	// Chunks yields the verified chunks of an engine's answer, up to and
	// including the end mark. The verify filter sets it.
	Chunks iter.Seq2[backendapi.Chunk, error]
	// Answer is the verified answer of a plain service. The verify filter sets it.
	Answer *Answer
	// PromptTokens and CachedTokens are reported by the engine in the end mark;
	// they are 0 before it.
	PromptTokens int64
	CachedTokens int64
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Reply is the state of the response to the caller. It is kept over all attempts.
type Reply struct {
	// Started is true once sending the response header has begun.
	Started bool
	// Finished is true once the complete answer was written.
	Finished bool
	// Text collects the answer of a request that is not streamed.
	Text []byte
	// EventBuffer is reused to encode each event of a stream.
	EventBuffer bytes.Buffer
	// LastTokenAt is when the reply filter took the last token.
	LastTokenAt time.Time
	// Outcome is empty until the complete answer is known.
	Outcome request.Outcome
}

// Idempotent reports whether the call may be retried after an attempt that a
// backend server may have run.
func (c *Call) Idempotent() bool {
	return c.Kind.ForEngine() || c.Service.Operation.Idempotent
}

// ClassName returns the value of the class label in metrics: the name of the
// prompt-length class, or the kind of the request where there is no class.
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

// Outcome returns the outcome of the call if it ended now without an answer.
func (c *Call) Outcome() request.Outcome {
	inProgress := c.Attempt != nil && c.Attempt.Sent
	if !c.MayHaveRun && !inProgress {
		return request.NotRun
	}
	return request.FinalOutcome(true, c.Idempotent())
}

// Next runs the filters that follow in the pipeline.
type Next func(ctx context.Context, call *Call) error

// Filter is one stage of the pipeline.
type Filter interface {
	// Name returns the name of the filter's folder.
	Name() string
	// Process does the work of the filter and calls next for the rest of the
	// pipeline: at most once, except that the place filter calls it once for
	// each attempt. It returns a *request.Error. The filters after place may
	// also return a *request.AttemptError.
	Process(ctx context.Context, call *Call, next Next) error
}
