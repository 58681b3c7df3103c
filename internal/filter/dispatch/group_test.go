package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/engine"
)

const (
	groupAnswerTokens = 5
	// groupPromptTokens is the prompt length; a token has 4 bytes.
	groupPromptTokens = 30
)

// fixedGroupPlacement is a group placement with given segments.
type fixedGroupPlacement struct {
	segments []place.GroupSegment
}

func (g *fixedGroupPlacement) Server() place.Server           { return g.segments[len(g.segments)-1].Server }
func (g *fixedGroupPlacement) FirstToken(time.Time)           {}
func (g *fixedGroupPlacement) Finish(place.AttemptResult)     {}
func (g *fixedGroupPlacement) BeginPrefill(int)               {}
func (g *fixedGroupPlacement) EndPrefill(int)                 {}
func (g *fixedGroupPlacement) Segments() []place.GroupSegment { return g.segments }

// recordingReclaimer records the attempts that began and how they ended.
type recordingReclaimer struct {
	mu       sync.Mutex
	begun    map[string]place.Server
	released map[string]bool
}

func (r *recordingReclaimer) Begin(server place.Server, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[attempt] = server
}

func (r *recordingReclaimer) End(_ place.Server, attempt string, released bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.released[attempt] = released
}

type alwaysAlive struct{}

func (alwaysAlive) IsAlive(string, uint64, time.Time) bool { return true }

// groupFixture is a call that is placed on a group of three stand-in engines.
type groupFixture struct {
	engines   []*engine.Server
	call      *filter.Call
	reclaimer *recordingReclaimer
	filter    *Filter
}

func newGroupFixture(t *testing.T) *groupFixture {
	t.Helper()
	g := &groupFixture{reclaimer: &recordingReclaimer{begun: map[string]place.Server{}, released: map[string]bool{}}}
	group := &fixedGroupPlacement{}
	for i := range 3 {
		config := engine.DefaultConfig()
		config.ServerID, config.Zone, config.Listen = fmt.Sprintf("engine-%d", i), "a", "127.0.0.1:0"
		config.Models = []backendapi.ServedModel{{Name: "m", Version: "1"}}
		config.BytesPerToken = 4
		config.Limits.MemoryTokens = 20
		config.Speed.StepTime = 100 * time.Microsecond
		server, err := engine.Start(config, zerolog.Nop())
		require.NoError(t, err)
		t.Cleanup(server.Close)
		g.engines = append(g.engines, server)
		start := int64(i) * 10
		group.segments = append(group.segments, place.GroupSegment{
			Server: place.Server{ID: config.ServerID, Address: server.Address()}, Attempt: fmt.Sprintf("attempt.segment%d", i),
			Start: start, End: start + 10, Tokens: 10,
		})
	}
	group.segments[2].Attempt = "attempt"
	g.call = newGroupCall(t, group)
	g.filter = New(Config{PooledTransport: http.DefaultTransport, FreshTransport: http.DefaultTransport, Liveness: alwaysAlive{}, Reclaimer: g.reclaimer})
	return g
}

func newGroupCall(t *testing.T, group *fixedGroupPlacement) *filter.Call {
	text := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d}`, strings.Repeat("word", groupPromptTokens), groupAnswerTokens)
	body, err := bodybuf.NewPool(1<<20).Read(strings.NewReader(text), int64(len(text)), 1<<20)
	require.NoError(t, err)
	caller, err := http.NewRequest(http.MethodPost, "http://caller"+backendapi.PathCompletions, nil)
	require.NoError(t, err)
	call := &filter.Call{ID: "request", Kind: request.KindCompletion, HTTP: caller, Body: body, Team: &bundle.Team{}, Deadline: time.Now().Add(time.Minute)}
	call.Inference.Class = &bundle.Class{}
	call.Inference.PromptTokens, call.Inference.AnswerTokens = groupPromptTokens, groupAnswerTokens
	call.Attempt = &filter.Attempt{ID: "attempt", Placement: group}
	return call
}

// run sends the call and returns the status and the body of the last engine.
func (g *groupFixture) run() (string, error) {
	var answer string
	err := g.filter.Process(context.Background(), g.call, func(_ context.Context, call *filter.Call) error {
		text, err := io.ReadAll(call.Attempt.Response.Body)
		answer = fmt.Sprint(call.Attempt.Response.StatusCode, " ", string(text))
		return err
	})
	return answer, err
}

// assertHelpersCancelled checks that each attempt on a helper was ended as not
// released, so that the reclaimer has it cancelled, and that no attempt was left
// without an end.
func (g *groupFixture) assertHelpersCancelled(t *testing.T) {
	t.Helper()
	for _, segment := range []string{"attempt.segment0", "attempt.segment1"} {
		released, found := g.reclaimer.released[segment]
		assert.True(t, found && !released, "%s must end as not released", segment)
	}
	assert.Len(t, g.reclaimer.released, len(g.reclaimer.begun))
}

// TestGroupPrefillsPromptOnThreeEngines checks that each engine prefills only its
// own segment and that the last one sends the complete answer.
func TestGroupPrefillsPromptOnThreeEngines(t *testing.T) {
	g := newGroupFixture(t)
	answer, err := g.run()
	require.NoError(t, err)
	assert.Contains(t, answer, "200")
	assert.Contains(t, answer, fmt.Sprintf(`"end":true,"count":%d`, groupAnswerTokens))
	assert.NotContains(t, answer, "error")
	for i, server := range g.engines {
		assert.Equal(t, int64(10), server.Counters().PrefillTokens, "engine %d", i)
	}
	g.assertHelpersCancelled(t)
}

// TestGroupFailsWhenAnEngineIsUnreachable closes one engine before the first step.
// The attempt must fail, the last engine must receive no request, and the attempts
// on all helpers must be cancelled.
func TestGroupFailsWhenAnEngineIsUnreachable(t *testing.T) {
	failures := map[string]func(g *groupFixture){
		"first engine gone":  func(g *groupFixture) { g.engines[0].Close() },
		"second engine gone": func(g *groupFixture) { g.engines[1].Close() },
		"third engine gone":  func(g *groupFixture) { g.engines[2].Close() },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			g := newGroupFixture(t)
			fail(g)
			_, err := g.run()
			var failure *request.AttemptError
			require.ErrorAs(t, err, &failure)
			assert.Zero(t, g.engines[2].Counters().Submitted)
			g.assertHelpersCancelled(t)
		})
	}
}

// lastEngineUnreachable refuses the connection for the attempt on the last engine.
type lastEngineUnreachable struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l lastEngineUnreachable) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(backendapi.HeaderAttempt) == "attempt" {
		return nil, syscall.ECONNREFUSED
	}
	return l.RoundTripper.RoundTrip(r)
}

// TestGroupMayHaveRunWithoutItsLastEngine refuses the connection to the last engine.
// No byte reached it, but the helpers have prefilled their segments, so the attempt
// must count as one that may have run.
func TestGroupMayHaveRunWithoutItsLastEngine(t *testing.T) {
	g := newGroupFixture(t)
	g.filter.PooledTransport = lastEngineUnreachable{http.DefaultTransport}
	_, err := g.run()
	var failure *request.AttemptError
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.MayHaveRun())
	g.assertHelpersCancelled(t)
}
