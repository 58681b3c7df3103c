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
	eventStream = "text/event-stream"
	jsonContent = "application/json"
	// lastEvent ends a whole stream.
	lastEvent = "data: [DONE]\n\n"
)

// engine hands the verified tokens of an attempt on. The state in call.Reply
// outlives the attempt.
func (f *Filter) engine(call *filter.Call) error {
	for chunk, err := range call.Attempt.Chunks {
		if err != nil {
			return err
		}
		if !chunk.End || chunk.Text != "" {
			f.measure(call, time.Now())
			if err := f.token(call, chunk.Text); err != nil {
				return err
			}
		}
		if chunk.End {
			return f.end(call, chunk)
		}
	}
	return nil
}

// measure records the time to the first token and between tokens.
func (f *Filter) measure(call *filter.Call, now time.Time) {
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

func (f *Filter) token(call *filter.Call, text string) error {
	if !call.Inference.Stream {
		call.Reply.Text = append(call.Reply.Text, text...)
		return nil
	}
	return f.event(call, newAnswer(call, text, nil))
}

func (f *Filter) end(call *filter.Call, end backendapi.Chunk) error {
	call.Reply.Outcome = request.Completed
	if !call.Inference.Stream {
		answer := newAnswer(call, string(call.Reply.Text), &end.FinishReason)
		answer.Usage = newUsage(call, end)
		body, err := json.Marshal(answer)
		if err != nil {
			return fmt.Errorf("encode the answer: %w", err)
		}
		call.Writer.Header().Set("Content-Type", jsonContent)
		return f.whole(call, http.StatusOK, body)
	}
	last := newAnswer(call, "", &end.FinishReason)
	last.Usage = newUsage(call, end)
	if err := f.event(call, last); err != nil {
		return err
	}
	call.Writer.Header().Set(http.TrailerPrefix+request.OutcomeHeader, string(request.Completed))
	if err := write(call, []byte(lastEvent)); err != nil {
		return err
	}
	call.Reply.Finished = true
	return nil
}

// event sends one server-sent event.
func (f *Filter) event(call *filter.Call, answer *answer) error {
	event := &call.Reply.EventBuffer
	event.Reset()
	event.WriteString("data: ")
	if err := json.NewEncoder(event).Encode(answer); err != nil { // ends with a line feed
		return fmt.Errorf("encode the event: %w", err)
	}
	event.WriteByte('\n')
	if !call.Reply.Started {
		call.Writer.Header().Set("Content-Type", eventStream)
		call.Writer.Header().Set("Cache-Control", "no-cache")
		call.Writer.WriteHeader(http.StatusOK)
		call.Reply.Started = true
	}
	return write(call, event.Bytes())
}

func write(call *filter.Call, event []byte) error {
	extendWrite(call)
	if _, err := call.Writer.Write(event); err != nil {
		return callerGone(call, err)
	}
	if err := http.NewResponseController(call.Writer).Flush(); err != nil {
		return callerGone(call, err)
	}
	return nil
}
