package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/explain"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// statedServer returns the server with id as fakes.Find does.
func statedServer(id string) roster.Server { return roster.Server{ID: id, Address: id, Service: "s"} }

// blockedTest holds the fakes of a gateway whose servers s1 to s4 are ready.
type blockedTest struct {
	*fakes
	statements *serverstate.Table
	// beforePlacement is called with the number of earlier placements before each placement is returned.
	beforePlacement func(earlier int)
	helpers         []schedule.Helper
	requests        []schedule.PlacementRequest
	onReserve       func(server roster.Server)
	// onlyServer is the server of every placement, empty for the choice of fakes.
	onlyServer string
	log        bytes.Buffer
}

func newBlockedTest() *blockedTest {
	return &blockedTest{
		fakes: &fakes{}, statements: serverstate.NewTable(),
		beforePlacement: func(int) {}, onReserve: func(roster.Server) {},
	}
}

func (b *blockedTest) Place(ctx context.Context, request schedule.PlacementRequest) (schedule.Placement, error) {
	b.requests = append(b.requests, request)
	placement, err := b.fakes.Place(ctx, request)
	placement.Helpers = b.helpers
	if b.onlyServer != "" {
		placement.Server = b.onlyServer
	}
	b.beforePlacement(len(b.requests) - 1)
	return placement, err
}

func (b *blockedTest) Reserve(_ context.Context, server roster.Server, _ string, _ int, _ time.Duration) error {
	b.onReserve(server)
	return nil
}

func (b *blockedTest) state(id string, statement serverstate.Statement) {
	b.statements.Record(time.Now(), statedServer(id), statement)
}

func (b *blockedTest) serve(kind string, timeout time.Duration) *fakeCaller {
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = timeout
	}
	g := New(Options{
		Table: tableOf(table), Placer: b, Budget: b, Servers: b, Backend: b, Memory: b, Statements: b.statements,
		ReadyServers: func(string) []roster.Server {
			return []roster.Server{statedServer("s1"), statedServer("s2"), statedServer("s3"), statedServer("s4")}
		},
		StopsIn: func() (time.Duration, bool) { return 0, false },
		Zone:    "a", Incarnation: 1, Logger: zerolog.New(zerolog.SyncWriter(&b.log)), Metrics: observe.NewMetrics(),
	})
	caller := &fakeCaller{}
	g.Serve(context.Background(), &Request{ID: "r1", Host: "h", Path: "/" + kind + "/x", Key: "key", ArrivedAt: time.Now(), Timeout: timeout}, caller)
	return caller
}

// sentTo returns the ids of the servers that the request was sent to.
func (b *blockedTest) sentTo() []string {
	var ids []string
	for _, attempt := range b.attempts {
		ids = append(ids, attempt.Server.ID)
	}
	return ids
}

func TestPlacedRequestIsNotSentToServerThatStatedDrainingMeanwhile(t *testing.T) {
	b := newBlockedTest()
	b.responses = append(b.responses, respond(200, "ok", nil))
	b.beforePlacement = func(earlier int) {
		if earlier == 0 {
			b.state("s1", serverstate.Statement{Draining: true})
		}
	}
	require.Equal(t, "ok", b.serve("unsafe", time.Second).body)
	require.Equal(t, []string{"s2"}, b.sentTo())
	require.Len(t, b.outcomes, b.placements, "each placement must be ended")
	require.Zero(t, b.retriesLeft, "nothing was delivered, so that the retry budget must not be charged")
}

func TestRequestIsNotSentWhenAHelperStatedDrainingDuringReservation(t *testing.T) {
	b := newBlockedTest()
	b.responses = append(b.responses, respond(200, events, nil))
	b.helpers = []schedule.Helper{{Server: "h1", ReserveTokens: 100}}
	b.onReserve = func(server roster.Server) {
		b.statements.Record(time.Now(), roster.Server{ID: server.ID, Service: "s"}, serverstate.Statement{Draining: true})
		b.helpers = nil
	}
	require.Equal(t, events, b.serve("stream", time.Second).body)
	require.Len(t, b.attempts, 1)
	require.Empty(t, b.attempts[0].Helpers)
	require.Len(t, b.outcomes, 2, "the slot of the first placement must be released")
	require.Zero(t, b.retriesLeft)
}

func TestBrokenStreamIsNotResumedAtDrainingServer(t *testing.T) {
	b := newBlockedTest()
	b.retriesLeft = 9
	b.responses = append(b.responses, func(a *Attempt) (*Response, error) {
		b.state("s2", serverstate.Statement{Draining: true}) // by an answer to another request, after this stream began
		return respond(200, "id: 1\ndata: a\n\nid: 2", errReset)(a)
	}, respond(200, "id: 2\ndata: b\n\n", nil))
	require.Equal(t, events, b.serve("stream", time.Second).body)
	require.Equal(t, []string{"s1", "s3"}, b.sentTo())
}

