package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// crashingServers is a Backend whose servers crash when they begin an answer to a prompt with the part.
type crashingServers struct {
	*fakes
	part    quarantine.Subject
	crashes int
}

func (c *crashingServers) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	for _, part := range attempt.Request.Parts {
		if part == c.part {
			c.crashes++
			attempt.Server.StartedAt = time.Unix(int64(c.crashes), 0) // each start is another run of the server
			return nil, &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the response: %w", io.ErrUnexpectedEOF)}
		}
	}
	return respond(http.StatusOK, events+"id: 3\ndata: c\n\n", nil)(attempt)
}

// servePrompts serves a stream for each prompt, one after the other, and returns their callers.
func servePrompts(backend *crashingServers, prompts ...[]quarantine.Subject) []*fakeCaller {
	table := testTable()
	g := New(Options{
		Table: func() *routes.Table { return table }, Placer: backend, Budget: backend, Servers: backend, Backend: backend,
		Memory: backend, StopsIn: func() (time.Duration, bool) { return 0, false },
		Zone: "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
	})
	var callers []*fakeCaller
	for n, parts := range prompts {
		caller := &fakeCaller{}
		g.Serve(context.Background(), &Request{
			ID: fmt.Sprintf("r%d", n), Host: "h", Path: "/stream/x", Body: []byte(fmt.Sprint(n)), Key: "key", ArrivedAt: time.Now(), Timeout: time.Second, Parts: parts,
		}, caller)
		callers = append(callers, caller)
	}
	return callers
}

func TestPromptsThatCrashServersAreRefusedAndSoundOnesAreServed(t *testing.T) {
	shared, harmful := quarantine.NewPart("shared"), quarantine.NewPart("harmful")
	backend := &crashingServers{fakes: &fakes{retriesLeft: 100}, part: harmful}
	var prompts [][]quarantine.Subject
	for range 10 {
		prompts = append(prompts, []quarantine.Subject{shared, harmful}, []quarantine.Subject{shared})
	}
	callers := servePrompts(backend, prompts...)
	require.LessOrEqual(t, backend.crashes, 5, "requests with the part must not reach servers after the fifth crash")
	for n, caller := range callers {
		if n%2 == 1 {
			require.Equal(t, http.StatusOK, caller.status, "sound request %d", n)
		}
	}
	last := callers[len(callers)-2]
	require.Equal(t, RefusedQuarantine, last.refusal)
	require.Equal(t, quarantineRetryAfter, last.retryAfter)
}

func TestErrorsAndTimeoutsAreNoEvidenceAgainstAPrompt(t *testing.T) {
	part := quarantine.NewPart("part")
	for name, failure := range map[string]error{
		"timeout":       &AttemptError{Delivery: DeliveryUnknown, Err: context.DeadlineExceeded},
		"rejected":      &AttemptError{Delivery: DeliveryRejected, Err: io.ErrUnexpectedEOF},
		"not sent":      &AttemptError{Delivery: DeliveryNotSent, Err: io.EOF},
		"server error":  &AttemptError{Delivery: DeliveryUnknown, ServerError: true, Err: errors.New("status 500")},
		"broken stream": nil,
	} {
		t.Run(name, func(t *testing.T) {
			evidence := quarantine.NewGuard()
			f := &fakes{}
			for range 12 {
				f.responses = append(f.responses, func(a *Attempt) (*Response, error) {
					if failure != nil {
						return nil, failure
					}
					return respond(http.StatusOK, events, io.ErrUnexpectedEOF)(a)
				})
			}
			for range 4 {
				serveOptions(Options{
					Table: testTable, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Evidence: evidence,
					StopsIn: func() (time.Duration, bool) { return 0, false },
				}, "once", "key", time.Second, part)
			}
			evidence.Do(func(tracker *quarantine.Tracker) { require.Empty(t, tracker.All()) })
		})
	}
}

// quarantineCrashes is the number of crashes after which no copy of a request may reach a server.
const quarantineCrashes = 3

// crashingRequests is a Backend whose servers crash when they begin to run a request for which harmful returns true.
type crashingRequests struct {
	*fakes
	harmful func(*Attempt) bool
	// crash is how a crash is seen, answer the response to any other request, nil for a stream of three events.
	crash, answer func(*Attempt) (*Response, error)
	crashes       int
}

func (c *crashingRequests) Send(_ context.Context, attempt *Attempt) (*Response, error) {
	if c.harmful(attempt) {
		c.crashes++
		return c.crash(attempt)
	}
	if c.answer != nil {
		return c.answer(attempt)
	}
	return respond(http.StatusOK, events+"id: 3\ndata: c\n\n", nil)(attempt)
}

// Find returns a server that has started again after each crash.
func (c *crashingRequests) Find(id string) (roster.Server, bool) {
	return roster.Server{ID: id, Address: id, StartedAt: time.Unix(int64(c.crashes), 0)}, true
}

