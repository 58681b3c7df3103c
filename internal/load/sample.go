package load

import (
	"time"

	"godwityoke.example/godwityoke/internal/request"
)

// Sample is what became of one arrival.
type Sample struct {
	Arrival *Arrival
	// FirstToken is the time from the scheduled arrival to the first token, 0
	// when there was none.
	FirstToken time.Duration
	// SendLag is the time from the scheduled arrival until the header of the
	// request had left the client. It grows when the client's machine is busy.
	SendLag time.Duration
	// StallTime is for how long the client's process stood still on a busy
	// machine after that.
	StallTime time.Duration
	// TotalTime is the time from the scheduled arrival to the end.
	TotalTime time.Duration
	// TokenGap is the mean time between tokens.
	TokenGap time.Duration
	// Tokens is the number of verified tokens.
	Tokens int64
	// Outcome is empty when the caller got none.
	Outcome request.Outcome
	Code    request.Code
	// RetryAfter tells that a refusal named a time.
	RetryAfter bool
	// ErrorMessage is the error that the client met or the answer named.
	ErrorMessage string
	// TimedOut tells that no answer came until well after the deadline.
	TimedOut bool
	// ConnectionLost tells that the connection broke, as the death of an entry VM makes
	// it.
	ConnectionLost bool
	// WrongAnswer tells that the answer differs from the expected one.
	WrongAnswer bool
	// Seed identifies the answer in the engines' record of runs.
	Seed uint64
	// Key is the idempotency key that was sent.
	Key string
}

func newSample(arrival *Arrival) Sample { return Sample{Arrival: arrival} }

// InTime reports whether the whole answer came within its time.
func (s *Sample) InTime() bool {
	return s.Outcome == request.Completed && !s.WrongAnswer && s.TotalTime <= s.Arrival.Timeout
}

// offeredTokens is the size of the request in tokens; a service call counts
// as one.
func (s *Sample) offeredTokens() int64 {
	if s.Arrival.Prompt == nil {
		return 1
	}
	return s.Arrival.Prompt.Tokens + s.Arrival.Prompt.AnswerTokens
}