func TestBlockedServersAreExcludedFromPlacement(t *testing.T) {
	b := newBlockedTest()
	b.responses = append(b.responses, respond(200, "ok", nil))
	b.state("s2", serverstate.Statement{Draining: true})
	b.state("s1", serverstate.Statement{Backoff: time.Second})
	require.Equal(t, "ok", b.serve("safe", time.Second).body)
	require.Equal(t, []string{"s1", "s2"}, b.requests[0].Excluded)
	require.Equal(t, []string{"s3"}, b.sentTo())
}

func TestRequestIsRefusedAtOnceWhileAllServersWantNone(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, earliest time.Duration
		wantRetryAfter    time.Duration
	}{
		"earliest time within the deadline": {time.Second, 700 * time.Millisecond, 700 * time.Millisecond},
		"earliest time after the deadline":  {500 * time.Millisecond, 700 * time.Millisecond, overloadRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBlockedTest()
			b.state("s1", serverstate.Statement{Backoff: 9 * time.Second})
			b.state("s2", serverstate.Statement{Backoff: c.earliest})
			b.state("s3", serverstate.Statement{Draining: true})
			b.state("s4", serverstate.Statement{Backoff: time.Second})
			startedAt := time.Now()
			caller := b.serve("safe", c.timeout)
			require.Equal(t, RefusedOverload, caller.refusal)
			require.InDelta(t, c.wantRetryAfter, caller.retryAfter, float64(100*time.Millisecond))
			require.Less(t, time.Since(startedAt), 100*time.Millisecond)
			require.Zero(t, b.placements)
		})
	}
}

func TestRequestWaitsForTheNextStepOfARampWithinItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBlockedTest()
		b.responses = append(b.responses, respond(200, "ok", nil))
		for _, id := range []string{"s2", "s3", "s4"} {
			b.state(id, serverstate.Statement{Draining: true})
		}
		b.state("s1", serverstate.Statement{Backoff: 500 * time.Millisecond})
		time.Sleep(500 * time.Millisecond)
		b.statements.Admit(time.Now(), statedServer("s1"))
		startedAt := time.Now()
		b.onlyServer = "s1"
		require.Equal(t, "ok", b.serve("safe", time.Second).body)
		require.Equal(t, 100*time.Millisecond, time.Since(startedAt), "a step takes a fifth of the backoff")
		require.Equal(t, []string{"s1"}, b.sentTo())
	})
}

func TestPlacementsOnBlockedServersEndInARefusal(t *testing.T) {
	b := newBlockedTest()
	b.beforePlacement = func(int) { b.state("s1", serverstate.Statement{Draining: true}) }
	b.onlyServer = "s1"
	g := New(Options{
		Table: tableOf(testTable()), Placer: b, Budget: b, Servers: b, Backend: b, Memory: b, Statements: b.statements,
		StopsIn: func() (time.Duration, bool) { return 0, false }, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
	})
	caller := &fakeCaller{}
	g.Serve(context.Background(), &Request{ID: "r1", Host: "h", Path: "/safe/x", Key: "key", ArrivedAt: time.Now()}, caller)
	require.Equal(t, RefusedOverload, caller.refusal)
	require.Empty(t, b.attempts)
	require.Len(t, b.outcomes, maxTurnedDown)
}

func TestExplainShowsWhichServerWasPassedOverAndWhy(t *testing.T) {
	b := newBlockedTest()
	b.responses = append(b.responses, respond(200, "ok", nil))
	b.state("s3", serverstate.Statement{Backoff: time.Second})
	b.beforePlacement = func(earlier int) {
		if earlier == 0 {
			b.state("s2", serverstate.Statement{Draining: true})
		}
	}
	b.serve("safe", time.Second)
	lines, err := explain.Read(strings.NewReader(b.log.String()), "r1")
	require.NoError(t, err)
	text := ""
	for _, line := range explain.Timeline(lines) {
		text += line.Text + "\n"
	}
	require.Contains(t, text, "s3: backoff, stated ")
	require.Contains(t, text, `"server":"s2","reason":"draining","age":`)
}

func tableOf(table *routes.Table) func() *routes.Table { return func() *routes.Table { return table } }

func TestSilentServerIsNotLeftForABlockedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBlockedTest()
		b.retriesLeft = 9
		slow := &slowBody{parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, resumeAt: time.Now().Add(5 * time.Second)}
		b.responses = append(b.responses, func(*Attempt) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, Body: slow, Verified: true, IsStream: true}, nil
		}, respond(200, "id: 2\ndata: b\n\n", nil))
		b.beforePlacement = func(earlier int) {
			if earlier == 1 { // the placement that the search is about to get
				b.state("s2", serverstate.Statement{Draining: true})
			}
		}
		require.Equal(t, events, b.serve("stream", 10*time.Second).body)
		require.Equal(t, []string{"s1", "s3"}, b.sentTo())
		require.Equal(t, 8, b.retriesLeft, "a placement turned down must not be charged")
	})
}
