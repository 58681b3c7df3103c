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
	// attemptTimeout bounds one request to one control VM.
	attemptTimeout = 3 * time.Second
	// memberTimeout bounds one request for a change of the members.
	memberTimeout = 8 * time.Second
	// connectTimeout bounds the connection to one control VM.
	connectTimeout = time.Second
	// retryWait is the pause after all control VMs were asked in vain.
	retryWait = 200 * time.Millisecond
)

// ErrNoLeader tells that no control VM could answer as the leader in time.
var ErrNoLeader = errors.New("no control VM answered as the leader")

// Client talks to the leader of the control group. Every request is safe to
// send again, and Client does so until it is answered or its context ends.
type Client struct {
	addresses []string
	scheme    string
	http      *http.Client
}

// NewClient returns a client that knows the operators' addresses ("ip:port")
// of some control VMs. Config, when not nil, turns on TLS.
func NewClient(addresses []string, config *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	client := NewClientWithTransport(addresses, &http.Transport{TLSClientConfig: config, DialContext: dialer.DialContext})
	if config != nil {
		client.scheme = "https"
	}
	return client
}

// NewClientWithTransport returns a client that sends its requests by transport.
func NewClientWithTransport(addresses []string, transport http.RoundTripper) *Client {
	return &Client{addresses: addresses, scheme: "http", http: &http.Client{Transport: transport}}
}

// Submit submits a bundle.
func (c *Client) Submit(ctx context.Context, request *SubmitRequest) (*SubmitReply, error) {
	return call[SubmitReply](ctx, c, http.MethodPost, PathSubmit, request)
}

// Roll starts or stops a roll.
func (c *Client) Roll(ctx context.Context, request *RollRequest) (*SubmitReply, error) {
	return call[SubmitReply](ctx, c, http.MethodPost, PathRoll, request)
}

// Status asks where the newest bundle has taken hold.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, http.MethodGet, PathStatus, nil)
}

// Newest asks for the newest accepted bundle.
func (c *Client) Newest(ctx context.Context) (*NewestReply, error) {
	return call[NewestReply](ctx, c, http.MethodGet, PathNewest, nil)
}

// VMs lists the members of the control group.
func (c *Client) VMs(ctx context.Context) (*VMList, error) {
	return call[VMList](ctx, c, http.MethodGet, PathVMs, nil)
}

// AddVM adds a control VM.
func (c *Client) AddVM(ctx context.Context, request *VMRequest) (*VMList, error) {
	return call[VMList](ctx, c, http.MethodPost, PathVMs, request)
}

// RemoveVM removes the control VM called name.
func (c *Client) RemoveVM(ctx context.Context, name string) (*VMList, error) {
	return call[VMList](ctx, c, http.MethodDelete, PathVMs+"/"+name, nil)
}

// call sends a request to the leader until it is answered.
func call[Reply any](ctx context.Context, c *Client, method, path string, request any) (*Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	for {
		reply := new(Reply)
		last := c.round(ctx, method, path, body, reply)
		if last == nil {
			return reply, nil
		}
		var refused *ErrorReply
		if errors.As(last, &refused) && refused.final() {
			return nil, refused
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, last)
		case <-time.After(retryWait):
		}
	}
}

// final reports whether another attempt would get the same answer.
func (e *ErrorReply) final() bool { return e.Code == ErrorBadRequest || e.Code == ErrorRefused }

// round asks each known control VM once, and those that are named as the
// leader first, until one answers. It returns the last error.
func (c *Client) round(ctx context.Context, method, path string, body []byte, reply any) error {
	last := ErrNoLeader
	targets := slices.Clone(c.addresses)
	tried := map[string]bool{}
	for len(targets) > 0 {
		address := targets[0]
		targets = targets[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		last = c.once(ctx, method, address, path, body, reply)
		var refused *ErrorReply
		if last == nil || errors.As(last, &refused) && refused.final() {
			return last
		}
		if refused != nil && refused.LeaderOperators != "" {
			targets = slices.Insert(targets, 0, refused.LeaderOperators)
		}
	}
	return last
}

func (c *Client) once(ctx context.Context, method, address, path string, body []byte, reply any) error {
	limit := attemptTimeout
	if strings.HasPrefix(path, PathVMs) && method != http.MethodGet {
		limit = memberTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
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
		return errorOf(response.StatusCode, address, text)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("answer of %s: %w", address, err)
	}
	return nil
}

func errorOf(status int, address string, text []byte) error {
	refused := &ErrorReply{}
	if err := json.Unmarshal(text, refused); err != nil || refused.Code == "" {
		return fmt.Errorf("answer of %s: status %d", address, status)
	}
	return refused
}
