package callers

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/request"
)

// errorBody is an OpenAI-shaped error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      request.Code    `json:"code"`
	Outcome   request.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

func uintText(value uint64) string { return strconv.FormatUint(value, 10) }

// newErrorBody tells the caller what became of a request.
func newErrorBody(failure *request.Error, id string) errorBody {
	kind := "invalid_request_error"
	if failure.Code.Status() >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorBody{Error: errorDetail{
		Message: failure.Message, Type: kind, Code: failure.Code, Outcome: failure.Outcome, RequestID: id,
	}}
}

// finish sends the error of a call, if it has one, and accounts for it.
func (h *handler) finish(call *filter.Call, err error) {
	if err == nil {
		h.account(call, call.Reply.Outcome, nil)
		return
	}
	failure := asError(call, err)
	h.account(call, failure.Outcome, failure)
	switch {
	case failure.Code == request.CodeCallerGone:
		panic(http.ErrAbortHandler) // closes the connection
	case call.Reply.Finished:
	case call.Reply.Started && call.Inference.Stream:
		endStream(call, failure)
	case call.Reply.Started:
		panic(http.ErrAbortHandler)
	default:
		send(call.Writer, failure, call.ID)
	}
}

// asError hides errors that no filter has mapped.
func asError(call *filter.Call, err error) *request.Error {
	var failure *request.Error
	if errors.As(err, &failure) {
		return failure
	}
	outcome := request.FinalOutcome(true, call.Kind.ForEngine())
	return request.Errorf(request.CodeInternal, outcome, "the request failed inside the system").WithCause(err)
}

// endStream tells the error of a stream that has begun: as its last event, and
// without the event that ends a whole stream.
func endStream(call *filter.Call, failure *request.Error) {
	body, err := json.Marshal(newErrorBody(failure, call.ID))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call.Writer.Header().Set(http.TrailerPrefix+request.OutcomeHeader, string(failure.Outcome))
	_, _ = fmt.Fprintf(call.Writer, "data: %s\n\n", body) // a caller that is gone learns it from the ledger or not at all
}

func send(w http.ResponseWriter, failure *request.Error, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(request.OutcomeHeader, string(failure.Outcome))
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	if closesConnection(failure.Code) {
		header.Set("Connection", "close")
	}
	w.WriteHeader(failure.Code.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(failure, id)) // the caller may be gone
}

// closesConnection reports whether the rest of the caller's body is not worth
// reading.
func closesConnection(code request.Code) bool {
	switch code {
	case request.CodeBodyTooLarge, request.CodeBodyTimeout, request.CodeMissingAPIKey, request.CodeInvalidAPIKey:
		return true
	}
	return false
}

// account counts and logs the end of a call.
func (h *handler) account(call *filter.Call, outcome request.Outcome, failure *request.Error) {
	elapsed := time.Since(call.Received)
	if call.Team != nil {
		h.Metrics.Observe(observe.RequestDuration, call.TeamName(), call.ClassName(), elapsed)
		h.Metrics.CountOutcome(call.TeamName(), call.ClassName(), string(outcome))
	}
	event := observe.RequestEnded
	if failure != nil {
		h.Metrics.Counter("godwityoke_errors_total", observe.Label{Name: "code", Value: string(failure.Code)}).Inc(1)
		if failure.Code.Status() >= http.StatusInternalServerError {
			event = observe.RequestFailed
		}
	}
	line := observe.Log(h.Logger, event).Str("request", call.ID).Str("team", call.TeamName()).
		Str("class", call.ClassName()).Str("outcome", string(outcome)).Dur("elapsed_ms", elapsed)
	if failure != nil {
		line = line.Str("code", string(failure.Code)).AnErr("cause", failure.Cause)
	}
	line.Send()
}

func (h *handler) noBundle(c echo.Context) error {
	failure := request.Errorf(request.CodeNoBackendServer, request.NotRun, "no bundle is in force yet").WithRetryAfter(time.Second)
	send(c.Response().Writer, failure, h.IDGenerator.Next())
	return nil
}

// routeError answers requests that no route takes.
func (h *handler) routeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	failure := request.Errorf(request.CodeInvalidRequest, request.NotRun, "there is nothing at this path")
	status := http.StatusNotFound
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		status = routing.Code
	}
	if status == http.StatusMethodNotAllowed {
		failure.Message = "the method is not allowed at this path"
	}
	c.Response().Header().Set(request.OutcomeHeader, string(request.NotRun))
	_ = c.JSON(status, newErrorBody(failure, h.IDGenerator.Next())) // the caller may be gone
}
