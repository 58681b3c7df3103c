package place

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNoServer tells that no live server serves what the query asks for.
	ErrNoServer = errors.New("no backend server serves this model")
	// ErrDeadlineUnreachable tells that no server can finish the query by its deadline.
	ErrDeadlineUnreachable = errors.New("no backend server can finish in time")
)

// RefusedError tells that a query was refused at this time.
type RefusedError struct {
	// Reason is ErrNoServer or ErrDeadlineUnreachable.
	Reason error
	// RetryAfter estimates when the same query may be placed.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Reason }

// Placement is a server chosen for one attempt.
type Placement interface {
	// Server returns the chosen server.
	Server() Server
	// FirstToken reports the arrival of the first token, which ends prefill.
	FirstToken(at time.Time)
	// Finish reports the end of the attempt and returns what it held. It is
	// called exactly once.
	Finish(result AttemptResult)
}

// AttemptResult is what became of an attempt.
type AttemptResult struct {
	At time.Time
	// Failed is true when the server did not deliver a whole, correct answer
	// for a reason of its own.
	Failed bool
	// MemoryHeld is true when the engine has not confirmed that it freed the
	// attempt's memory.
	MemoryHeld bool
	// PromptTokens and CachedTokens are as the engine reported them, 0 when
	// it did not.
	PromptTokens int64
	CachedTokens int64
	// AnswerTokens is the number of tokens received in this attempt.
	AnswerTokens int64
}

// Placer places queries on the servers known to this VM. Place waits while
// a place is expected in time.
type Placer interface {
	// Place returns a server for query, or a *RefusedError.
	Place(ctx context.Context, query Query) (Placement, error)
}
