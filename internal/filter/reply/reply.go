// Package reply sends verified answers to the caller: the tokens of engines in the
// format of the OpenAI API, and the answers of plain services. It resolves the claim
// of an answered call. Responses to failed requests are not written here.
package reply

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// writeTimeout is the timeout of each write to the caller.
	writeTimeout = 10 * time.Second
	// recordTimeout is the timeout for recording the answer of a claimed call.
	recordTimeout = 3 * time.Second
)

// Filter sends answers. It is the last filter of the pipeline and calls no next.
type Filter struct {
	metrics *observe.Metrics
	logger  zerolog.Logger
}

// New returns the filter.
func New(metrics *observe.Metrics, logger zerolog.Logger) *Filter {
	return &Filter{metrics: metrics, logger: logger}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "reply" }

// Process implements filter.Filter.
func (f *Filter) Process(ctx context.Context, call *filter.Call, _ filter.Next) error {
	if call.Kind.ForEngine() {
		return f.replyEngine(call)
	}
	return f.replyService(ctx, call)
}

// replyService records the answer of a plain service, if the call has a claim, and
// then sends it.
func (f *Filter) replyService(ctx context.Context, call *filter.Call) error {
	answer := call.Attempt.Answer
	record := ledger.Record{Outcome: request.Completed, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if answer.Status >= http.StatusInternalServerError {
		record.Outcome = request.Failed
	}
	if call.Service.Claim != nil {
		f.resolveClaim(ctx, call, record)
	}
	return f.SendRecorded(call, &record)
}

// resolveClaim records the answer in the ledger. An error is only logged: the answer is
// sent in any case.
func (f *Filter) resolveClaim(ctx context.Context, call *filter.Call, record ledger.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := call.Service.Claim.Resolve(ctx, record); err != nil {
		observe.Log(f.logger, observe.ClaimNotRecorded).Str("request", call.ID).Err(err).Send()
	}
}

// SendRecorded sends the answer in record to the caller of call. It returns an error
// when record holds only an outcome.
func (f *Filter) SendRecorded(call *filter.Call, record *ledger.Record) error {
	call.Reply.Outcome = record.Outcome
	if record.Status == 0 {
		return request.Errorf(recordedCode(record.Outcome), record.Outcome, "an earlier send of the idempotency key ended as %s", record.Outcome)
	}
	header := call.Writer.Header()
	if record.ContentType != "" {
		header.Set("Content-Type", record.ContentType)
	}
	return f.writeResponse(call, record.Status, record.Body)
}

// recordedCode returns the error code for a recorded outcome without an answer.
func recordedCode(outcome request.Outcome) request.Code {
	switch outcome {
	case request.NotRun:
		return request.CodeKeyNotRun
	case request.Completed:
		return request.CodeAnswerNotKept
	}
	return request.CodeOutcomeUnknown
}

// writeResponse sends a response whose body is complete. That to a HEAD request has no
// length, which would be that of the answer to a GET.
func (f *Filter) writeResponse(call *filter.Call, status int, body []byte) error {
	header := call.Writer.Header()
	if call.Kind.ForEngine() || call.HTTP.Method != http.MethodHead {
		header.Set("Content-Length", fmt.Sprint(len(body)))
	}
	header.Set(request.OutcomeHeader, string(call.Reply.Outcome))
	call.Reply.Started = true
	extendWriteDeadline(call)
	call.Writer.WriteHeader(status)
	if _, err := call.Writer.Write(body); err != nil {
		return writeError(call, err)
	}
	call.Reply.Finished = true
	return nil
}

// extendWriteDeadline sets the deadline of the next write.
func extendWriteDeadline(call *filter.Call) {
	controller := http.NewResponseController(call.Writer)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by httptest.ResponseRecorder
}

// writeError returns the error of a call whose response could not be written, which
// means that the caller disconnected or does not read.
func writeError(call *filter.Call, err error) error {
	outcome := call.Reply.Outcome
	if outcome == "" {
		outcome = request.FinalOutcome(true, call.Idempotent())
	}
	return request.Errorf(request.CodeCallerGone, outcome, "the caller takes no answer").WithCause(err)
}
