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
	// maxReplyBytes is the maximum number of bytes read of an engine's answer.
	maxReplyBytes = 1 << 20
	// callTimeout bounds one call to an engine.
	callTimeout = 2 * time.Second
)

// errHTTPStatus means that an engine answered with an HTTP status other than 200,
// and not with the status of an order.
var errHTTPStatus = errors.New("the engine answered with an error")

// EngineClient calls model engines. Addresses are "ip:port".
type EngineClient interface {
	// SendOrder sends an order to an engine. After an error the engine may have
	// received the order.
	SendOrder(ctx context.Context, address string, order *backendapi.Order) (*backendapi.OrderReply, error)
	// State reads which models an engine serves and loads, and its role.
	State(ctx context.Context, address string) (*backendapi.EngineState, error)
}

// HTTPEngineClient calls engines over the backend protocol.
type HTTPEngineClient struct {
	client *http.Client
}

// NewHTTPEngineClient returns a client whose calls end after callTimeout.
func NewHTTPEngineClient() *HTTPEngineClient {
	return &HTTPEngineClient{client: &http.Client{Timeout: callTimeout}}
}

// SendOrder implements EngineClient.
func (e *HTTPEngineClient) SendOrder(ctx context.Context, address string, order *backendapi.Order) (*backendapi.OrderReply, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("encode order: %w", err)
	}
	reply := &backendapi.OrderReply{}
	return reply, e.call(ctx, http.MethodPost, address, backendapi.PathOrder, body, reply)
}

// State implements EngineClient.
func (e *HTTPEngineClient) State(ctx context.Context, address string) (*backendapi.EngineState, error) {
	state := &backendapi.EngineState{}
	return state, e.call(ctx, http.MethodGet, address, backendapi.PathState, nil, state)
}

// call sends one request and decodes the JSON answer into reply. An order
// reply counts with any HTTP status, as long as it names the order's status.
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
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
		return fmt.Errorf("%s: %w: status %d", address, errHTTPStatus, response.StatusCode)
	}
	return nil
}
