package request

import (
	"fmt"
	"time"
)

// Error is the error of a request that ends without a complete answer. The caller
// receives its code, outcome and message.
type Error struct {
	Code    Code
	Outcome Outcome
	// Message is shown to the caller. It must not contain internal addresses.
	Message string
	// RetryAfter, when positive, is sent as the Retry-After header.
	RetryAfter time.Duration
	// Cause is logged and not shown to the caller. It may be nil.
	Cause error
}

// Errorf returns an Error with a formatted message.
func Errorf(code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// WithCause returns e with its cause set to err.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// WithRetryAfter returns e with its Retry-After value set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Outcome, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
