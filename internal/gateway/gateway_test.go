package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// fakes stand for everything around a gateway.
type fakes struct {
	mu sync.Mutex
	// sends answers the n-th sending, counted from 0.
	sends    []func(*Attempt) (*Response, error)
	attempts []Attempt
	ends     []schedule.Outcome
	places   int
	budget   int
	refuse   bool
	stopping bool
}

func (f *fakes) Send(_ context.Context, attempt *Attempt) (*Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, *attempt)
	return f.sends[len(f.attempts)-1](attempt)
}

func (f *fakes) Reserve(context.Context, roster.Server, string, int, time.Duration) error { return nil }
func (f *fakes) Release(context.Context, roster.Server, string) error                     { return nil }

func (f *fakes) Place(_ context.Context, ask schedule.PlacementRequest) (schedule.Placement, error) {
	if f.refuse {
		return schedule.Placement{ID: ask.ID, RetryAfter: 2 * time.Second, Reason: "full"}, nil
	}
	f.places++
	return schedule.Placement{ID: ask.ID, Server: "s" + string(rune('1'+len(ask.Excluded)))}, nil
}
func (f *fakes) Started(schedule.JobID) {}
func (f *fakes) Ended(_ schedule.JobID, end schedule.Outcome) {
	f.ends = append(f.ends, end)
}
func (f *fakes) CountRequest(string) {}
func (f *fakes) TryRetry(string) bool {
	f.budget--
	return f.budget >= 0
}
func (f *fakes) Find(id string) (roster.Server, bool) {
	return roster.Server{ID: id, Address: id}, true
}

// fakeCaller records what a caller gets.
type fakeCaller struct {
	refusal    RefusalCode
	retryAfter time.Duration
	failure    FailureCode
	status     int
	body       string
	begun      int
	aborted    bool
}

func (c *fakeCaller) Refuse(code RefusalCode, after time.Duration) {
	c.refusal, c.retryAfter = code, after
}
func (c *fakeCaller) Fail(code FailureCode) { c.failure = code }
func (c *fakeCaller) WriteResponse(status int, _ http.Header, body []byte) error {
	c.status, c.body = status, string(body)
	return nil
}
func (c *fakeCaller) BeginStream(status int, _ http.Header) error {
	c.status = status
	c.begun++
	return nil
}
func (c *fakeCaller) WriteEvent(raw []byte) error {
	c.body += string(raw)
	return nil
}
func (c *fakeCaller) Abort() { c.aborted = true }

type fakeBody struct {
	io.Reader
}

func (fakeBody) SetReadDeadline(time.Time) error { return nil }
func (fakeBody) Close() error                    { return nil }

func answers(status int, body string, end error) func(*Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) {
		reader := io.Reader(strings.NewReader(body))
		if end != nil {
			reader = io.MultiReader(reader, brokenReader{end})
		}
		return &Response{Status: status, Header: http.Header{}, Body: fakeBody{reader}, Verified: status < 300}, nil
	}
}

type brokenReader struct{ err error }

func (b brokenReader) Read([]byte) (int, error) { return 0, b.err }

func fails(reach Delivery) func(*Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) {
		return nil, &AttemptError{Delivery: reach, Err: errors.New("test")}
	}
}

var errReset = errors.New("connection reset")

func testTable() *routes.Table {
	route := func(prefix string, kind routes.Kind, resumable bool) routes.Route {
		return routes.Route{
			Name: prefix, Host: "h", Prefix: "/" + prefix + "/", Kind: kind, Timeout: time.Second, TargetLatency: 300 * time.Millisecond,
			TargetGap: 250 * time.Millisecond, Split: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, Resumable: resumable,
		}
	}
	return routes.New(routes.Table{
		Version: 1, Services: []routes.Service{{Name: "s"}},
		Routes: []routes.Route{
			route("safe", routes.KindSafe, false), route("unsafe", routes.KindUnsafe, false),
			route("stream", routes.KindStream, true), route("once", routes.KindStream, false),
		},
		Teams: []routes.Team{{Name: "team", Keys: []string{"key"}, Priority: -1}},
	})
}

func serve(f *fakes, kind, key string) *fakeCaller {
	return serveWith(f, f, testTable(), kind, key, time.Second)
}

func serveWith(f *fakes, backend Backend, table *routes.Table, kind, key string, patience time.Duration) *fakeCaller {
	g := New(Options{
		Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: backend, Memory: f,
		StopsIn: func() (time.Duration, bool) { return time.Second / 2, f.stopping },
		Zone:    "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
	})
	caller := &fakeCaller{}
	g.Serve(context.Background(), &Request{
		ID: "r1", Host: "h", Path: "/" + kind + "/x", Key: key, ArrivedAt: time.Now(), Timeout: patience,
	}, caller)
	return caller
}

func TestRefusalsBeforeAnythingIsSent(t *testing.T) {
	require.Equal(t, RefusedNoRoute, serve(&fakes{}, "gone", "key").refusal)
	require.Equal(t, RefusedUnknownKey, serve(&fakes{}, "safe", "other").refusal)
	caller := serve(&fakes{refuse: true}, "safe", "key")
	require.Equal(t, RefusedOverload, caller.refusal)
	require.Equal(t, 2*time.Second, caller.retryAfter)
	require.Equal(t, RefusedNotReady, serve(&fakes{stopping: true}, "stream", "key").refusal)
}

