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
	groupAnswer = 5
	// groupPrompt is 30 tokens of 4 bytes.
	groupPrompt = 30
)

// fixedGroup is a placement on three engines.
type fixedGroup struct {
	segments []place.GroupSegment
}

func (g *fixedGroup) Server() place.Server           { return g.segments[len(g.segments)-1].Server }
func (g *fixedGroup) FirstToken(time.Time)           {}
func (g *fixedGroup) Finish(place.AttemptResult)     {}
func (g *fixedGroup) BeginPrefill(int)               {}
func (g *fixedGroup) EndPrefill(int)                 {}
func (g *fixedGroup) Segments() []place.GroupSegment { return g.segments }

// ended records the attempts that were ended, and cancels them.
type ended struct {
	mu       sync.Mutex
	begun    map[string]place.Server
	released map[string]bool
}

func (e *ended) Begin(server place.Server, attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun[attempt] = server
}

func (e *ended) End(_ place.Server, attempt string, released bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released[attempt] = released
}

type allAlive struct{}

func (allAlive) IsAlive(string, uint64, time.Time) bool { return true }

// groupCase is a call on three stand-in engines.
type groupCase struct {
	engines []*engine.Server
	call    *filter.Call
	ended   *ended
	filter  *Filter
}

func newGroupCase(t *testing.T) *groupCase {
	t.Helper()
	g := &groupCase{ended: &ended{begun: map[string]place.Server{}, released: map[string]bool{}}}
	group := &fixedGroup{}
	for i := range 3 {
		config := engine.DefaultConfig()
		config.ServerID, config.Zone, config.Listen = fmt.Sprintf("engine-%d", i), "a", "127.0.0.1:0"
		config.Models = []backendapi.ServedModel{{Name: "m", Version: "1"}}
		config.BytesPerToken = 4
		config.Limits.MemoryTokens = 20
		config.Speed.StepBase = 100 * time.Microsecond
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
	g.filter = New(Config{PooledTransport: http.DefaultTransport, FreshTransport: http.DefaultTransport, Liveness: allAlive{}, Reclaimer: g.ended})
	return g
}

func newGroupCall(t *testing.T, group *fixedGroup) *filter.Call {
	text := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d}`, strings.Repeat("word", groupPrompt), groupAnswer)
	body, err := bodybuf.NewPool(1<<20).Read(strings.NewReader(text), int64(len(text)), 1<<20)
	require.NoError(t, err)
	caller, err := http.NewRequest(http.MethodPost, "http://caller"+backendapi.PathCompletions, nil)
	require.NoError(t, err)
	call := &filter.Call{ID: "request", Kind: request.KindCompletion, HTTP: caller, Body: body, Team: &bundle.Team{}, Deadline: time.Now().Add(time.Minute)}
	call.Inference.Class = &bundle.Class{}
	call.Inference.PromptTokens, call.Inference.AnswerTokens = groupPrompt, groupAnswer
	call.Attempt = &filter.Attempt{ID: "attempt", Placement: group}
	return call
}

// run sends the call and returns what the last engine answered.
func (g *groupCase) run() (string, error) {
	var answer string
	err := g.filter.Process(context.Background(), g.call, func(_ context.Context, call *filter.Call) error {
		text, err := io.ReadAll(call.Attempt.Response.Body)
		answer = fmt.Sprint(call.Attempt.Response.StatusCode, " ", string(text))
		return err
	})
	return answer, err
}

// checkEnded checks that every segment is given to the reclaimer.
func (g *groupCase) checkEnded(t *testing.T) {
	t.Helper()
	for _, segment := range []string{"attempt.segment0", "attempt.segment1"} {
		released, found := g.ended.released[segment]
		assert.True(t, found && !released, "%s is to be cancelled", segment)
	}
	assert.Len(t, g.ended.released, len(g.ended.begun))
}

func TestPromptOverThreeEngines(t *testing.T) {
	g := newGroupCase(t)
	answer, err := g.run()
	require.NoError(t, err)
	assert.Contains(t, answer, "200")
	assert.Contains(t, answer, fmt.Sprintf(`"end":true,"count":%d`, groupAnswer))
	assert.NotContains(t, answer, "error")
	for i, server := range g.engines {
		assert.Equal(t, int64(10), server.Counters().PrefillTokens, "engine %d", i)
	}
	g.checkEnded(t)
}

// TestGroupFailsAtEachStep takes an engine away before the steps
// begin. Nothing is left unaccounted for, and the last engine gets nothing.
func TestGroupFailsAtEachStep(t *testing.T) {
	failures := map[string]func(g *groupCase){
		"first engine gone":  func(g *groupCase) { g.engines[0].Close() },
		"second engine gone": func(g *groupCase) { g.engines[1].Close() },
		"third engine gone":  func(g *groupCase) { g.engines[2].Close() },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			g := newGroupCase(t)
			fail(g)
			_, err := g.run()
			var failure *request.AttemptError
			require.ErrorAs(t, err, &failure)
			assert.Zero(t, g.engines[2].Counters().Submitted)
			g.checkEnded(t)
		})
	}
}

// lastUnreachable fails to connect for the last segment.
type lastUnreachable struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l lastUnreachable) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(backendapi.HeaderAttempt) == "attempt" {
		return nil, syscall.ECONNREFUSED
	}
	return l.RoundTripper.RoundTrip(r)
}

// TestGroupWithoutItsLastEngineHasRun: no byte reached the last engine, but the
// others computed their parts of the prompt.
func TestGroupWithoutItsLastEngineHasRun(t *testing.T) {
	g := newGroupCase(t)
	g.filter.PooledTransport = lastUnreachable{http.DefaultTransport}
	_, err := g.run()
	var failure *request.AttemptError
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.MayHaveRun())
	g.checkEnded(t)
}
