package callers

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/request"
)

// lookupTimeout bounds a question to the ledger.
const lookupTimeout = 3 * time.Second

// modelList is the answer of /v1/models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// identified runs the identify filter. It answers the caller and returns nil
// when the key is missing or wrong.
func (h *handler) identified(c echo.Context) *filter.Call {
	call := h.newCall(c, request.KindService)
	if call == nil {
		_ = h.noBundle(c)
		return nil
	}
	setStandardHeaders(call)
	if err := h.lookup.Run(c.Request().Context(), call); err != nil {
		send(call.Writer, asError(call, err), call.ID)
		return nil
	}
	return call
}

// models lists the models and adapters that the team may use.
func (h *handler) models(c echo.Context) error {
	call := h.identified(c)
	if call == nil {
		return nil
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, name := range call.Team.Models {
		list.Data = append(list.Data, modelObject{ID: name, Object: "model", OwnedBy: call.Bundle.Bundle.Name})
		for _, model := range call.Bundle.Bundle.Models {
			if model.Name != name {
				continue
			}
			for _, adapter := range model.Adapters {
				list.Data = append(list.Data, modelObject{ID: name + ":" + adapter.Name, Object: "model", OwnedBy: call.Bundle.Bundle.Name})
			}
		}
	}
	return c.JSON(http.StatusOK, list)
}

// outcomeBody is the answer of /v1/outcomes/{key}.
type outcomeBody struct {
	Key     string          `json:"key"`
	Service string          `json:"service"`
	Outcome request.Outcome `json:"outcome"`
	// State is "resolved" or "in_progress".
	State string `json:"state"`
	// Status, ContentType and Body repeat the answer of a completed call.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

const (
	stateResolved   = "resolved"
	stateInProgress = "in_progress"
)

// outcome tells what became of an idempotency key. The service is named by the
// query parameter of that name.
func (h *handler) outcome(c echo.Context) error {
	call := h.identified(c)
	if call == nil {
		return nil
	}
	key := ledger.Key{Team: call.Team.Name, Service: c.QueryParam("service"), Value: c.Param("key")}
	if key.Service == "" {
		send(call.Writer, request.Errorf(request.CodeInvalidRequest, request.NotRun, "the query parameter service is required"), call.ID)
		return nil
	}
	if h.Claims == nil {
		send(call.Writer, lookupError(ledger.ErrNoQuorum), call.ID)
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), lookupTimeout)
	defer cancel()
	record, err := h.Claims.Lookup(ctx, key)
	body := outcomeBody{Key: key.Value, Service: key.Service, Outcome: request.Unknown, State: stateInProgress}
	switch {
	case errors.Is(err, ledger.ErrInProgress):
	case err != nil:
		send(call.Writer, lookupError(err), call.ID)
		return nil
	default:
		body.State, body.Outcome = stateResolved, record.Outcome
		body.Status, body.ContentType, body.Body = record.Status, record.ContentType, record.Body
	}
	c.Response().Header().Set(request.OutcomeHeader, string(body.Outcome))
	return c.JSON(http.StatusOK, body)
}

// lookupError maps an error of the ledger. That no claim is recorded does not
// say that the key will not run: a send of it may still be on its way.
func lookupError(err error) *request.Error {
	if errors.Is(err, ledger.ErrNotFound) {
		return request.Errorf(request.CodeKeyNotFound, request.Unknown, "no claim of the idempotency key is recorded")
	}
	return request.Errorf(request.CodeClaimsUnreachable, request.Unknown, "the outcome cannot be read at this time").WithCause(err)
}
