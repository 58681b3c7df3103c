package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/hedge"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// HedgeLimitsPath is the HTTP path at which an entry VM shows the limits of hedged requests (GET) and lets operators change
	// them (POST), beside its metrics.
	HedgeLimitsPath = "/hedge-limits"
	// maxHedgeLimitsBytes bounds the body of a change, and thereby the limits of single routes that are kept: a thousand.
	maxHedgeLimitsBytes = 64 << 10
)

// HedgeLimits are the limits of hedged requests in calls to HedgeLimitsPath, as shares of the server time.
type HedgeLimits struct {
	// Share is the limit for all routes, 0 for no hedges.
	Share *float64 `json:"share"`
	// Routes are the limits of single routes. In a change, they replace the earlier ones, which stay if Routes is absent.
	Routes map[string]float64 `json:"routes,omitempty"`
}

// Check returns an error for a change that is not valid.
func (l HedgeLimits) Check() error {
	if l.Share == nil {
		return errors.New("share: the limit for all routes is missing")
	}
	return hedge.Limits{Share: *l.Share, Routes: l.Routes}.Check()
}

// hedgeLimitsHandler shows and changes the limits of an entry VM. A change holds until the process ends.
type hedgeLimitsHandler struct {
	hedges *hedge.Controller
	logger zerolog.Logger
}

// ServeHTTP implements http.Handler.
func (h *hedgeLimitsHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		change, err := decodeHedgeLimits(http.MaxBytesReader(w, r.Body, maxHedgeLimitsBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.apply(change, r.RemoteAddr)
	default:
		http.Error(w, "only GET and POST are allowed", http.StatusMethodNotAllowed)
		return
	}
	limits := h.hedges.Limits()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(HedgeLimits{Share: &limits.Share, Routes: limits.Routes}) // the caller has gone
}

func decodeHedgeLimits(body io.Reader) (change HedgeLimits, err error) {
	content, err := io.ReadAll(body) // the whole body, so that a call which is cut changes nothing
	if err != nil {
		return change, fmt.Errorf("body: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return change, fmt.Errorf("body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return change, errors.New("body: bytes follow the limits")
	}
	return change, change.Check()
}

func (h *hedgeLimitsHandler) apply(change HedgeLimits, by string) {
	var previous hedge.Limits
	if change.Routes == nil {
		previous = h.hedges.SetShare(*change.Share)
	} else {
		previous = h.hedges.SetLimits(hedge.Limits{Share: *change.Share, Routes: change.Routes})
	}
	observe.Log(h.logger, observe.HedgeLimitsChanged).Str("by", by).Float64("share", *change.Share).
		Interface("routes", h.hedges.Limits().Routes).Float64("previous", previous.Share).Interface("previous_routes", previous.Routes).Send()
}
