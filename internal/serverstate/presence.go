package serverstate

import "time"

// Presence is what a probe on a new connection shows of a server's process.
type Presence struct {
	Result ProbeResult
	// StartedAt is when the process that answered was started, by its own clock; zero if it did not state that.
	StartedAt time.Time
}

// ProbeResult is the result of a probe.
type ProbeResult uint8

// Values of ProbeResult.
const (
	// ProbeUnclear means that the probe shows nothing, or that there was none.
	ProbeUnclear ProbeResult = iota
	// ProbeAnswered means that a process has answered at the server's address.
	ProbeAnswered
	// ProbeRefused means that the server's VM refused the connection, so that no process listens there.
	ProbeRefused
)

// String returns the result for logs.
func (r ProbeResult) String() string {
	switch r {
	case ProbeAnswered:
		return "answered"
	case ProbeRefused:
		return "refused"
	}
	return "unclear"
}
