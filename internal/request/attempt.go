package request

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
)

// Step is the step at which an attempt failed. Its values are used in logs and metrics.
type Step string

// Steps of an attempt, in order.
const (
	StepResolve Step = "resolve" // building the request or resolving the address
	StepDial    Step = "dial"    // opening a connection
	StepTLS     Step = "tls"     // TLS handshake
	StepHeaders Step = "headers" // sending the request header
	StepBody    Step = "body"    // sending the request body
	StepWait    Step = "wait"    // waiting for the response, or receiving an error status
	StepAnswer  Step = "answer"  // receiving the answer
	StepEnd     Step = "end"     // the answer ended before it was complete
)

// AttemptError is the error of one attempt that ended without a complete answer of the
// backend server. An attempt that was cancelled has one, too.
type AttemptError struct {
	Step Step
	// Sent is true when a byte of the request may have been sent by this VM.
	Sent bool
	// Refused is true when the backend server stated that it did not run any part
	// of the request.
	Refused bool
	// Permanent is true when another attempt is expected to fail the same way.
	Permanent bool
	// MadeProgress is true when the attempt delivered at least one verified token.
	MadeProgress bool
	Cause        error
}

// Error implements the error interface.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt failed at step %s: %v", e.Step, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the backend server may have run the request.
func (e *AttemptError) MayHaveRun() bool { return e.Sent && !e.Refused }

// FinalOutcome returns the outcome of a request that got no answer and is not retried.
// The argument mayHaveRun covers all of its attempts.
func FinalOutcome(mayHaveRun, idempotent bool) Outcome {
	switch {
	case !mayHaveRun:
		return NotRun
	case idempotent:
		return Failed
	}
	return Unknown
}

const (
	// tagBytes is the length of the random part that all identifiers of a generator
	// share.
	tagBytes = 8
	// nonceBytes is the length of the random part of each identifier.
	nonceBytes = 16
)

// IDGenerator generates unguessable identifiers that begin with a tag of the generator.
// A process uses one generator, so that it recognizes its own identifiers after they
// were reported by an engine. IDGenerator is safe for concurrent use.
type IDGenerator struct {
	tag string
}

// NewIDGenerator returns a generator with a random tag.
func NewIDGenerator() *IDGenerator {
	return &IDGenerator{tag: randomHex(tagBytes)}
}

// Next returns a new identifier: the tag, a hyphen, and random hexadecimal digits.
func (g *IDGenerator) Next() string { return g.tag + "-" + randomHex(nonceBytes) }

// IsOwn reports whether this generator generated the identifier.
func (g *IDGenerator) IsOwn(identifier string) bool {
	return strings.HasPrefix(identifier, g.tag+"-")
}

func randomHex(bytes int) string {
	buffer := make([]byte, bytes)
	_, _ = rand.Read(buffer) // crypto/rand.Read never returns an error
	return hex.EncodeToString(buffer)
}
