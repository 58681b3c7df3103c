// Package claim claims the idempotency key of a non-idempotent call in the ledger
// before any byte of the call is sent to a backend server, and records the outcome
// of calls that got no answer. The reply filter records the others.
package claim

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// recordTimeout is the timeout for recording the outcome after the call ended.
	recordTimeout = 3 * time.Second
)

// Replier sends a recorded answer to the caller.
type Replier interface {
	// SendRecorded sends the answer in record to the caller of call. It returns an
	// error when record holds only an outcome.
	SendRecorded(call *filter.Call, record *ledger.Record) error
}

// Filter claims idempotency keys and records the outcome of calls that got no answer.
type Filter struct {
	claims  ledger.Claimer // nil without a ledger
	replier Replier
}

// New returns the filter. With nil claims, calls that carry a key are refused.
func New(claims ledger.Claimer, replier Replier) *Filter {
	return &Filter{claims: claims, replier: replier}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "claim" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	keyValue := call.HTTP.Header.Get(request.IdempotencyKeyHeader)
	if call.Idempotent() || keyValue == "" {
		return next(ctx, call)
	}
	if len(keyValue) > maxKeyBytes {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "%s is longer than %d bytes", request.IdempotencyKeyHeader, maxKeyBytes)
	}
	if f.claims == nil {
		return claimError(ledger.ErrNoQuorum)
	}
	key := ledger.Key{Team: call.Team.Name, Service: call.Service.Name, Value: keyValue}
	claim, record, err := f.claims.Claim(ctx, key, digest(call))
	if err != nil {
		return claimError(err)
	}
	if claim == nil {
		return f.replier.SendRecorded(call, record)
	}
	call.Service.Claim = claim
	// The call goes on after its caller disconnects, up to its deadline, so that
	// the outcome is recorded and can be queried.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	return f.recordUnanswered(ctx, call, next(ctx, call))
}

// recordUnanswered resolves the claim of a call that may have run and got no answer
// as request.Unknown, and abandons the claim of a call that was not run. The claim
// of an answered call was resolved before the answer was sent.
func (f *Filter) recordUnanswered(ctx context.Context, call *filter.Call, err error) error {
	if err == nil || call.Reply.Outcome != "" {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if call.MayHaveRun {
		_ = call.Service.Claim.Resolve(ctx, ledger.Record{Outcome: request.Unknown}) // an unresolved claim is reported as unknown, too
		return err
	}
	outcome := call.Service.Claim.Abandon(ctx)
	var failure *request.Error
	if errors.As(err, &failure) {
		failure.Outcome = outcome
	}
	return err
}

// claimError returns the request error for an error of the ledger. The call was not
// sent, so its outcome is request.NotSent; it is request.NotRun where the ledger has
// sealed the key, since then no later call with this key will be sent either.
func claimError(err error) error {
	code, message := request.CodeInternal, "the idempotency key could not be claimed"
	switch {
	case errors.Is(err, ledger.ErrConflict):
		code, message = request.CodeKeyConflict, "the idempotency key was used with other content"
	case errors.Is(err, ledger.ErrInProgress):
		code, message = request.CodeKeyInProgress, "a call with this idempotency key is in progress"
	case errors.Is(err, ledger.ErrExpired):
		code, message = request.CodeKeyExpired, "the idempotency key is older than the retention of records"
	case errors.Is(err, context.DeadlineExceeded):
		code, message = request.CodeDeadlineExceeded, "the idempotency key could not be claimed within the time limit"
	case errors.Is(err, ledger.ErrNoQuorum):
		code, message = request.CodeClaimsUnreachable, "the idempotency key cannot be claimed at this time"
	}
	outcome := request.NotSent
	var refusal *ledger.RefusedError
	if errors.As(err, &refusal) && refusal.Outcome == request.NotRun {
		outcome = request.NotRun
	}
	return request.Errorf(code, outcome, "%s", message).WithCause(err)
}

// digest returns a SHA-256 digest of the call's content: method, path with query,
// and body. The ledger uses it to refuse other content under the same key.
func digest(call *filter.Call) [sha256.Size]byte {
	hash := sha256.New()
	_, _ = io.WriteString(hash, call.HTTP.Method+"\n"+call.Path+"?"+call.HTTP.URL.RawQuery+"\n")
	_, _ = hash.Write(call.Body.Bytes())
	var sum [sha256.Size]byte
	hash.Sum(sum[:0])
	return sum
}
