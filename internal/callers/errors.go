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

// errorBody is an error in the format of the OpenAI interface, with the outcome
// and the request's id added.
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

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }

// newErrorBody returns the body that reports failure for the request id.
func newErrorBody(failure *request.Error, id string) errorBody {
	errorType := "invalid_request_error"
	if failure.Code.Status() >= http.StatusInternalServerError {
		errorType = "server_error"
	}
	return errorBody{Error: errorDetail{
		Message: failure.Message, Type: errorType, Code: failure.Code, Outcome: failure.Outcome, RequestID: id,
	}}
}

// finish records the result of a call and reports an error to the caller: as
// the whole answer if none was begun, or as the last event of a begun stream.
// It reports nothing if the answer is complete. If the caller disconnected, or if
// an answer that is not a stream was begun and not completed, it panics with
// http.ErrAbortHandler, which closes the connection.
func (h *handler) finish(call *filter.Call, err error) {
	if err == nil {
		h.recordResult(call, call.Reply.Outcome, nil)
		return
	}
	failure := requestError(call, err)
	h.recordResult(call, failure.Outcome, failure)
	switch {
	case failure.Code == request.CodeCallerGone:
		panic(http.ErrAbortHandler)
	case call.Reply.Finished:
	case call.Reply.Started && call.Inference.Stream:
		writeStreamError(call, failure)
	case call.Reply.Started:
		panic(http.ErrAbortHandler)
	default:
		writeError(call.Writer, failure, call.ID)
	}
}

// requestError returns err as a request error. The caller gets no details of an
// error that no filter has mapped; they stay in its cause.
func requestError(call *filter.Call, err error) *request.Error {
	var failure *request.Error
	if errors.As(err, &failure) {
		return failure
	}
	outcome := request.FinalOutcome(true, call.Kind.ForEngine())
	return request.Errorf(request.CodeInternal, outcome, "the request failed inside the system").WithCause(err)
}

// writeStreamError reports an error in a stream that has begun, as its last
// event. The event that marks a complete stream is left out.
func writeStreamError(call *filter.Call, failure *request.Error) {
	body, err := json.Marshal(newErrorBody(failure, call.ID))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call.Writer.Header().Set(http.TrailerPrefix+request.OutcomeHeader, string(failure.Outcome))
	// The caller may have disconnected. It can look up the outcome if it sent an idempotency key.
	_, _ = fmt.Fprintf(call.Writer, "data: %s\n\n", body)
}

// writeError sends failure as the whole answer.
func writeError(w http.ResponseWriter, failure *request.Error, id string) {
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
	_ = json.NewEncoder(w).Encode(newErrorBody(failure, id)) // the caller may have disconnected
}

// closesConnection reports whether the connection is closed after an error,
// instead of reading the rest of the request's body and keeping the connection.
func closesConnection(code request.Code) bool {
	switch code {
	case request.CodeBodyTooLarge, request.CodeBodyTimeout, request.CodeMissingAPIKey, request.CodeInvalidAPIKey:
		return true
	}
	return false
}

// recordResult counts and logs the result of a call; failure is nil for success.
func (h *handler) recordResult(call *filter.Call, outcome request.Outcome, failure *request.Error) {
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

// writeNoBundle answers a request that arrived before any bundle was in force.
func (h *handler) writeNoBundle(c echo.Context) error {
	failure := request.Errorf(request.CodeNoBackendServer, request.NotRun, "no bundle is in force yet").WithRetryAfter(time.Second)
	writeError(c.Response().Writer, failure, h.IDGenerator.Next())
	return nil
}

// routeError answers requests that match no route. It is echo's handler of all
// errors; it drops an error that occurs after the answer has begun.
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
	_ = c.JSON(status, newErrorBody(failure, h.IDGenerator.Next())) // the caller may have disconnected
}
