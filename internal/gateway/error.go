package gateway

import "fmt"

// Reach tells how far an attempt got before it failed.
type Reach uint8

// Reaches, by what they say of the request.
const (
	// ReachNone: nothing of the request can have reached the server.
	ReachNone Reach = iota + 1
	// ReachRejected: the server says that it did not run the request.
	ReachRejected
	// ReachUnknown: the request may have run.
	ReachUnknown
)

// AttemptError tells why an attempt failed.
type AttemptError struct {
	Reach Reach
	// Server at fault where it is not the one that was asked, an address.
	AtServer string
	// Misdirected tells that another server answers at the address.
	Misdirected bool
	// Silent tells that the server took no connection or sent nothing in time,
	// Errored that it answered with an error of its own.
	Silent  bool
	Errored bool
	Err     error
}

// Error implements error.
func (e *AttemptError) Error() string {
	switch e.Reach {
	case ReachNone:
		return fmt.Sprintf("not sent: %v", e.Err)
	case ReachRejected:
		return fmt.Sprintf("rejected by the server: %v, at fault: %q", e.Err, e.AtServer)
	}
	return fmt.Sprintf("may have run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }
