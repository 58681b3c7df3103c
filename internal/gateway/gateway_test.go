package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// fakes implements all interfaces that a Gateway needs except Caller.
type fakes struct {
	mu sync.Mutex
	// responses[n] is called for attempt n, counted from 0.
	responses   []func(*Attempt) (*Response, error)
	attempts    []Attempt
	outcomes    []schedule.Outcome
	placements  int
	retriesLeft int
	refuse      bool
	// refuseRetries refuses placements that exclude a server; placeDelay is the time until they are granted.
	refuseRetries bool
	placeDelay    time.Duration
	// retriesRequested counts the placement requests that exclude a server.
	retriesRequested int
	stopping         bool
}

func (f *fakes) Send(_ context.Context, attempt *Attempt) (*Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, *attempt)
	return f.responses[len(f.attempts)-1](attempt)
}

func (f *fakes) Reserve(context.Context, roster.Server, string, int, time.Duration) error { return nil }
func (f *fakes) Release(context.Context, roster.Server, string) error                     { return nil }

func (f *fakes) Place(_ context.Context, request schedule.PlacementRequest) (schedule.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isRetry := len(request.Excluded) > 0
	if isRetry {
		f.retriesRequested++
		f.mu.Unlock()
		time.Sleep(f.placeDelay)
		f.mu.Lock()
	}
	if f.refuse || f.refuseRetries && isRetry {
		return schedule.Placement{ID: request.ID, RetryAfter: 2 * time.Second, Reason: "full"}, nil
	}
	f.placements++
	return schedule.Placement{ID: request.ID, Server: "s" + string(rune('1'+len(request.Excluded)))}, nil
}
func (f *fakes) Started(schedule.JobID) {}
func (f *fakes) Ended(_ schedule.JobID, outcome schedule.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}
func (f *fakes) CountRequest(string) {}
func (f *fakes) CanRetry(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retriesLeft > 0
}
func (f *fakes) TryRetry(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retriesLeft--
	return f.retriesLeft >= 0
}
func (f *fakes) Find(id string) (roster.Server, bool) {
	return roster.Server{ID: id, Address: id}, true
}

// fakeCaller records what is sent to the caller.
type fakeCaller struct {
	refusal      RefusalCode
	retryAfter   time.Duration
	failure      FailureCode
	status       int
	body         string
	streamsBegun int
	aborted      bool
	// disconnected makes all writes fail after the head of the response.
	disconnected bool
}

func (c *fakeCaller) Refuse(code RefusalCode, retryAfter time.Duration) {
	c.refusal, c.retryAfter = code, retryAfter
}
func (c *fakeCaller) Fail(code FailureCode) { c.failure = code }
func (c *fakeCaller) WriteResponse(status int, _ http.Header, body []byte) error {
	c.status = status
	if c.disconnected {
		return errReset
	}
	c.body = string(body)
	return nil
}
func (c *fakeCaller) BeginStream(status int, _ http.Header) error {
	c.status = status
	c.streamsBegun++
	return nil
}
func (c *fakeCaller) WriteEvent(raw []byte) error {
	if c.disconnected {
		return errReset
	}
	c.body += string(raw)
	return nil
}
func (c *fakeCaller) Abort() { c.aborted = true }

type fakeBody struct {
	io.Reader
}

func (fakeBody) SetReadDeadline(time.Time) error   { return nil }
func (fakeBody) ClosedByServer(time.Duration) bool { return false }
func (fakeBody) Close() error                      { return nil }

// respond returns a send function for fakes.responses. The response ends properly after body if readErr is nil;
// otherwise reading it fails with readErr after body.
func respond(status int, body string, readErr error) func(*Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) {
		reader := io.Reader(strings.NewReader(body))
		if readErr != nil {
			reader = io.MultiReader(reader, brokenReader{readErr})
		}
		return &Response{Status: status, Header: http.Header{}, Body: fakeBody{reader}, Verified: status < 300, IsStream: true}, nil
	}
}

type brokenReader struct{ err error }

func (b brokenReader) Read([]byte) (int, error) { return 0, b.err }

func failWith(delivery Delivery) func(*Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) {
		return nil, &AttemptError{Delivery: delivery, Err: errors.New("test")}
	}
}

var errReset = errors.New("connection reset")

func testTable() *routes.Table {
	route := func(prefix string, kind routes.Kind, resumable bool) routes.Route {
		return routes.Route{
			Name: prefix, Host: "h", Prefix: "/" + prefix + "/", Kind: kind, Timeout: time.Second,
			TargetLatency: 300 * time.Millisecond, TargetGap: 250 * time.Millisecond,
			Split: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, Resumable: resumable,
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

func serveWith(f *fakes, backend Backend, table *routes.Table, kind, key string, timeout time.Duration) *fakeCaller {
	return serveOptions(Options{
		Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: backend, Memory: f,
		StopsIn: func() (time.Duration, bool) { return time.Second / 2, f.stopping },
	}, kind, key, timeout)
}

func serveOptions(options Options, kind, key string, timeout time.Duration, parts ...quarantine.Subject) *fakeCaller {
	options.Logger = zerolog.Nop()
	caller := &fakeCaller{}
	serveCaller(options, caller, kind, key, timeout, parts...)
	return caller
}

func serveCaller(options Options, caller *fakeCaller, kind, key string, timeout time.Duration, parts ...quarantine.Subject) {
	options.Zone, options.Incarnation, options.Metrics = "a", 1, observe.NewMetrics()
	New(options).Serve(context.Background(), &Request{
		ID: "r1", Host: "h", Path: "/" + kind + "/x", Key: key, ArrivedAt: time.Now(), Timeout: timeout, Parts: parts,
	}, caller)
}

func TestRequestsAreRefusedBeforeSending(t *testing.T) {
	require.Equal(t, RefusedNoRoute, serve(&fakes{}, "gone", "key").refusal)
	require.Equal(t, RefusedUnknownKey, serve(&fakes{}, "safe", "other").refusal)
	caller := serve(&fakes{refuse: true}, "safe", "key")
	require.Equal(t, RefusedOverload, caller.refusal)
	require.Equal(t, 2*time.Second, caller.retryAfter)
	require.Equal(t, RefusedNotReady, serve(&fakes{stopping: true}, "stream", "key").refusal)
}

func TestTeamIsSentInsteadOfTheKey(t *testing.T) {
	f := &fakes{responses: []func(*Attempt) (*Response, error){respond(200, "ok", nil)}}
	require.Equal(t, "ok", serve(f, "unsafe", "key").body)
	require.Equal(t, "team", f.attempts[0].Team)
	require.True(t, f.attempts[0].NewConnection)
	require.LessOrEqual(t, f.attempts[0].Remaining, time.Second)
}

// For each way in which an attempt fails: whether the request is retried, and whether the caller is told that it has
// not run (refused) or may have run (failed).
func TestRetriesAndOutcomes(t *testing.T) {
	ok := respond(200, "ok", nil)
	for _, c := range []struct {
		name, kind   string
		retriesLeft  int
		responses    []func(*Attempt) (*Response, error)
		wantAttempts int
		wantRefused  bool
		wantFailed   bool
		wantBody     string
	}{
		{"safe request is retried after an unknown outcome", "safe", 9,
			[]func(*Attempt) (*Response, error){failWith(DeliveryUnknown), ok},
			2, false, false, "ok"},
		{"safe request fails when the retry budget is spent", "safe", 0,
			[]func(*Attempt) (*Response, error){failWith(DeliveryUnknown)},
			1, false, true, ""},
		{"safe request is retried after a server error", "safe", 9,
			[]func(*Attempt) (*Response, error){respond(500, "no", nil), ok},
			2, false, false, "ok"},
		{"unsafe request is not retried after an unknown outcome", "unsafe", 9,
			[]func(*Attempt) (*Response, error){failWith(DeliveryUnknown)},
			1, false, true, ""},
		{"unsafe request is retried after a rejection", "unsafe", 9,
			[]func(*Attempt) (*Response, error){failWith(DeliveryRejected), ok},
			2, false, false, "ok"},
		{"request rejected by all servers is refused", "unsafe", 9,
			[]func(*Attempt) (*Response, error){failWith(DeliveryRejected), failWith(DeliveryRejected), failWith(DeliveryRejected)},
			3, true, false, ""},
		{"request rejected after an unknown outcome fails", "safe", 9,
			[]func(*Attempt) (*Response, error){failWith(DeliveryUnknown), failWith(DeliveryRejected), failWith(DeliveryRejected)},
			3, false, true, ""},
		{"retry of a request that was not sent needs no budget", "unsafe", 0,
			[]func(*Attempt) (*Response, error){failWith(DeliveryNotSent), ok},
			2, false, false, "ok"},
		{"unsafe request with a truncated response fails", "unsafe", 9,
			[]func(*Attempt) (*Response, error){respond(200, "o", errReset)},
			1, false, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakes{responses: c.responses, retriesLeft: c.retriesLeft}
			caller := serve(f, c.kind, "key")
			require.Len(t, f.attempts, c.wantAttempts)
			require.Equal(t, c.wantRefused, caller.refusal == RefusedOverload)
			require.Equal(t, c.wantFailed, caller.failure != 0)
			require.Equal(t, c.wantBody, caller.body)
			require.Len(t, f.outcomes, f.placements, "each placement must be ended")
		})
	}
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

func TestStreamResumesAfterTheLastWholeEvent(t *testing.T) {
	f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
		respond(200, events+"id: 3\ndata: cu", errReset),
		respond(200, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", nil),
	}}
	caller := serve(f, "stream", "key")
	require.Equal(t, events+"id: 3\ndata: c\n\n", caller.body)
	require.Equal(t, 1, caller.streamsBegun)
	require.EqualValues(t, 2, f.attempts[1].ResumeAfter)
	require.False(t, caller.aborted)
}

func TestStreamThatIsNotResumableIsAborted(t *testing.T) {
	f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){respond(200, events, errReset)}}
	caller := serve(f, "once", "key")
	require.Equal(t, events, caller.body)
	require.True(t, caller.aborted, "a truncated stream must not look complete to the caller")
}

// The caller has events 1 and 2 when the stream breaks off. The second server ends its stream properly.
func TestResumedStreamIsCompleteOnlyAfterTheLastEventSent(t *testing.T) {
	for name, c := range map[string]struct {
		second, want string
		complete     bool
	}{
		"no event":                    {"", "", false},
		"note only":                   {": note\n\n", "", false},
		"earlier events":              {"id: 1\ndata: a\n\n", "", false},
		"last event again":            {"id: 2\ndata: b\n\n", "", false},
		"all events again":            {events, "", true},
		"later event":                 {"id: 3\ndata: c\n\n", "id: 3\ndata: c\n\n", true},
		"earlier event without an id": {"data: x\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n", true},
		"repeated event":              {"id: 3\ndata: c\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n", true},
		"events in descending order":  {"id: 9\ndata: i\n\nid: 3\ndata: c\n\n", "id: 9\ndata: i\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
				respond(200, events, errReset), respond(200, c.second, nil),
			}}
			caller := serve(f, "stream", "key")
			require.Equal(t, events+c.want, caller.body)
			require.Equal(t, c.complete, !caller.aborted)
		})
	}
}

func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
		respond(200, "data: a\n\n", errReset), respond(200, "data: a\n\ndata: b\n\n", nil),
	}}
	caller := serve(f, "stream", "key")
	require.Equal(t, "data: a\n\n", caller.body, "an event must not be sent twice")
	require.True(t, caller.aborted)
}

func TestResponseThatCannotBeSentIsBrokenAndNotAnswered(t *testing.T) {
	for _, kind := range []string{"safe", "stream"} {
		var log bytes.Buffer
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){respond(200, events, nil)}}
		table, caller := testTable(), &fakeCaller{disconnected: true}
		serveCaller(Options{
			Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f,
			StopsIn: func() (time.Duration, bool) { return 0, false }, Logger: zerolog.New(&log),
		}, caller, kind, "key", time.Second)
		require.True(t, caller.aborted, "%s: a truncated response must not look complete", kind)
		require.Contains(t, log.String(), `"name":"request_abandoned"`, kind)
		require.Contains(t, log.String(), `"error":"connection reset"`, kind)
		require.NotContains(t, log.String(), `"status":200`, kind)
	}
}

func TestWholeResponseIsNotSentWithinAStream(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "like events": "id: 3\ndata: c\n\n"} {
		t.Run(name, func(t *testing.T) {
			whole := func(*Attempt) (*Response, error) {
				return &Response{Status: 200, Header: http.Header{}, Body: fakeBody{strings.NewReader(text)}, Verified: true}, nil
			}
			f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){respond(200, events, errReset), whole}}
			caller := serve(f, "stream", "key")
			require.Equal(t, events, caller.body)
			require.True(t, caller.aborted, "a truncated stream must not look complete")
		})
	}
}

func TestErrorResponseIsNotSentWithinAStream(t *testing.T) {
	rest := "id: 3\ndata: c\n\n"
	for _, status := range []int{302, 400, 404, 409, 429, 500, 503} {
		for _, maxAttempts := range []int{2, 3} {
			f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
				respond(200, events, errReset), respond(status, "id: 3\ndata: error text\n\n", nil), respond(200, rest, nil),
			}}
			table := testTable()
			for i := range table.Routes {
				table.Routes[i].MaxAttempts = maxAttempts
			}
			caller := serveWith(f, f, table, "stream", "key", time.Second)
			require.Len(t, f.attempts, maxAttempts)
			require.Equal(t, 200, caller.status)
			require.Zero(t, caller.failure)
			require.Zero(t, caller.refusal)
			resumed := maxAttempts > 2
			require.Equal(t, resumed, !caller.aborted, "status %d: a truncated stream must not look complete", status)
			want := events
			if resumed {
				want += rest
			}
			require.Equal(t, want, caller.body, "status %d", status)
		}
	}
}

