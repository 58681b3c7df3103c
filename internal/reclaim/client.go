package reclaim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// maxReplyBytes bounds an engine's answer.
const maxReplyBytes = 4 << 20

// Client asks engines over HTTP. It implements EngineClient.
type Client struct {
	transport http.RoundTripper
}

// NewClient returns a client. A transport that opens a connection for each
// request keeps silent connections out of the way.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{transport: transport}
}

// Cancel implements EngineClient.
func (c *Client) Cancel(ctx context.Context, address string, attempts []string) ([]string, error) {
	body, err := json.Marshal(backendapi.CancelRequest{Attempts: attempts})
	if err != nil {
		return nil, fmt.Errorf("encode the cancel request: %w", err)
	}
	var reply backendapi.CancelReply
	err = c.call(ctx, http.MethodPost, "http://"+address+backendapi.PathCancel, body, &reply)
	return reply.Released, err
}

// HeldAttempts implements EngineClient.
func (c *Client) HeldAttempts(ctx context.Context, address string) ([]string, error) {
	var list backendapi.AttemptList
	if err := c.call(ctx, http.MethodGet, "http://"+address+backendapi.PathAttempts, nil, &list); err != nil {
		return nil, err
	}
	held := make([]string, len(list.Attempts))
	for i, attempt := range list.Attempts {
		held[i] = attempt.Attempt
	}
	return held, nil
}

func (c *Client) call(ctx context.Context, method, url string, body []byte, reply any) error {
	outgoing, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build the request: %w", err)
	}
	if body != nil {
		outgoing.Header.Set("Content-Type", "application/json")
	}
	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		return fmt.Errorf("ask %s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s: status %d", url, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return fmt.Errorf("read the answer of %s: %w", url, err)
	}
	return nil
}
