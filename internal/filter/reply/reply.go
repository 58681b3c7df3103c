// Package reply writes verified answers to the caller.
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
	// writeTimeout bounds each write to a caller that takes nothing.
	writeTimeout = 10 * time.Second
	// recordTimeout bounds the recording of a claimed call's answer.
	recordTimeout = 3 * time.Second
)

// Filter writes answers.
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
		return f.engine(call)
	}
	return f.service(ctx, call)
}

// service records and sends the answer of a plain service.
func (f *Filter) service(ctx context.Context, call *filter.Call) error {
	answer := call.Attempt.Answer
	record := ledger.Record{Outcome: request.Completed, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if answer.Status >= http.StatusInternalServerError {
		record.Outcome = request.Failed
	}
	if call.Service.Claim != nil {
		f.resolve(ctx, call, record)
	}
	return f.SendRecorded(call, &record)
}

func (f *Filter) resolve(ctx context.Context, call *filter.Call, record ledger.Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := call.Service.Claim.Resolve(ctx, record); err != nil {
		observe.Log(f.logger, observe.ClaimNotRecorded).Str("request", call.ID).Err(err).Send()
	}
}

// SendRecorded sends record as the answer of call.
func (f *Filter) SendRecorded(call *filter.Call, record *ledger.Record) error {
	call.Reply.Outcome = record.Outcome
	if record.Status == 0 {
		return request.Errorf(codeOf(record.Outcome), record.Outcome, "an earlier send of the idempotency key ended as %s", record.Outcome)
	}
	header := call.Writer.Header()
	if record.ContentType != "" {
		header.Set("Content-Type", record.ContentType)
	}
	return f.whole(call, record.Status, record.Body)
}

// codeOf returns the code for a recorded outcome without an answer.
func codeOf(outcome request.Outcome) request.Code {
	switch outcome {
	case request.NotRun:
		return request.CodeKeyNotRun
	case request.Completed:
		return request.CodeAnswerNotKept
	}
	return request.CodeOutcomeUnknown
}

// whole sends a response that is known from end to end.
func (f *Filter) whole(call *filter.Call, status int, body []byte) error {
	header := call.Writer.Header()
	header.Set("Content-Length", fmt.Sprint(len(body)))
	header.Set(request.OutcomeHeader, string(call.Reply.Outcome))
	call.Reply.Started = true
	extendWrite(call)
	call.Writer.WriteHeader(status)
	if _, err := call.Writer.Write(body); err != nil {
		return callerGone(call, err)
	}
	call.Reply.Finished = true
	return nil
}

// extendWrite gives the next write its time.
func extendWrite(call *filter.Call) {
	controller := http.NewResponseController(call.Writer)
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported by test writers
}

func callerGone(call *filter.Call, err error) error {
	outcome := call.Reply.Outcome
	if outcome == "" {
		outcome = request.FinalOutcome(true, call.Idempotent())
	}
	return request.Errorf(request.CodeCallerGone, outcome, "the caller takes no answer").WithCause(err)
}
