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

// maxReplyBytes bounds the body of an engine's response.
const maxReplyBytes = 4 << 20

// Client implements EngineClient over HTTP.
type Client struct {
	transport http.RoundTripper
}

// NewClient returns a client that uses transport. With a transport that opens a new
// connection for each request, no request is sent on a pooled connection that has
// become unresponsive.
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
	err = c.do(ctx, http.MethodPost, "http://"+address+backendapi.PathCancel, body, &reply)
	return reply.Released, err
}

// HeldAttempts implements EngineClient.
func (c *Client) HeldAttempts(ctx context.Context, address string) ([]string, error) {
	var list backendapi.AttemptList
	if err := c.do(ctx, http.MethodGet, "http://"+address+backendapi.PathAttempts, nil, &list); err != nil {
		return nil, err
	}
	held := make([]string, len(list.Attempts))
	for i, attempt := range list.Attempts {
		held[i] = attempt.Attempt
	}
	return held, nil
}

// do sends a request with an optional JSON body and decodes the JSON response into
// reply. A response with a status other than 200 is an error.
func (c *Client) do(ctx context.Context, method, url string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build the request: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("send the request to %s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("response of %s: status %d", url, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return fmt.Errorf("decode the response of %s: %w", url, err)
	}
	return nil
}
