package gateway

import "fmt"

// Delivery is how far a failed attempt got, which decides whether the request may be retried.
type Delivery uint8

// Values of Delivery.
const (
	// DeliveryNotSent means that no part of the request can have reached the server.
	DeliveryNotSent Delivery = iota + 1
	// DeliveryRejected means that the server stated that it did not run the request.
	DeliveryRejected
	// DeliveryUnknown means that the request may have run.
	DeliveryUnknown
)

// AttemptError is the error of a failed attempt.
type AttemptError struct {
	Delivery Delivery
	// FaultAddress is the address of the server that caused the rejection, as stated in the rejection. It is empty
	// when the rejection names no server.
	FaultAddress string
	// Misdirected is set when the rejection states that the request was meant for another server.
	Misdirected bool
	// Unresponsive is set when the server refused the connection or sent nothing in time.
	Unresponsive bool
	// Confirmed is set when another VM could not reach the server either.
	Confirmed bool
	// Relayed is set when the attempt failed on a connection that another VM relays.
	Relayed bool
	// ServerSound is set when the server has ended its response properly and most likely is not at fault, although the
	// response may be incomplete.
	ServerSound bool
	// InDoubt is set when the server has ended its response properly and nothing but the end speaks for its being complete.
	InDoubt bool
	// AtDeadline is set when the server may have ended its response because of the deadline of the request.
	AtDeadline bool
	// ServerError is set when the server responded with a 5xx status.
	ServerError bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *AttemptError) Error() string {
	switch e.Delivery {
	case DeliveryNotSent:
		return fmt.Sprintf("not sent: %v", e.Err)
	case DeliveryRejected:
		return fmt.Sprintf("rejected by the server: %v, at fault: %q", e.Err, e.FaultAddress)
	}
	return fmt.Sprintf("may have run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }
