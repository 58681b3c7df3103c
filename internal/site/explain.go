package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"godwityoke.example/godwityoke/internal/gateway"
	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// ExplainPath is the HTTP path at which every process explains where a request would go, beside its metrics.
	ExplainPath = "/explain"
	// explanationsPerSecond limits the explanations: for each, the scheduler is copied by the goroutine that owns it.
	explanationsPerSecond = 1
	// explainTimeout bounds the wait for that goroutine.
	explainTimeout = 4 * time.Second
	// maxTokens bounds the sizes of an explained request, as messages between VMs do.
	maxTokens = 1 << 30
)

// Explanation is the answer of a VM to the question where a request would go. Times are in milliseconds.
type Explanation struct {
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Decides is set if this VM places requests now. Otherwise Ask is the address at which the VM that does can be asked, empty
	// if it is not known.
	Decides bool   `json:"decides"`
	Ask     string `json:"ask,omitempty"`
	// TableVersion is the version of the route table, TableAgeMs the time for which it has been in force here, and SilentMs the
	// time since the last message of the control VM that this VM depends on.
	TableVersion uint64 `json:"table_version"`
	TableAgeMs   int64  `json:"table_age_ms"`
	SilentMs     int64  `json:"silent_ms"`
	// Evacuated are the evacuated zones that this VM knows, with the time of the order.
	Evacuated map[string]time.Time `json:"evacuated,omitempty"`
	Checks    []gateway.Check      `json:"checks"`
	Route     string               `json:"route,omitempty"`
	Service   string               `json:"service,omitempty"`
	// Split are the services of the route with their weights, if there are several.
	Split map[string]uint32 `json:"split,omitempty"`
	// Refused is the reason of a refusal, with RetryAfterMs, also of one by the scheduler.
	Refused      string `json:"refused,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// Placement is what the scheduler would do, absent if a check has failed.
	Placement *schedule.Explanation `json:"placement,omitempty"`
}

// explainer answers explanations with what one process knows.
type explainer struct {
	settings  *Settings
	knowledge func(context.Context) (hub.Knowledge, error)
	explain   func(context.Context, schedule.PlacementRequest) (schedule.Explanation, error)
	options   gateway.PreviewOptions
	limiter   *rate.Limiter
}

func newExplainer(settings *Settings, knowledge func(context.Context) (hub.Knowledge, error),
	explain func(context.Context, schedule.PlacementRequest) (schedule.Explanation, error), options gateway.PreviewOptions) *explainer {
	options.Zone, options.ZoneRegions = settings.Zone, settings.ZoneRegions
	return &explainer{settings: settings, knowledge: knowledge, explain: explain, options: options, limiter: rate.NewLimiter(explanationsPerSecond, 1)}
}

// ServeHTTP implements http.Handler.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := ParseExplainQuery(r.URL.Query())
	switch {
	case r.Method != http.MethodGet:
		http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	case !e.limiter.Allow():
		w.Header().Set("Retry-After", "1")
		http.Error(w, "one explanation per second is answered", http.StatusTooManyRequests)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	result, err := e.answer(ctx, request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result) // the caller has gone
}

func (e *explainer) answer(ctx context.Context, request gateway.PreviewRequest) (*Explanation, error) {
	known, err := e.knowledge(ctx)
	if err != nil {
		return nil, err
	}
	result := &Explanation{
		VM: e.settings.VM, Zone: e.settings.Zone, Decides: known.Decides,
		TableAgeMs: known.TableAge.Milliseconds(), SilentMs: known.Silent.Milliseconds(), Evacuated: known.Evacuated,
	}
	if host, _, err := net.SplitHostPort(known.DecidedBy); err == nil && !known.Decides {
		result.Ask = net.JoinHostPort(host, strconv.Itoa(MetricsPort))
	}
	if known.Table != nil {
		result.TableVersion = known.Table.Version
	}
	options := e.options
	options.Evacuations, options.ReadyServers = evacuatedZones(known.Evacuated), known.ReadyServers
	preview := gateway.NewPreview(time.Now(), known.Table, request, options)
	result.Checks, result.Service = preview.Checks, preview.Service
	if preview.Route != nil {
		result.Route, result.Split = preview.Route.Name, splitOf(preview.Route)
	}
	if preview.Placement == nil {
		result.Refused, result.RetryAfterMs = preview.Refused, preview.RetryAfter.Milliseconds()
		return result, nil
	}
	placement, err := e.explain(ctx, *preview.Placement)
	if err != nil {
		return nil, err
	}
	result.Placement, result.Refused, result.RetryAfterMs = &placement, placement.Refusal, placement.RetryAfterMs
	return result, nil
}

// evacuatedZones implements gateway.Evacuations with what a VM knew when it was asked.
type evacuatedZones map[string]time.Time

// IsEvacuated implements gateway.Evacuations.
func (z evacuatedZones) IsEvacuated(zone string) bool {
	_, evacuated := z[zone]
	return evacuated
}

// EvacuatedZones implements gateway.Evacuations.
func (z evacuatedZones) EvacuatedZones() int { return len(z) }

// ConfirmEvacuations implements gateway.Evacuations. An explanation does not wait for a newer state.
func (z evacuatedZones) ConfirmEvacuations(context.Context) {}

// splitOf returns the weights of the services of a route, nil if there is only one.
func splitOf(route *routes.Route) map[string]uint32 {
	if len(route.Split) < 2 {
		return nil
	}
	split := map[string]uint32{}
	for _, share := range route.Split {
		split[share.Service] += share.Weight
	}
	return split
}

// ExplainQuery returns the query that asks for an explanation of a request.
func ExplainQuery(request gateway.PreviewRequest) url.Values {
	return url.Values{
		"method": {request.Method}, "host": {request.Host}, "path": {request.Path}, "team": {request.Team},
		"prompt_tokens": {strconv.Itoa(request.PromptTokens)}, "answer_tokens": {strconv.Itoa(request.AnswerTokens)},
	}
}

// ParseExplainQuery is the inverse of ExplainQuery. It checks the request.
func ParseExplainQuery(query url.Values) (gateway.PreviewRequest, error) {
	request := gateway.PreviewRequest{Method: query.Get("method"), Host: query.Get("host"), Path: query.Get("path"), Team: query.Get("team")}
	for name, tokens := range map[string]*int{"prompt_tokens": &request.PromptTokens, "answer_tokens": &request.AnswerTokens} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil {
			return request, fmt.Errorf("%s: %q is no whole number", name, text)
		}
		*tokens = value
	}
	return request, CheckExplainRequest(request)
}

// CheckExplainRequest returns an error for a request that no caller can send.
func CheckExplainRequest(request gateway.PreviewRequest) error {
	switch {
	case request.Method == "" || strings.ToUpper(request.Method) != request.Method || strings.ContainsAny(request.Method, " /"):
		return fmt.Errorf("method: %q is no HTTP method in upper case, such as POST", request.Method)
	case request.Host == "":
		return errors.New("host: the host of the request is missing")
	case !strings.HasPrefix(request.Path, "/"):
		return fmt.Errorf("path: %q does not begin with /", request.Path)
	case request.PromptTokens < 0 || request.PromptTokens > maxTokens:
		return fmt.Errorf("prompt tokens: %d is not between 0 and %d", request.PromptTokens, maxTokens)
	case request.AnswerTokens < 0 || request.AnswerTokens > maxTokens:
		return fmt.Errorf("answer tokens: %d is not between 0 and %d", request.AnswerTokens, maxTokens)
	}
	return nil
}
