// Package ledger makes non-idempotent calls run at most once: before such a
// call is sent, a majority of the control VMs record its idempotency key.
package ledger

import (
	"context"
	"errors"

	"godwityoke.example/godwityoke/internal/request"
)

var (
	// ErrConflict tells that the key was claimed with other content.
	ErrConflict = errors.New("the idempotency key was used with other content")
	// ErrInProgress tells that another send of the key is running.
	ErrInProgress = errors.New("a call with this idempotency key is in progress")
	// ErrNoQuorum tells that no majority of control VMs answered in time.
	// Nothing was sent and nothing will be by this claimant.
	ErrNoQuorum = errors.New("no majority of control VMs answered")
	// ErrExpired tells that the key is older than the retention of records.
	ErrExpired = errors.New("the idempotency key is older than the retention")
	// ErrNotFound tells that no claim of the key is recorded.
	ErrNotFound = errors.New("no claim of the idempotency key is recorded")
)

// Key identifies a non-idempotent call: the same key of two teams or services
// differs.
type Key struct {
	Team    string
	Service string
	Value   string
}

// Record is the recorded end of a claimed call.
type Record struct {
	Outcome request.Outcome
	// Status, ContentType and Body repeat the answer of a completed call.
	// Status is 0 where no answer is kept.
	Status      int
	ContentType string
	Body        []byte
}

// Claim is a granted right to send one call once.
type Claim interface {
	// Resolve records the end of the call. It is called at most once, after
	// the call was sent.
	Resolve(ctx context.Context, record Record) error
	// Abandon gives the claim up before any byte was sent. It returns NotRun
	// when the key is sealed by a majority, and NotSent when it could not be.
	Abandon(ctx context.Context) request.Outcome
}

// Claimer is the claimant's side of the ledger.
type Claimer interface {
	// Claim returns a Claim when the caller may send the call, or the Record
	// of an earlier send with the same digest. Digest is the SHA-256 of the
	// call's method, path and body.
	Claim(ctx context.Context, key Key, digest [32]byte) (Claim, *Record, error)
	// Lookup returns the Record of a key, ErrInProgress or ErrNotFound.
	Lookup(ctx context.Context, key Key) (*Record, error)
}
