package load

import (
	"time"

	"godwityoke.example/godwityoke/internal/request"
)

// Sample is the result of one arrival.
type Sample struct {
	Arrival *Arrival
	// FirstToken is the time from the scheduled arrival to the first token, 0 if
	// there was none.
	FirstToken time.Duration
	// SendLag is the time from the scheduled arrival until the client had sent the
	// header of the request. It includes Definition.ClientDelay and grows when the
	// client's machine is busy.
	SendLag time.Duration
	// StallTime is the time between the sending of the header and the end of the
	// request in which the busy machine did not run the client's process.
	StallTime time.Duration
	// TotalTime is the time from the scheduled arrival to the end of the request.
	TotalTime time.Duration
	// TokenGap is the mean time between two tokens of the answer.
	TokenGap time.Duration
	// Tokens is the number of received tokens that were as expected.
	Tokens int64
	// Outcome is empty if the caller received none.
	Outcome request.Outcome
	Code    request.Code
	// RetryAfter is true if an error response had a Retry-After header.
	RetryAfter bool
	// ErrorMessage is the error of the client, or the message of an error response.
	ErrorMessage string
	// TimedOut is true if the client received no outcome within answerGrace after
	// the deadline.
	TimedOut bool
	// ConnectionLost is true if the request failed without an outcome before it
	// timed out, for example because its entry VM was killed.
	ConnectionLost bool
	// WrongAnswer is true if the answer differs from the expected one.
	WrongAnswer bool
	// Seed identifies the answer in the counts of runs of the engines.
	Seed uint64
	// Key is the idempotency key that was sent, empty for none.
	Key string
}

func newSample(arrival *Arrival) Sample { return Sample{Arrival: arrival} }

// InTime reports whether the whole answer arrived within the timeout, measured from
// the scheduled arrival, and was as expected.
func (s *Sample) InTime() bool {
	return s.Outcome == request.Completed && !s.WrongAnswer && s.TotalTime <= s.Arrival.Timeout
}

// offeredTokens returns the size of the request in tokens of prompt and answer.
// A call of a plain service counts as one.
func (s *Sample) offeredTokens() int64 {
	if s.Arrival.Prompt == nil {
		return 1
	}
	return s.Arrival.Prompt.Tokens + s.Arrival.Prompt.AnswerTokens
}
