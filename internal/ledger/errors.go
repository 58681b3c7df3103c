package ledger

import (
	"errors"
	"fmt"

	"godwityoke.example/godwityoke/internal/request"
)

// RefusedError tells that a claim was not granted and what may be said of the
// call. Its reason is one of the errors of this package.
type RefusedError struct {
	Reason error
	// Outcome is NotRun when the key can never run, NotSent when only this
	// send is known not to run, Unknown when a call of the key may have run.
	Outcome request.Outcome
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("claim refused (%s): %v", e.Outcome, e.Reason)
}

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Reason }

func refused(reason error, outcome request.Outcome) error {
	return &RefusedError{Reason: reason, Outcome: outcome}
}

func asRefused(err error, target **RefusedError) bool { return errors.As(err, target) }
