package relay

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"syscall"
)

// A connection to a relay begins with one request: magic, the length of the body in two bytes, and the body in JSON. The
// answer is a status of one byte. After statusConnected the connection carries the bytes of the connection to the server.
const (
	magic           = "GYR1"
	maxRequestBytes = 1 << 10
)

// openRequest is the first message on a connection to a relay.
type openRequest struct {
	// Server is the "ip:port" of a backend server.
	Server string `json:"server"`
	// Draining and BackoffMs are set in a message that opens no connection. Draining means that the server stated in an
	// answer on a relayed connection that it is draining.
	Draining bool `json:"draining,omitempty"`
	// BackoffMs is the time in milliseconds for which the server stated there that it wants no requests from the relaying
	// VM, 0 for none.
	BackoffMs int64 `json:"backoff_ms,omitempty"`
	// RemainingMs is the time in milliseconds until the request that the connection is for must have ended, 0 if there is
	// no such time.
	RemainingMs int64 `json:"remaining_ms,omitempty"`
	// UnreachableAfterMs is the time in milliseconds after which the connection is closed if the server's VM is
	// unreachable, 0 for the default of package tcp.
	UnreachableAfterMs int64 `json:"unreachable_after_ms,omitempty"`
	// ForRequest is set if a new request is to be sent on the connection, as opposed to memory orders and probes.
	ForRequest bool `json:"for_request,omitempty"`
}

// status is the answer to an openRequest.
type status uint8

const (
	statusConnected status = iota + 1
	// statusUnreachable means that the relaying VM got no connection to the server in time.
	statusUnreachable
	// statusRefused means that the server's VM refused the connection.
	statusRefused
	// statusUnknownServer means that the relaying VM knows no such server.
	statusUnknownServer
	// statusBlocked means that the server wants no requests from the relaying VM for now.
	statusBlocked
	// statusPathBroken means that the relaying VM does not reach the server although others do.
	statusPathBroken
	// statusUnavailable means that the relaying VM stops, is cut off itself or relays too many connections.
	statusUnavailable
)

var (
	// ErrServerUnreachable means that a peer could not connect to the server either.
	ErrServerUnreachable = errors.New("another VM could not reach the server either")
	errUnknownServer     = errors.New("the relaying VM does not know the server")
	errBlocked           = errors.New("the server wants no requests from the relaying VM")
	errEvacuated         = errors.New("the server is in an evacuated zone")
	errPathBroken        = errors.New("the relaying VM does not reach the server, but others do")
	errUnavailable       = errors.New("the relaying VM takes no connections")
	errNotARelay         = errors.New("not a relay request")
)

// err returns the error of an answer, nil for statusConnected.
func (s status) err() error {
	switch s {
	case statusConnected:
		return nil
	case statusUnreachable:
		return ErrServerUnreachable
	case statusRefused:
		return fmt.Errorf("%w: %w", ErrServerUnreachable, syscall.ECONNREFUSED)
	case statusUnknownServer:
		return errUnknownServer
	case statusBlocked:
		return errBlocked
	case statusPathBroken:
		return errPathBroken
	case statusUnavailable:
		return errUnavailable
	}
	return fmt.Errorf("unknown answer %d of the relaying VM", s)
}

func writeRequest(w io.Writer, request openRequest) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode the relay request: %w", err)
	}
	message := append([]byte(magic), 0, 0)
	binary.BigEndian.PutUint16(message[len(magic):], uint16(len(body)))
	_, err = w.Write(append(message, body...))
	return err
}

func readRequest(r io.Reader) (openRequest, error) {
	var head [len(magic) + 2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return openRequest{}, err
	}
	length := binary.BigEndian.Uint16(head[len(magic):])
	if string(head[:len(magic)]) != magic || length > maxRequestBytes {
		return openRequest{}, errNotARelay
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return openRequest{}, err
	}
	var request openRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return openRequest{}, fmt.Errorf("%w: %w", errNotARelay, err)
	}
	return request, nil
}

func writeAnswer(w io.Writer, s status) error {
	_, err := w.Write([]byte{byte(s)})
	return err
}

func readAnswer(r io.Reader) (status, error) {
	var answer [1]byte
	_, err := io.ReadFull(r, answer[:])
	return status(answer[0]), err
}
