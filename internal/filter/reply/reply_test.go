package reply

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// placement counts the calls of FirstToken.
type placement struct{ firstTokens int }

// Server implements place.Placement.
func (p *placement) Server() place.Server { return place.Server{} }

// FirstToken implements place.Placement.
func (p *placement) FirstToken(time.Time) { p.firstTokens++ }

// Finish implements place.Placement.
func (p *placement) Finish(place.AttemptResult) {}

// newAttempt returns an attempt that yields chunks and then failure, and its placement.
func newAttempt(number int, failure error, chunks ...backendapi.Chunk) (*filter.Attempt, *placement) {
	placed := &placement{}
	return &filter.Attempt{Number: number, Placement: placed, Started: time.Now(), Chunks: func(yield func(backendapi.Chunk, error) bool) {
		for _, chunk := range chunks {
			if !yield(chunk, nil) {
				return
			}
		}
		if failure != nil {
			yield(backendapi.Chunk{}, failure)
		}
	}}, placed
}

// TestAnswerContinuesInTheNextAttempt sends one answer from two attempts, of which the
// first one fails after a token. The caller must get one response with both parts.
func TestAnswerContinuesInTheNextAttempt(t *testing.T) {
	for _, stream := range []bool{true, false} {
		writer := httptest.NewRecorder()
		call := &filter.Call{ID: "id", Kind: request.KindChat, Writer: writer, Received: time.Now(),
			Inference: filter.Inference{Model: &bundle.Model{Name: "scribe"}, Stream: stream}}
		f := New(observe.NewMetrics(), zerolog.Nop())
		cut := errors.New("cut")
		first, firstPlacement := newAttempt(1, cut, backendapi.Chunk{Text: "calm "})
		second, secondPlacement := newAttempt(2, nil, backendapi.Chunk{Text: "sea"}, backendapi.Chunk{End: true, FinishReason: "stop"})
		call.Attempt = first
		require.ErrorIs(t, f.Process(t.Context(), call, nil), cut)
		require.Equal(t, stream, call.Reply.Started)
		call.Attempt = second
		require.NoError(t, f.Process(t.Context(), call, nil))
		require.True(t, call.Reply.Finished)
		require.Equal(t, 1, firstPlacement.firstTokens)
		require.Equal(t, 1, secondPlacement.firstTokens)
		if stream {
			require.Equal(t, 1, strings.Count(writer.Body.String(), `"role"`))
			continue
		}
		var complete answer
		require.NoError(t, json.Unmarshal(writer.Body.Bytes(), &complete))
		require.Equal(t, "calm sea", complete.Choices[0].Message.Content)
	}
}

// TestRecordedOutcomeWithoutAnswer checks the error code for records that hold an
// outcome but no answer, and that no response is written.
func TestRecordedOutcomeWithoutAnswer(t *testing.T) {
	codes := map[request.Outcome]request.Code{
		request.NotRun:    request.CodeKeyNotRun,
		request.Completed: request.CodeAnswerNotKept,
		request.Unknown:   request.CodeOutcomeUnknown,
	}
	f := New(observe.NewMetrics(), zerolog.Nop())
	for outcome, code := range codes {
		writer := httptest.NewRecorder()
		err := f.SendRecorded(&filter.Call{Writer: writer}, &ledger.Record{Outcome: outcome})
		var refused *request.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, code, refused.Code)
		require.Equal(t, outcome, refused.Outcome)
		require.Empty(t, writer.Body.String())
	}
}
