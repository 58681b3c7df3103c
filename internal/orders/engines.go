package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

const (
	// maxStateBytes bounds an engine's answer.
	maxStateBytes = 1 << 20
	// callTimeout bounds one call of an engine.
	callTimeout = 2 * time.Second
)

// errStatus tells that an engine answered with an HTTP error.
var errStatus = errors.New("the engine answered with an error")

// EngineClient talks to model engines.
type EngineClient interface {
	// SendOrder gives an order. After an error the order may have been taken.
	SendOrder(ctx context.Context, address string, order *backendapi.Order) (*backendapi.OrderReply, error)
	// State reads what an engine serves.
	State(ctx context.Context, address string) (*backendapi.EngineState, error)
}

// HTTPEngineClient talks to engines by the backend protocol.
type HTTPEngineClient struct {
	client *http.Client
}

// NewHTTPEngineClient returns a client of engines.
func NewHTTPEngineClient() *HTTPEngineClient {
	return &HTTPEngineClient{client: &http.Client{Timeout: callTimeout}}
}

// SendOrder implements EngineClient.
func (e *HTTPEngineClient) SendOrder(ctx context.Context, address string, order *backendapi.Order) (*backendapi.OrderReply, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("encode an order: %w", err)
	}
	reply := &backendapi.OrderReply{}
	return reply, e.call(ctx, http.MethodPost, address, backendapi.PathOrder, body, reply)
}

// State implements EngineClient.
func (e *HTTPEngineClient) State(ctx context.Context, address string) (*backendapi.EngineState, error) {
	state := &backendapi.EngineState{}
	return state, e.call(ctx, http.MethodGet, address, backendapi.PathState, nil, state)
}

func (e *HTTPEngineClient) call(ctx context.Context, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call of %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return fmt.Errorf("call of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return fmt.Errorf("answer of %s: %w", address, err)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return fmt.Errorf("answer of %s with status %d: %w", address, response.StatusCode, err)
	}
	if order, ok := reply.(*backendapi.OrderReply); ok && order.Status != "" {
		return nil
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %w: status %d", address, errStatus, response.StatusCode)
	}
	return nil
}
