package request

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
)

// Step is the point at which an attempt broke.
type Step string

// Steps of an attempt, in order.
const (
	StepResolve Step = "resolve"
	StepDial    Step = "dial"
	StepTLS     Step = "tls"
	StepHeaders Step = "headers"
	StepBody    Step = "body"
	StepWait    Step = "wait"
	StepAnswer  Step = "answer"
	StepEnd     Step = "end"
)

// AttemptError tells how one attempt on one backend server failed.
type AttemptError struct {
	Step Step
	// Sent is true when a byte of the request may have left this VM.
	Sent bool
	// Refused is true when the backend server stated that it ran nothing.
	Refused bool
	// Permanent is true when another attempt would end the same way.
	Permanent bool
	// MadeProgress is true when the attempt delivered at least one verified token.
	MadeProgress bool
	Cause        error
}

// Error implements the error interface.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt broke at step %s: %v", e.Step, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// MayHaveRun reports whether the backend server may have run the request.
func (e *AttemptError) MayHaveRun() bool { return e.Sent && !e.Refused }

// FinalOutcome returns the outcome of a request that will not be attempted again.
// MayHaveRun covers all of its attempts.
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
	// tagBytes is the length of the random part shared by all attempts of one
	// process.
	tagBytes = 8
	// nonceBytes is the length of the random part of each attempt.
	nonceBytes = 16
)

// IDGenerator makes unguessable identifiers that name the process that made
// them.
type IDGenerator struct {
	tag string
}

// NewIDGenerator returns identifiers with a tag of their own.
func NewIDGenerator() *IDGenerator {
	return &IDGenerator{tag: randomHex(tagBytes)}
}

// Next returns a new identifier.
func (i *IDGenerator) Next() string { return i.tag + "-" + randomHex(nonceBytes) }

// IsOwn reports whether this process made the identifier.
func (i *IDGenerator) IsOwn(identifier string) bool {
	return strings.HasPrefix(identifier, i.tag+"-")
}

func randomHex(bytes int) string {
	buffer := make([]byte, bytes)
	_, _ = rand.Read(buffer) // never fails, by its contract
	return hex.EncodeToString(buffer)
}