func (c *crashingRequests) gateway() *Gateway {
	table := testTable()
	table.Teams = append(table.Teams, routes.Team{Name: "other", Keys: []string{"other key"}, Priority: -1})
	table = routes.New(*table)
	return New(Options{
		Table: func() *routes.Table { return table }, Placer: c, Budget: c, Servers: c, Backend: c, Memory: c,
		StopsIn: func() (time.Duration, bool) { return 0, false },
		Zone:    "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
	})
}

func TestRequestThatComesAgainAndCrashesServersIsRefusedAndOthersAreServed(t *testing.T) {
	crashes := map[string]func(*Attempt) (*Response, error){
		"before the response": func(*Attempt) (*Response, error) {
			return nil, &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the response: %w", syscall.ECONNRESET)}
		},
		"before the first event": respond(http.StatusOK, "", io.ErrUnexpectedEOF),
		"after the first event":  respond(http.StatusOK, "id: 1\ndata: a\n\n", io.ErrUnexpectedEOF),
	}
	for _, kind := range []string{"stream", "once", "safe", "unsafe"} {
		for crash, respondWith := range crashes {
			for _, parts := range [][]quarantine.Subject{nil, {quarantine.NewPart("shared")}} {
				t.Run(fmt.Sprintf("%s, %s, %d parts", kind, crash, len(parts)), func(t *testing.T) {
					backend := &crashingRequests{fakes: &fakes{retriesLeft: 100}, crash: respondWith}
					backend.harmful = func(a *Attempt) bool { return a.Team == "team" && string(a.Request.Body) == "harmful" }
					g := backend.gateway()
					sent := 0
					serve := func(key, body string) *fakeCaller {
						sent++
						caller := &fakeCaller{}
						g.Serve(context.Background(), &Request{
							ID: fmt.Sprintf("r%d", sent), Method: http.MethodPost, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x?q",
							Body: []byte(body), Key: key, ArrivedAt: time.Now(), Timeout: time.Second, Parts: parts,
						}, caller)
						return caller
					}
					for n := range 12 {
						harmful := serve("key", "harmful")
						if n >= quarantineCrashes {
							require.Equal(t, RefusedQuarantine, harmful.refusal, "request %d", n)
							require.Equal(t, quarantineRetryAfter, harmful.retryAfter)
						}
						require.Equal(t, http.StatusOK, serve("key", fmt.Sprint("sound", n)).status, "another body")
						require.Equal(t, http.StatusOK, serve("key", "charmed").status, "another body of the same length")
						require.Equal(t, http.StatusOK, serve("other key", "harmful").status, "the same request of another team")
					}
					require.LessOrEqual(t, backend.crashes, quarantineCrashes)
				})
			}
		}
	}
}

func TestRequestIsServedAgainAfterTheFaultOfTheServerIsMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mended := false
		backend := &crashingRequests{fakes: &fakes{retriesLeft: 100}, crash: respond(http.StatusOK, "", io.ErrUnexpectedEOF)}
		backend.harmful = func(*Attempt) bool { return !mended }
		g := backend.gateway()
		serve := func() *fakeCaller {
			caller := &fakeCaller{}
			g.Serve(context.Background(), &Request{
				ID: "r", Host: "h", Path: "/stream/x", Target: "/stream/x", Key: "key", ArrivedAt: time.Now(), Timeout: time.Second,
			}, caller)
			return caller
		}
		for range 5 {
			serve()
			time.Sleep(time.Second)
		}
		require.Equal(t, RefusedQuarantine, serve().refusal)
		require.Equal(t, quarantineCrashes, backend.crashes)
		mended = true
		for minutes := 0; serve().status != http.StatusOK; minutes++ {
			require.Less(t, minutes, 15, "minutes after the last crash")
			time.Sleep(time.Minute)
		}
		require.Equal(t, http.StatusOK, serve().status)
	})
}

func TestRequestThatServersAnswerWithAnErrorOfItsOwnIsNotRefused(t *testing.T) {
	for status, wantRefused := range map[int]bool{http.StatusNotFound: false, http.StatusTooManyRequests: true} {
		backend := &crashingRequests{fakes: &fakes{retriesLeft: 9}, crash: respond(http.StatusOK, "", io.ErrUnexpectedEOF)}
		backend.answer = respond(status, "", nil)
		crash := true
		backend.harmful = func(*Attempt) bool { return crash }
		g := backend.gateway()
		serve := func() *fakeCaller {
			caller := &fakeCaller{}
			g.Serve(context.Background(), &Request{
				ID: "r", Host: "h", Path: "/unsafe/x", Target: "/unsafe/x", Key: "key", ArrivedAt: time.Now(), Timeout: time.Second,
			}, caller)
			return caller
		}
		for range quarantineCrashes {
			crash = true
			serve()
			crash = false
			serve()
		}
		require.Equal(t, wantRefused, serve().refusal == RefusedQuarantine, "status %d", status)
	}
}

