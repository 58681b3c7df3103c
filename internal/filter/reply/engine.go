package reply

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	eventStreamType = "text/event-stream"
	jsonType        = "application/json"
	// doneEvent ends a complete stream.
	doneEvent = "data: [DONE]\n\n"
)

// replyEngine sends the verified tokens of an attempt to the caller. The state is in
// call.Reply, so that the next attempt continues the same answer.
func (f *Filter) replyEngine(call *filter.Call) error {
	for chunk, err := range call.Attempt.Chunks {
		if err != nil {
			return err
		}
		if !chunk.End || chunk.Text != "" {
			f.observeToken(call, time.Now())
			if err := f.writeToken(call, chunk.Text); err != nil {
				return err
			}
		}
		if chunk.End {
			return f.finishAnswer(call, chunk)
		}
	}
	return nil
}

// observeToken records the time to the first token or since the last one in the
// metrics, and reports the first token of an attempt to its placement.
func (f *Filter) observeToken(call *filter.Call, now time.Time) {
	if call.Reply.LastTokenAt.IsZero() {
		f.metrics.Observe(observe.TimeToFirstToken, call.TeamName(), call.ClassName(), now.Sub(call.Received))
	} else {
		f.metrics.Observe(observe.TimeBetweenTokens, call.TeamName(), call.ClassName(), now.Sub(call.Reply.LastTokenAt))
	}
	if !call.Attempt.Streaming {
		call.Attempt.Streaming = true
		call.Attempt.Placement.FirstToken(now)
	}
	call.Reply.LastTokenAt = now
}

// writeToken sends text as an event, or collects it for an answer that is not streamed.
func (f *Filter) writeToken(call *filter.Call, text string) error {
	if !call.Inference.Stream {
		call.Reply.Text = append(call.Reply.Text, text...)
		return nil
	}
	return f.writeEvent(call, newAnswer(call, text, nil))
}

// finishAnswer sends the collected answer, or the last events of a stream.
func (f *Filter) finishAnswer(call *filter.Call, endMark backendapi.Chunk) error {
	call.Reply.Outcome = request.Completed
	if !call.Inference.Stream {
		answer := newAnswer(call, string(call.Reply.Text), &endMark.FinishReason)
		answer.Usage = newUsage(call, endMark)
		body, err := json.Marshal(answer)
		if err != nil {
			return fmt.Errorf("encode the answer: %w", err)
		}
		call.Writer.Header().Set("Content-Type", jsonType)
		return f.writeResponse(call, http.StatusOK, body)
	}
	last := newAnswer(call, "", &endMark.FinishReason)
	last.Usage = newUsage(call, endMark)
	if err := f.writeEvent(call, last); err != nil {
		return err
	}
	call.Writer.Header().Set(http.TrailerPrefix+request.OutcomeHeader, string(request.Completed))
	if err := writeAndFlush(call, []byte(doneEvent)); err != nil {
		return err
	}
	call.Reply.Finished = true
	return nil
}

// writeEvent sends answer as one server-sent event. The first event of a call is
// preceded by the response header.
func (f *Filter) writeEvent(call *filter.Call, answer *answer) error {
	event := &call.Reply.EventBuffer
	event.Reset()
	event.WriteString("data: ")
	if err := json.NewEncoder(event).Encode(answer); err != nil { // Encode appends a line feed
		return fmt.Errorf("encode the event: %w", err)
	}
	event.WriteByte('\n')
	if !call.Reply.Started {
		call.Writer.Header().Set("Content-Type", eventStreamType)
		call.Writer.Header().Set("Cache-Control", "no-cache")
		call.Writer.WriteHeader(http.StatusOK)
		call.Reply.Started = true
	}
	return writeAndFlush(call, event.Bytes())
}

func writeAndFlush(call *filter.Call, event []byte) error {
	extendWriteDeadline(call)
	if _, err := call.Writer.Write(event); err != nil {
		return writeError(call, err)
	}
	if err := http.NewResponseController(call.Writer).Flush(); err != nil {
		return writeError(call, err)
	}
	return nil
}
