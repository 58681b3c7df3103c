// Package claim records the idempotency key of a non-idempotent call before
// any byte of it is sent.
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
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// recordTimeout bounds the recording of an end after the call itself.
	recordTimeout = 3 * time.Second
)

// Replier sends a recorded answer to the caller.
type Replier interface {
	// SendRecorded sends record as the answer of call.
	SendRecorded(call *filter.Call, record *ledger.Record) error
}

// Filter claims keys and records the end of calls that got no answer.
type Filter struct {
	claims  ledger.Claims
	replier Replier
}

// New returns the filter. Without claims, calls that carry a key are refused.
func New(claims ledger.Claims, replier Replier) *Filter {
	return &Filter{claims: claims, replier: replier}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "claim" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, next filter.Next) error {
	value := call.HTTP.Header.Get(request.IdempotencyKeyHeader)
	if call.Idempotent() || value == "" {
		return next(ctx, call)
	}
	if len(value) > maxKeyBytes {
		return request.Errorf(request.CodeInvalidRequest, request.NotRun, "%s is longer than %d bytes", request.IdempotencyKeyHeader, maxKeyBytes)
	}
	if f.claims == nil {
		return claimError(ledger.ErrUnreachable)
	}
	key := ledger.Key{Team: call.Team.Name, Service: call.Service.Name, Value: value}
	claim, record, err := f.claims.Claim(ctx, key, digest(call))
	if err != nil {
		return claimError(err)
	}
	if claim == nil {
		return f.replier.SendRecorded(call, record)
	}
	call.Service.Claim = claim
	// A caller that leaves loses its answer, but the call goes on: its end is
	// recorded and can be asked for.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	return f.settle(ctx, call, next(ctx, call))
}

// settle ends the claim of a call that got no answer. The claim of an answered
// call was resolved before the answer was sent.
func (f *Filter) settle(ctx context.Context, call *filter.Call, err error) error {
	if err == nil || call.Reply.Outcome != "" {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if call.MayHaveRun {
		_ = call.Service.Claim.Resolve(ctx, ledger.Record{Outcome: request.Unknown}) // an open claim reads as unknown too
		return err
	}
	outcome := call.Service.Claim.Abandon(ctx)
	var failure *request.Error
	if errors.As(err, &failure) {
		failure.Outcome = outcome
	}
	return err
}

// claimError maps an error of the ledger. Whatever it is, this send sends
// nothing; where the ledger sealed the key, no send ever will.
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
	case errors.Is(err, ledger.ErrUnreachable):
		code, message = request.CodeClaimsUnreachable, "the idempotency key cannot be claimed at this time"
	}
	outcome := request.NotSent
	var refusal *ledger.RefusedError
	if errors.As(err, &refusal) && refusal.Outcome == request.NotRun {
		outcome = request.NotRun
	}
	return request.Errorf(code, outcome, "%s", message).WithCause(err)
}

// digest covers what the call says: method, path with query, and body.
func digest(call *filter.Call) [sha256.Size]byte {
	hash := sha256.New()
	_, _ = io.WriteString(hash, call.HTTP.Method+"\n"+call.Path+"?"+call.HTTP.URL.RawQuery+"\n")
	_, _ = hash.Write(call.Body.Bytes())
	var sum [sha256.Size]byte
	hash.Sum(sum[:0])
	return sum
}
