// Package request defines the vocabulary of the request path: kinds of request,
// outcomes, error codes, errors of requests and of attempts, and the headers that are
// exchanged with callers. The state of a request is in internal/filter.
package request

// Outcome tells the caller how a request ended. It is sent in the response header
// OutcomeHeader and in the body of every error.
type Outcome string

const (
	// Completed means that the complete, verified answer was sent.
	Completed Outcome = "completed"
	// NotRun means that the request was not run and never will be. For a request
	// with an idempotency key, this is true of every request with the key.
	NotRun Outcome = "not_run"
	// NotSent means that this request was not run and will not be. Other requests
	// with the same idempotency key may have been run.
	NotSent Outcome = "not_sent"
	// Failed means that a backend server ran the request and reported an error,
	// or that an idempotent request, which may have run, was not completed.
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

// Headers of requests from callers and of responses to them.
const (
	// OutcomeHeader is the Outcome of the request, in the response.
	OutcomeHeader = "X-Godwityoke-Outcome"
	// RequestIDHeader is the identifier that the entry VM assigned to the request.
	// It is sent to the backend server and to the caller.
	RequestIDHeader = "X-Request-Id"
	// DeadlineHeader is set by a caller to shorten the time limit of a request.
	// Its value is a Go duration such as "1500ms", counted from the arrival of
	// the request.
	DeadlineHeader = "X-Godwityoke-Deadline"
	// IdempotencyKeyHeader is the caller's key for a call that is not idempotent.
	IdempotencyKeyHeader = "Idempotency-Key"
	// BundleVersionHeader is the version of the bundle that was in force for the
	// request, in the response.
	BundleVersionHeader = "X-Godwityoke-Bundle-Version"
)
