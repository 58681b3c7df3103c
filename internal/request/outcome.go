// Package request holds the types that travel through the request pipeline:
// the admitted request, its attempts and its outcome.
package request

// Outcome tells the caller what became of a request. It is carried in the
// response header OutcomeHeader and in the body of every error.
type Outcome string

const (
	// Completed means that the whole, verified answer was delivered.
	Completed Outcome = "completed"
	// NotRun means that the request was not run and never will be. For a
	// request with an idempotency key it speaks for the key.
	NotRun Outcome = "not_run"
	// NotSent means that this send was not run and will not be. Other sends
	// of the same idempotency key may have been.
	NotSent Outcome = "not_sent"
	// Failed means that a back end ran the request and reported an error, or
	// that an idempotent request could not be completed in time.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have been run.
	Unknown Outcome = "unknown"
)

// Valid reports whether o is one of the defined outcomes.
func (o Outcome) Valid() bool {
	switch o {
	case Completed, NotRun, NotSent, Failed, Unknown:
		return true
	}
	return false
}

// Header names used towards callers.
const (
	// OutcomeHeader carries the Outcome of a request.
	OutcomeHeader = "X-Godwityoke-Outcome"
	// RequestIDHeader carries the identifier assigned to a request at entry.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader is set by a caller to shorten the time limit of a
	// request. Its value is a Go duration such as "1500ms".
	DeadlineHeader = "X-Godwityoke-Deadline"
	// IdempotencyKeyHeader carries the caller's key for a non-idempotent call.
	IdempotencyKeyHeader = "Idempotency-Key"
	// BundleVersionHeader carries the bundle version that a response was
	// served under.
	BundleVersionHeader = "X-Godwityoke-Bundle-Version"
)
