package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// fixedPlacement is a placement on one engine.
type fixedPlacement struct{}

// Server implements place.Placement.
func (fixedPlacement) Server() place.Server { return place.Server{ID: "e1", Address: "10.0.1.1:80"} }

// FirstToken implements place.Placement.
func (fixedPlacement) FirstToken(time.Time) {}

// Finish implements place.Placement.
func (fixedPlacement) Finish(place.AttemptResult) {}

// fakeBackend is a transport that records the request, reports a connection to the
// client trace and answers at once. It also serves as Liveness and Reclaimer.
type fakeBackend struct {
	received http.Header
	body     string
}

// RoundTrip implements http.RoundTripper.
func (b *fakeBackend) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	read, err := io.ReadAll(r.Body)
	b.received, b.body = r.Header, string(read)
	_ = r.Body.Close()
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, err
}

// IsAlive implements Liveness.
func (b *fakeBackend) IsAlive(string, uint64, time.Time) bool { return true }

// Begin implements Reclaimer.
func (b *fakeBackend) Begin(place.Server, string) {}

// End implements Reclaimer.
func (b *fakeBackend) End(place.Server, string, bool) {}

// TestAttemptHeadersDescribeTheCall sends an attempt that resumes after 7 verified
// tokens. The team has priority 8 and the prompt is not short, so that
// place.EnginePriority returns 4. The caller's Authorization header must not be
// sent on, and the body must be unchanged.
func TestAttemptHeadersDescribeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = `{"model":"scribe:eulogy","prompt":"hi"}`
		pool := bodybuf.NewPool(1 << 20)
		buffer, err := pool.Read(strings.NewReader(body), int64(len(body)), 1000)
		require.NoError(t, err)
		outgoing, err := http.NewRequest(http.MethodPost, "/v1/completions", nil)
		require.NoError(t, err)
		outgoing.Header.Set("Authorization", "Bearer secret")
		call := &filter.Call{
			ID: "request", Kind: request.KindCompletion, HTTP: outgoing, Body: buffer, VerifiedTokens: 7,
			Deadline: time.Now().Add(2 * time.Second), Team: &bundle.Team{Priority: 8},
			Inference: filter.Inference{Class: &bundle.Class{}, Adapter: "eulogy", PromptTokens: 3, AnswerTokens: 20},
			Attempt:   &filter.Attempt{ID: "attempt", Placement: fixedPlacement{}},
		}
		engine := &fakeBackend{}
		f := New(Config{PooledTransport: engine, FreshTransport: engine, Liveness: engine, Reclaimer: engine})
		sent := false
		err = f.Process(t.Context(), call, func(context.Context, *filter.Call) error {
			sent = call.Attempt.Sent
			return nil
		})
		require.NoError(t, err)
		require.True(t, sent)
		require.Equal(t, body, engine.body)
		for name, expected := range map[string]string{
			backendapi.HeaderAttempt: "attempt", backendapi.HeaderPriority: "4", backendapi.HeaderBudget: "2000",
			backendapi.HeaderPromptTokens: "3", backendapi.HeaderMemoryTokens: "23", backendapi.HeaderResumeFrom: "7",
			backendapi.HeaderAdapter: "eulogy", "Authorization": "",
		} {
			require.Equal(t, expected, engine.received.Get(name), name)
		}
		buffer.Release()
		require.Zero(t, pool.UsedBytes())
	})
}