func TestTeamGoesOnAndTheKeyDoesNot(t *testing.T) {
	f := &fakes{sends: []func(*Attempt) (*Response, error){answers(200, "ok", nil)}}
	require.Equal(t, "ok", serve(f, "unsafe", "key").body)
	require.Equal(t, "team", f.attempts[0].Team)
	require.True(t, f.attempts[0].NewConnection)
	require.LessOrEqual(t, f.attempts[0].Remaining, time.Second)
}

// What may be sent again, and what the caller may conclude, for each way in
// which a sending fails.
func TestRepeatsAndOutcomes(t *testing.T) {
	ok := answers(200, "ok", nil)
	for _, c := range []struct {
		name, kind string
		budget     int
		sends      []func(*Attempt) (*Response, error)
		wantSends  int
		refused    bool
		failed     bool
		body       string
	}{
		{"safe runs again", "safe", 9, []func(*Attempt) (*Response, error){fails(DeliveryUnknown), ok}, 2, false, false, "ok"},
		{"safe without budget fails", "safe", 0, []func(*Attempt) (*Response, error){fails(DeliveryUnknown)}, 1, false, true, ""},
		{"safe after an error of the server", "safe", 9, []func(*Attempt) (*Response, error){answers(500, "no", nil), ok}, 2, false, false, "ok"},
		{"unsafe never runs twice", "unsafe", 9, []func(*Attempt) (*Response, error){fails(DeliveryUnknown)}, 1, false, true, ""},
		{"unsafe may go elsewhere after a rejection", "unsafe", 9, []func(*Attempt) (*Response, error){fails(DeliveryRejected), ok}, 2, false, false, "ok"},
		{"rejected everywhere has not run", "unsafe", 9, []func(*Attempt) (*Response, error){fails(DeliveryRejected), fails(DeliveryRejected), fails(DeliveryRejected)}, 3, true, false, ""},
		{"rejected after it may have run", "safe", 9, []func(*Attempt) (*Response, error){fails(DeliveryUnknown), fails(DeliveryRejected), fails(DeliveryRejected)}, 3, false, true, ""},
		{"nothing arrived costs no budget", "unsafe", 0, []func(*Attempt) (*Response, error){fails(DeliveryNotSent), ok}, 2, false, false, "ok"},
		{"a broken answer of an unsafe call", "unsafe", 9, []func(*Attempt) (*Response, error){answers(200, "o", errReset)}, 1, false, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakes{sends: c.sends, budget: c.budget}
			caller := serve(f, c.kind, "key")
			require.Len(t, f.attempts, c.wantSends)
			require.Equal(t, c.refused, caller.refusal == RefusedOverload)
			require.Equal(t, c.failed, caller.failure != 0)
			require.Equal(t, c.body, caller.body)
			require.Len(t, f.ends, f.places, "each place is given back")
		})
	}
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	f := &fakes{budget: 9, sends: []func(*Attempt) (*Response, error){
		answers(200, events+"id: 3\ndata: cu", errReset),
		answers(200, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", nil),
	}}
	caller := serve(f, "stream", "key")
	require.Equal(t, events+"id: 3\ndata: c\n\n", caller.body)
	require.Equal(t, 1, caller.begun)
	require.EqualValues(t, 2, f.attempts[1].ResumeAfter)
	require.False(t, caller.aborted)
}

func TestStreamThatMayNotResumeIsBrokenOff(t *testing.T) {
	f := &fakes{budget: 9, sends: []func(*Attempt) (*Response, error){answers(200, events, errReset)}}
	caller := serve(f, "once", "key")
	require.Equal(t, events, caller.body)
	require.True(t, caller.aborted, "an answer that ends early must not look complete")
}

// A server that never begins to answer costs a resumable stream a second, not
// all of its time.
func TestSilentServerIsGivenUp(t *testing.T) {
	f := &fakes{budget: 9}
	f.sends = []func(*Attempt) (*Response, error){nil, answers(200, events, nil)}
	blocking := &silentFirst{fakes: f}
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 5 * time.Second
	}
	caller := serveWith(f, blocking, table, "stream", "key", 5*time.Second)
	require.Equal(t, events, caller.body)
	require.Equal(t, schedule.OutcomeStalled, f.ends[0])
}

// silentFirst does not answer the first sending.
type silentFirst struct{ *fakes }

func (s *silentFirst) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	if len(s.attempts) == 0 {
		s.attempts = append(s.attempts, *attempt)
		<-ctx.Done()
		return nil, &AttemptError{Delivery: DeliveryUnknown, Err: ctx.Err()}
	}
	return s.fakes.Send(ctx, attempt)
}

func TestSuccessWithoutSignatureIsNotPassedOn(t *testing.T) {
	unsigned := func(*Attempt) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Body: fakeBody{strings.NewReader("ok")}}, nil
	}
	f := &fakes{sends: []func(*Attempt) (*Response, error){unsigned}}
	caller := serve(f, "unsafe", "key")
	require.Equal(t, FailedServer, caller.failure)
	require.Empty(t, caller.body)
}