// A stream that broke off with servers that other requests have crashed must be resumed each time.
func TestStreamThatWasAnsweredIsNoSuspectWhenItsServersCrash(t *testing.T) {
	evidence := quarantine.NewGuard()
	f := &fakes{retriesLeft: 9}
	f.responses = []func(*Attempt) (*Response, error){
		respond(http.StatusOK, events+"id: 3\ndata: c\n\n", io.ErrUnexpectedEOF),
		respond(http.StatusOK, "", io.ErrUnexpectedEOF),
	}
	serveOptions(Options{
		Table: testTable, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Evidence: evidence,
		StopsIn: func() (time.Duration, bool) { return 0, false },
	}, "stream", "key", time.Second)
	require.Len(t, f.attempts, 2)
	evidence.Do(func(tracker *quarantine.Tracker) { require.Empty(t, tracker.All()) })
}

// answeringPaths are the Paths of a VM to which all servers answer on a new connection.
type answeringPaths struct{ soundPaths }

func (answeringPaths) Probe(context.Context, string) serverstate.Presence {
	return serverstate.Presence{}
}
func (answeringPaths) Check(context.Context, string) bool { return true }

// Connections that were reset on the way counted as crashes of the servers, so that all VMs refused
// the request for ten minutes.
func TestRequestWhoseConnectionsAreResetToLiveServersIsNotRefused(t *testing.T) {
	for _, kind := range []string{"stream", "once", "safe", "unsafe"} {
		t.Run(kind, func(t *testing.T) {
			backend := &crashingRequests{fakes: &fakes{retriesLeft: 100}}
			backend.crash = func(*Attempt) (*Response, error) {
				return nil, &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the response: %w", syscall.ECONNRESET)}
			}
			isReset := true
			backend.harmful = func(*Attempt) bool { return isReset }
			g := backend.gateway()
			g.options.Paths = answeringPaths{}
			serve := func(n int) *fakeCaller {
				caller := &fakeCaller{}
				g.Serve(context.Background(), &Request{
					ID: fmt.Sprintf("r%d", n), Method: http.MethodPost, Host: "h", Path: "/" + kind + "/x", Target: "/" + kind + "/x",
					Body: []byte("again"), Key: "key", ArrivedAt: time.Now(), Timeout: time.Second, Parts: []quarantine.Subject{quarantine.NewPart("shared")},
				}, caller)
				return caller
			}
			for n := range 2 * quarantineCrashes {
				require.NotEqual(t, RefusedQuarantine, serve(n).refusal, "request %d", n)
			}
			isReset = false
			require.Equal(t, http.StatusOK, serve(100).status)
		})
	}
}

// slowPaths are the Paths of a VM whose checks take longer than a retry waits.
type slowPaths struct{ soundPaths }

func (slowPaths) Probe(context.Context, string) serverstate.Presence { return serverstate.Presence{} }
func (slowPaths) Check(context.Context, string) bool {
	time.Sleep(4 * crashCheckTimeout)
	return false
}

// A retry must not wait until a server that is silent has failed the check.
func TestRetryDoesNotWaitForACheckThatIsNotAnswered(t *testing.T) {
	backend := &crashingRequests{fakes: &fakes{retriesLeft: 100}}
	backend.crash = func(*Attempt) (*Response, error) {
		return nil, &AttemptError{Delivery: DeliveryUnknown, Err: fmt.Errorf("read the response: %w", syscall.ECONNRESET)}
	}
	backend.harmful = func(*Attempt) bool { return backend.crashes == 0 }
	g := backend.gateway()
	g.options.Paths = slowPaths{}
	caller, startedAt := &fakeCaller{}, time.Now()
	g.Serve(context.Background(), &Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Path: "/safe/x", Target: "/safe/x", Key: "key", ArrivedAt: startedAt, Timeout: time.Second,
	}, caller)
	require.Equal(t, http.StatusOK, caller.status)
	require.Less(t, time.Since(startedAt), 3*crashCheckTimeout)
	identity := quarantine.NewRequest("team", http.MethodPost, "h", "/safe/x", nil)
	require.Never(t, func() bool {
		found := false
		g.options.Evidence.Do(func(t *quarantine.Tracker) { found = t.CrashedServers(time.Now(), identity, nil) > 1 })
		return found
	}, 6*crashCheckTimeout, crashCheckTimeout, "one crash is recorded once")
}

// A stream that has begun waited for the check of its server before it was resumed elsewhere, although its request was no
// suspect: the pause became longer than callers accept.
func TestBegunStreamIsResumedWithoutAWaitForTheCheck(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
		respond(http.StatusOK, begun, io.ErrUnexpectedEOF), respond(http.StatusOK, "id: 4\ndata: d\n\n", nil),
	}}
	startedAt := time.Now()
	caller := serveOptions(Options{
		Table: tableOf(testTable()), Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Paths: slowPaths{},
		StopsIn: func() (time.Duration, bool) { return 0, false },
	}, "stream", "key", time.Second)
	require.Equal(t, begun+"id: 4\ndata: d\n\n", caller.body)
	require.Less(t, time.Since(startedAt), crashCheckTimeout)
}
