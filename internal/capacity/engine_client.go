package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// maxEngineReplyBytes is the maximum size of an engine's response body.
const maxEngineReplyBytes = 4 << 20

// HTTPEngineClient implements EngineClient with the protocol of package backendapi.
type HTTPEngineClient struct {
	client *http.Client
}

// NewHTTPEngineClient returns a client that uses transport.
func NewHTTPEngineClient(transport http.RoundTripper) *HTTPEngineClient {
	return &HTTPEngineClient{client: &http.Client{Transport: transport}}
}

// List implements EngineClient.
func (e *HTTPEngineClient) List(ctx context.Context, engine Engine) ([]HeldAttempt, error) {
	var list backendapi.AttemptList
	if err := e.call(ctx, http.MethodGet, engine.Address, backendapi.PathAttempts, nil, &list); err != nil {
		return nil, fmt.Errorf("list attempts on engine %s: %w", engine.Server, err)
	}
	held := make([]HeldAttempt, len(list.Attempts))
	for i, a := range list.Attempts {
		held[i] = HeldAttempt{Attempt: a.Attempt, Tokens: a.Tokens, Age: time.Duration(a.AgeMillis) * time.Millisecond}
	}
	return held, nil
}

// Cancel implements EngineClient.
func (e *HTTPEngineClient) Cancel(ctx context.Context, engine Engine, attempts []string) ([]string, error) {
	body, err := json.Marshal(backendapi.CancelRequest{Attempts: attempts})
	if err != nil {
		return nil, fmt.Errorf("encode cancel request: %w", err)
	}
	var reply backendapi.CancelReply
	if err := e.call(ctx, http.MethodPost, engine.Address, backendapi.PathCancel, body, &reply); err != nil {
		return nil, fmt.Errorf("cancel attempts on engine %s: %w", engine.Server, err)
	}
	return reply.Released, nil
}

func (e *HTTPEngineClient) call(ctx context.Context, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("engine responded with status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxEngineReplyBytes)).Decode(reply)
}
