package place

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNoServer means that no live server serves the model and adapter of the query and
	// is otherwise eligible for it.
	ErrNoServer = errors.New("no backend server serves this model")
	// ErrDeadlineUnreachable means that no server is expected to finish the query by its
	// deadline.
	ErrDeadlineUnreachable = errors.New("no backend server can finish in time")
)

// RefusedError is returned for a query that cannot be placed now.
type RefusedError struct {
	// Reason is ErrNoServer or ErrDeadlineUnreachable.
	Reason error
	// RetryAfter is the estimated time until the same query can be placed.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return e.Reason.Error() }

// Unwrap returns e.Reason for errors.Is and errors.As.
func (e *RefusedError) Unwrap() error { return e.Reason }

// Placement is the assignment of one attempt to a server.
type Placement interface {
	// Server returns the server that the attempt is assigned to.
	Server() Server
	// FirstToken records the arrival of the first token, which ends the prefill.
	FirstToken(arrivedAt time.Time)
	// Finish records the outcome of the attempt and releases its lease. Calls after
	// the first one have no effect.
	Finish(result AttemptResult)
}

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	// At is the end of the attempt.
	At time.Time
	// Failed is true when the server caused an incomplete or incorrect answer.
	Failed bool
	// MemoryHeld is true when the engine has not confirmed that it freed the
	// attempt's memory.
	MemoryHeld bool
	// PromptTokens and CachedTokens are the counts reported by the engine, 0 without
	// a report.
	PromptTokens int64
	CachedTokens int64
	// AnswerTokens is the number of tokens received in this attempt.
	AnswerTokens int64
}

// Placer assigns queries to the servers known to this VM.
type Placer interface {
	// Place returns the server for query. It may wait as long as the query can still
	// meet its deadline. The error is a *RefusedError or the error of ctx.
	Place(ctx context.Context, query Query) (Placement, error)
}
