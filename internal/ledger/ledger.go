// Package ledger makes non-idempotent calls run at most once: before such a call
// is sent, its idempotency key is claimed at a majority of the holders, which are
// the control VMs that keep claim records in the current epoch. Client is the
// claimant's side, Server and Core are the holder's side.
//
// Each holder has one entry for a key. The entry is free at first; then it is
// claimed by one attempt, sealed so that no attempt gets it, or resolved with the
// outcome of the call. A claimant may send the call once its attempt has the
// entries of a majority. A key that is sealed at a majority can never run.
//
// The package doesn't send calls and doesn't decide which control VMs are holders:
// the control group accepts each epoch. The model in spec/claims covers the protocol.
package ledger

import (
	"context"
	"errors"

	"godwityoke.example/godwityoke/internal/request"
)

var (
	// ErrConflict means that the key was claimed with another digest.
	ErrConflict = errors.New("the idempotency key was used with other content")
	// ErrInProgress means that another call with the key may be running.
	ErrInProgress = errors.New("a call with this idempotency key is in progress")
	// ErrNoQuorum means that no majority of the holders granted the claim or
	// answered the lookup in time. This claimant has not sent the call and won't.
	ErrNoQuorum = errors.New("no majority of control VMs answered")
	// ErrExpired means that the key was created before the retention period of
	// claim records, so that a record of it may have been pruned.
	ErrExpired = errors.New("the idempotency key is older than the retention")
	// ErrNotFound means that no claim of the key is recorded.
	ErrNotFound = errors.New("no claim of the idempotency key is recorded")
)

// Key identifies a non-idempotent call. The same Value of two teams or two
// services makes two keys.
type Key struct {
	Team    string
	Service string
	Value   string
}

// Record is the recorded outcome of a claimed call.
type Record struct {
	Outcome request.Outcome
	// Status, ContentType and Body are the answer of a completed call. Status is 0
	// if the answer is not kept.
	Status      int
	ContentType string
	Body        []byte
}

// Claim is the right to send one call once.
type Claim interface {
	// Resolve records the outcome of the call. It is called at most once, after
	// the call was sent.
	Resolve(ctx context.Context, record Record) error
	// Abandon seals the key before any byte of the call was sent. It returns
	// request.NotRun if a majority sealed the key, and request.NotSent otherwise.
	Abandon(ctx context.Context) request.Outcome
}

// Claimer claims keys and looks up their records.
type Claimer interface {
	// Claim returns a Claim if the caller may send the call, or else the Record of
	// an earlier call with the same key and digest. Digest is the SHA-256 of the
	// call's method, path and body. The deadline of ctx is the deadline of the call;
	// shortly after it, the claimant no longer counts as live. Errors are of type
	// *RefusedError.
	Claim(ctx context.Context, key Key, digest [32]byte) (Claim, *Record, error)
	// Lookup returns the Record of a key. Its error wraps ErrInProgress or
	// ErrNoQuorum, or is ErrNotFound.
	Lookup(ctx context.Context, key Key) (*Record, error)
}
