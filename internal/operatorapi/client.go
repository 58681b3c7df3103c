package operatorapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// attemptTimeout limits one attempt at one control VM. It is longer than a
	// control VM takes to propose a command or to confirm that it is the leader.
	attemptTimeout = 3 * time.Second
	// memberChangeTimeout limits one attempt at a membership change. It is longer
	// than a control VM's own limit.
	memberChangeTimeout = 8 * time.Second
	// connectTimeout limits the connection attempt to one control VM.
	connectTimeout = time.Second
	// retryInterval is the wait before the control VMs are tried again after none
	// of them answered as the leader.
	retryInterval = 200 * time.Millisecond
)

// ErrNoLeader is returned if no control VM answers as the leader before the
// context ends.
var ErrNoLeader = errors.New("no control VM answered as the leader")

// Client sends requests to the leader of the control group. Every request is
// idempotent, so Client resends it until the leader answers or the context ends.
// An error is an *ErrorReply if a control VM rejected the request, and wraps
// ErrNoLeader if none answered. A Client is safe for concurrent use.
type Client struct {
	addresses []string
	scheme    string
	http      *http.Client
}

// NewClient returns a client for a control group. The addresses ("ip:port") are
// the listeners for operators of some of its control VMs. The client uses TLS if
// config isn't nil.
func NewClient(addresses []string, config *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	client := NewClientWithTransport(addresses, &http.Transport{TLSClientConfig: config, DialContext: dialer.DialContext})
	if config != nil {
		client.scheme = "https"
	}
	return client
}

// NewClientWithTransport returns a client that sends plain HTTP requests through
// transport.
func NewClientWithTransport(addresses []string, transport http.RoundTripper) *Client {
	return &Client{addresses: addresses, scheme: "http", http: &http.Client{Transport: transport}}
}

// Submit submits a bundle for acceptance.
func (c *Client) Submit(ctx context.Context, request *SubmitRequest) (*SubmitReply, error) {
	return call[SubmitReply](ctx, c, http.MethodPost, PathSubmit, request)
}

// Roll starts or stops a roll.
func (c *Client) Roll(ctx context.Context, request *RollRequest) (*SubmitReply, error) {
	return call[SubmitReply](ctx, c, http.MethodPost, PathRoll, request)
}

// Status returns which VMs have the newest bundle in force.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, http.MethodGet, PathStatus, nil)
}

// Newest returns the newest accepted bundle. Its version is 0 if there is none yet.
func (c *Client) Newest(ctx context.Context) (*NewestReply, error) {
	return call[NewestReply](ctx, c, http.MethodGet, PathNewest, nil)
}

// VMs returns the members of the control group.
func (c *Client) VMs(ctx context.Context) (*VMList, error) {
	return call[VMList](ctx, c, http.MethodGet, PathVMs, nil)
}

// AddVM adds a control VM and returns the members after the change.
func (c *Client) AddVM(ctx context.Context, request *VMRequest) (*VMList, error) {
	return call[VMList](ctx, c, http.MethodPost, PathVMs, request)
}

// RemoveVM removes the control VM called name and returns the members after the
// change.
func (c *Client) RemoveVM(ctx context.Context, name string) (*VMList, error) {
	return call[VMList](ctx, c, http.MethodDelete, PathVMs+"/"+name, nil)
}

// call sends a request to the leader and retries until it gets a reply, a final
// error reply, or the context ends.
func call[Reply any](ctx context.Context, c *Client, method, path string, request any) (*Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	for {
		reply := new(Reply)
		lastErr := c.sendToLeader(ctx, method, path, body, reply)
		if lastErr == nil {
			return reply, nil
		}
		var errorReply *ErrorReply
		if errors.As(lastErr, &errorReply) && errorReply.isFinal() {
			return nil, errorReply
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, lastErr)
		case <-time.After(retryInterval):
		}
	}
}

// isFinal reports whether a retry would get the same answer.
func (e *ErrorReply) isFinal() bool { return e.Code == ErrorBadRequest || e.Code == ErrorRefused }

// sendToLeader tries each known control VM at most once until one answers as the
// leader. If a VM names the leader, that address is tried next. It returns nil or
// the last error.
func (c *Client) sendToLeader(ctx context.Context, method, path string, body []byte, reply any) error {
	lastErr := ErrNoLeader
	targets := slices.Clone(c.addresses)
	tried := map[string]bool{}
	for len(targets) > 0 {
		address := targets[0]
		targets = targets[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		lastErr = c.send(ctx, method, address, path, body, reply)
		var errorReply *ErrorReply
		if lastErr == nil || errors.As(lastErr, &errorReply) && errorReply.isFinal() {
			return lastErr
		}
		if errorReply != nil && errorReply.LeaderOperators != "" {
			targets = slices.Insert(targets, 0, errorReply.LeaderOperators)
		}
	}
	return lastErr
}

// send makes one attempt at one control VM and decodes the answer into reply.
func (c *Client) send(ctx context.Context, method, address, path string, body []byte, reply any) error {
	timeout := attemptTimeout
	if strings.HasPrefix(path, PathVMs) && method != http.MethodGet {
		timeout = memberChangeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request to %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("request to %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxRequestBytes))
	if err != nil {
		return fmt.Errorf("answer of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeError(response.StatusCode, address, text)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("answer of %s: %w", address, err)
	}
	return nil
}

// decodeError returns the ErrorReply in the body of an answer, or an error with
// the HTTP status if the body holds none.
func decodeError(status int, address string, text []byte) error {
	errorReply := &ErrorReply{}
	if err := json.Unmarshal(text, errorReply); err != nil || errorReply.Code == "" {
		return fmt.Errorf("answer of %s: status %d", address, status)
	}
	return errorReply
}
