package gateway

import "fmt"

// Delivery tells how far an attempt got before it failed.
type Delivery uint8

// Values of Delivery.
const (
	// DeliveryNotSent: nothing of the request can have reached the server.
	DeliveryNotSent Delivery = iota + 1
	// DeliveryRejected: the server says that it did not run the request.
	DeliveryRejected
	// DeliveryUnknown: the request may have run.
	DeliveryUnknown
)

// AttemptError tells why an attempt failed.
type AttemptError struct {
	Delivery Delivery
	// Server at fault where it is not the one that was asked, an address.
	FaultAddress string
	// Misdirected tells that another server answers at the address.
	Misdirected bool
	// Unresponsive tells that the server took no connection or sent nothing in time,
	// Errored that it answered with an error of its own.
	Unresponsive bool
	ServerError  bool
	Err          error
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