// A server that never begins its response delays a resumable stream by about a second, not until its deadline.
func TestStreamIsRetriedWhenServerIsUnresponsive(t *testing.T) {
	f := &fakes{retriesLeft: 9}
	f.responses = []func(*Attempt) (*Response, error){nil, respond(200, events, nil)}
	backend := &unresponsiveFirst{fakes: f}
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 5 * time.Second
	}
	caller := serveWith(f, backend, table, "stream", "key", 5*time.Second)
	require.Equal(t, events, caller.body)
	require.Equal(t, schedule.OutcomeStalled, f.outcomes[0])
}

// unresponsiveFirst is a Backend that does not respond to the first attempt until that is cancelled.
type unresponsiveFirst struct{ *fakes }

func (u *unresponsiveFirst) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	u.mu.Lock()
	isFirst := len(u.attempts) == 0
	if isFirst {
		u.attempts = append(u.attempts, *attempt)
	}
	u.mu.Unlock()
	if isFirst {
		<-ctx.Done()
		return nil, &AttemptError{Delivery: DeliveryUnknown, Err: ctx.Err()}
	}
	return u.fakes.Send(ctx, attempt)
}

func TestSuccessWithoutSignatureIsNotRelayed(t *testing.T) {
	unsigned := func(*Attempt) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Body: fakeBody{strings.NewReader("ok")}}, nil
	}
	f := &fakes{responses: []func(*Attempt) (*Response, error){unsigned}}
	caller := serve(f, "unsafe", "key")
	require.Equal(t, FailedServer, caller.failure)
	require.Empty(t, caller.body)
}

// endlessReader repeats a text without end.
type endlessReader struct {
	text string
	read int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		copied := copy(p[n:], e.text[e.read%len(e.text):])
		n, e.read = n+copied, e.read+copied
	}
	return n, nil
}

func TestEndlessBytesInAResponseEndTheAttempt(t *testing.T) {
	for name, c := range map[string]struct{ kind, text string }{
		"whole response":   {"safe", "x"},
		"line of a stream": {"once", "x"},
		"lines":            {"once", "data: x\n"},
		"blank lines":      {"once", "\n"},
		"events":           {"once", "data: x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			bytes := &endlessReader{text: c.text}
			f := &fakes{responses: []func(*Attempt) (*Response, error){func(*Attempt) (*Response, error) {
				return &Response{Status: http.StatusOK, Header: http.Header{}, Body: fakeBody{bytes}, Verified: true, IsStream: true}, nil
			}}}
			done := make(chan *fakeCaller, 1)
			go func() { done <- serve(f, c.kind, "key") }()
			select {
			case caller := <-done:
				require.True(t, caller.aborted || caller.failure != 0, "the response must not look complete")
				require.Less(t, bytes.read, 2*maxResponseBytes)
			case <-time.After(10 * time.Second):
				require.Fail(t, "the attempt does not end")
			}
		})
	}
}

// slowBody sends the first of its parts at once and the others from resumeAt on. A pending read fails at its deadline,
// also if that is set during the read.
type slowBody struct {
	parts    []string
	resumeAt time.Time
	mu       sync.Mutex
	deadline time.Time
}

func (s *slowBody) ClosedByServer(time.Duration) bool { return false }
func (s *slowBody) SetReadDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = deadline
	return nil
}

func (s *slowBody) Close() error { return nil }

func (s *slowBody) Read(p []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	for len(s.parts) == 1 && time.Now().Before(s.resumeAt) {
		s.mu.Lock()
		passed := !time.Now().Before(s.deadline)
		s.mu.Unlock()
		if passed {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(10 * time.Millisecond)
	}
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	return n, nil
}

func TestStalledStreamGoesOnWhileNoRetryIsAllowed(t *testing.T) {
	for name, retries := range map[string]int{"no retry": 0, "retry": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := &slowBody{parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}}
				slow.resumeAt = time.Now().Add(3 * time.Second)
				f := &fakes{retriesLeft: retries, responses: []func(*Attempt) (*Response, error){
					func(*Attempt) (*Response, error) {
						return &Response{Status: 200, Header: http.Header{}, Body: slow, Verified: true, IsStream: true}, nil
					},
					respond(200, events, nil),
				}}
				table := testTable()
				for i := range table.Routes {
					table.Routes[i].Timeout = 10 * time.Second
				}
				startedAt := time.Now()
				caller := serveWith(f, f, table, "stream", "key", 10*time.Second)
				require.False(t, caller.aborted)
				require.Equal(t, events, caller.body)
				require.Equal(t, retries > 0, time.Since(startedAt) < 2*time.Second, "a stalled stream goes on elsewhere if it may")
			})
		})
	}
}
