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

// lookupTimeout bounds the lookup of a key in the ledger.
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

// identifyCaller returns a call whose team the identify filter has set. If the
// API key is missing or invalid, or no bundle is in force, it answers the caller
// with the error and returns nil.
func (h *handler) identifyCaller(c echo.Context) *filter.Call {
	call := h.newCall(c, request.KindService)
	if call == nil {
		_ = h.writeNoBundle(c)
		return nil
	}
	setStandardHeaders(call)
	if err := h.identifyPipeline.Run(c.Request().Context(), call); err != nil {
		writeError(call.Writer, requestError(call, err), call.ID)
		return nil
	}
	return call
}

// models lists the models and adapters that the team may use.
func (h *handler) models(c echo.Context) error {
	call := h.identifyCaller(c)
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
	// Status, ContentType and Body are the recorded answer of a resolved call.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

const (
	stateResolved   = "resolved"
	stateInProgress = "in_progress"
)

// outcome answers with the outcome of the call under an idempotency key. The
// query parameter service names the plain service.
func (h *handler) outcome(c echo.Context) error {
	call := h.identifyCaller(c)
	if call == nil {
		return nil
	}
	key := ledger.Key{Team: call.Team.Name, Service: c.QueryParam("service"), Value: c.Param("key")}
	if key.Service == "" {
		writeError(call.Writer, request.Errorf(request.CodeInvalidRequest, request.NotRun, "the query parameter service is required"), call.ID)
		return nil
	}
	if h.Claims == nil {
		writeError(call.Writer, lookupError(ledger.ErrNoQuorum), call.ID)
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), lookupTimeout)
	defer cancel()
	record, err := h.Claims.Lookup(ctx, key)
	body := outcomeBody{Key: key.Value, Service: key.Service, Outcome: request.Unknown, State: stateInProgress}
	switch {
	case errors.Is(err, ledger.ErrInProgress):
	case err != nil:
		writeError(call.Writer, lookupError(err), call.ID)
		return nil
	default:
		body.State, body.Outcome = stateResolved, record.Outcome
		body.Status, body.ContentType, body.Body = record.Status, record.ContentType, record.Body
	}
	c.Response().Header().Set(request.OutcomeHeader, string(body.Outcome))
	return c.JSON(http.StatusOK, body)
}

// lookupError maps an error of the ledger. The outcome is unknown even if no
// claim is recorded: a request with the key may still be in flight.
func lookupError(err error) *request.Error {
	if errors.Is(err, ledger.ErrNotFound) {
		return request.Errorf(request.CodeKeyNotFound, request.Unknown, "no claim of the idempotency key is recorded")
	}
	return request.Errorf(request.CodeClaimsUnreachable, request.Unknown, "the outcome cannot be read at this time").WithCause(err)
}
