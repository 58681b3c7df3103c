package ledger

import (
	"errors"
	"fmt"

	"godwityoke.example/godwityoke/internal/request"
)

// RefusedError is the error of a claim that was not granted, and of a lookup that
// found no outcome. Its reason is an error of this package or describes an invalid key.
type RefusedError struct {
	Reason error
	// Outcome is request.NotRun if no call with the key can ever run,
	// request.NotSent if only this attempt is known not to run, and
	// request.Unknown if a call with the key may have run.
	Outcome request.Outcome
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("claim refused (%s): %v", e.Outcome, e.Reason)
}

// Unwrap returns e.Reason.
func (e *RefusedError) Unwrap() error { return e.Reason }

func newRefusedError(reason error, outcome request.Outcome) error {
	return &RefusedError{Reason: reason, Outcome: outcome}
}

func asRefusedError(err error, target **RefusedError) bool { return errors.As(err, target) }
