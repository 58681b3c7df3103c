package gateway

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
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
	"godwityoke.example/godwityoke/internal/schedule"
)

// longTimeout is long enough for a server that stalls and goes on.
const longTimeout = 30 * time.Second

// longTable is testTable with longTimeout on all routes.
func longTable() *routes.Table {
	table := testTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = longTimeout
	}
	return table
}

func serveLong(f *fakes, backend Backend, kind string) *fakeCaller {
	return serveWith(f, backend, longTable(), kind, "key", longTimeout)
}

// slowStream answers with a stream whose second event is delayed.
func slowStream(delay time.Duration) func(*Attempt) (*Response, error) {
	return func(*Attempt) (*Response, error) {
		body := &slowBody{parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, resumeAt: time.Now().Add(delay)}
		return &Response{Status: 200, Header: http.Header{}, Body: body, Verified: true, IsStream: true}, nil
	}
}

func TestStalledStreamGoesOnWhileNoServerIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 9, refuseRetries: true, responses: []func(*Attempt) (*Response, error){slowStream(8 * time.Second)}}
		caller := serveLong(f, f, "stream")
		require.False(t, caller.aborted)
		require.Equal(t, events, caller.body)
		require.Equal(t, 9, f.retriesLeft, "no retry was made")
		require.LessOrEqual(t, f.retriesRequested, 5, "placement requests are limited")
		require.Greater(t, f.retriesRequested, 1, "a refused placement is requested again")
	})
}

// slowBackend begins the response to the first attempt after delay, unless the attempt is cancelled.
type slowBackend struct {
	*fakes
	delay time.Duration
}

func (s *slowBackend) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	if attempt.Server.ID == "s1" {
		select {
		case <-time.After(s.delay):
		case <-ctx.Done():
			return nil, &AttemptError{Delivery: DeliveryUnknown, Err: ctx.Err()}
		}
	}
	return s.fakes.Send(ctx, attempt)
}

func TestUnansweredRequestGoesOnWhileNoServerIsGranted(t *testing.T) {
	for kind, body := range map[string]string{"safe": "ok", "stream": events} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakes{retriesLeft: 9, refuseRetries: true, responses: []func(*Attempt) (*Response, error){respond(200, body, nil)}}
				caller := serveLong(f, &slowBackend{fakes: f, delay: 5 * time.Second}, kind)
				require.Zero(t, caller.failure)
				require.Equal(t, body, caller.body)
				require.Equal(t, 9, f.retriesLeft)
				require.Len(t, f.outcomes, f.placements)
			})
		})
	}
}

func TestUnansweredRequestMovesToAGrantedServer(t *testing.T) {
	for kind, body := range map[string]string{"safe": "ok", "stream": events} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){respond(200, body, nil)}}
				startedAt := time.Now()
				caller := serveLong(f, &slowBackend{fakes: f, delay: time.Hour}, kind)
				require.Equal(t, body, caller.body)
				require.Less(t, time.Since(startedAt), 2*time.Second)
				require.Equal(t, 8, f.retriesLeft, "the retry is charged once")
				require.Equal(t, schedule.OutcomeStalled, f.outcomes[0])
				require.Len(t, f.outcomes, f.placements)
			})
		})
	}
}

func TestEventThatPrecedesTheGrantKeepsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{
			retriesLeft: 9, placeDelay: time.Second,
			responses: []func(*Attempt) (*Response, error){slowStream(1700 * time.Millisecond)},
		}
		caller := serveLong(f, f, "stream")
		require.Equal(t, events, caller.body)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, 9, f.retriesLeft, "no retry was made")
		require.Equal(t, 2, f.placements)
		require.ElementsMatch(t, []schedule.Outcome{schedule.OutcomeDone, schedule.OutcomeUnused}, f.outcomes, "the unused placement is released")
	})
}

func TestStalledStreamWithoutEventIDsIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){func(*Attempt) (*Response, error) {
			body := &slowBody{parts: []string{"data: a\n\n", "data: b\n\n"}, resumeAt: time.Now().Add(8 * time.Second)}
			return &Response{Status: 200, Header: http.Header{}, Body: body, Verified: true, IsStream: true}, nil
		}}}
		caller := serveLong(f, f, "stream")
		require.False(t, caller.aborted)
		require.Equal(t, "data: a\n\ndata: b\n\n", caller.body)
		require.Equal(t, 9, f.retriesLeft, "no retry was made")
	})
}

func TestSpentBudgetRequestsNoPlacements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{responses: []func(*Attempt) (*Response, error){slowStream(8 * time.Second)}}
		caller := serveLong(f, f, "stream")
		require.Equal(t, events, caller.body)
		require.Zero(t, f.retriesRequested)
	})
}

// closingBody records deadlines that are set after Close.
type closingBody struct {
	slowBody
	closed    bool
	setClosed bool
}

func (c *closingBody) ClosedByServer(time.Duration) bool { return false }
func (c *closingBody) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.setClosed = c.setClosed || c.closed
	c.mu.Unlock()
	return c.slowBody.SetReadDeadline(deadline)
}

func (c *closingBody) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// resetBody never sends anything. Its connection is reset as the attempt is given up.
type resetBody struct{ givenUp chan struct{} }

func (r resetBody) Read([]byte) (int, error) {
	<-r.givenUp
	return 0, syscall.ECONNRESET
}

func (r resetBody) ClosedByServer(time.Duration) bool { return false }
func (r resetBody) SetReadDeadline(deadline time.Time) error {
	if deadline.Before(time.Now()) {
		close(r.givenUp)
	}
	return nil
}

func (resetBody) Close() error { return nil }

func TestResetAsAnAttemptIsGivenUpCountsAsACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
			func(*Attempt) (*Response, error) {
				body := resetBody{givenUp: make(chan struct{})}
				return &Response{Status: 200, Header: http.Header{}, Body: body, Verified: true, IsStream: true}, nil
			},
			respond(200, events, nil),
		}}
		var log bytes.Buffer
		caller := &fakeCaller{}
		serveCaller(Options{
			Table: longTable, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Logger: zerolog.New(&log),
			StopsIn: func() (time.Duration, bool) { return 0, false },
		}, caller, "stream", "key", longTimeout)
		require.Equal(t, events, caller.body)
		require.Contains(t, log.String(), `"name":"connection_lost_before_answer"`)
	})
}

// slowBudget allows a retry after a delay.
type slowBudget struct{ *fakes }

func (s slowBudget) TryRetry(service string) bool {
	time.Sleep(time.Second)
	return s.fakes.TryRetry(service)
}

func TestConnectionOfACompleteResponseGetsNoDeadline(t *testing.T) {
	body := &closingBody{slowBody: slowBody{
		parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, resumeAt: time.Now().Add(1700 * time.Millisecond),
	}}
	f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
		func(*Attempt) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, Body: body, Verified: true, IsStream: true}, nil
		},
		respond(200, "id: 2\ndata: b\n\n", nil),
	}}
	caller := serveOptions(Options{
		Table: longTable, Placer: f, Budget: slowBudget{f}, Servers: f, Backend: f, Memory: f,
		StopsIn: func() (time.Duration, bool) { return 0, false },
	}, "stream", "key", longTimeout)
	time.Sleep(3 * time.Second)
	require.Equal(t, events, caller.body)
	body.mu.Lock()
	defer body.mu.Unlock()
	require.True(t, body.closed)
	require.False(t, body.setClosed, "the connection may carry another request")
}

// Waits that end while the timer fires: every placement is used or released, and only used ones are charged.
func TestStallWatchMovesOrReleasesEachPlacement(t *testing.T) {
	const waits = 2000
	f := &fakes{retriesLeft: waits}
	for range waits {
		f.responses = append(f.responses, respond(200, events, nil))
	}
	g := New(Options{Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Logger: zerolog.Nop(), Metrics: observe.NewMetrics()})
	table := testTable()
	var moves, endedByMove int
	var group sync.WaitGroup
	var mu sync.Mutex
	for range 8 {
		group.Go(func() {
			for range waits / 8 {
				ctx, cancel := context.WithCancel(context.Background())
				x := &exchange{
					gateway: g, request: &Request{ArrivedAt: time.Now()}, table: table, route: table.Match("h", "/stream/x"),
					service: "s", deadline: time.Now().Add(time.Second),
					identity: quarantine.NewRequest("", "GET", "h", "/stream/x", nil),
				}
				watch := x.watchStalls(ctx, roster.Server{ID: "s1"})
				given := make(chan struct{})
				watch.begin(time.Now().Add(time.Duration(rand.IntN(200))*time.Microsecond), func() { close(given) })
				time.Sleep(time.Duration(rand.IntN(200)) * time.Microsecond)
				givenUp := watch.end(true)
				x.eventsSent++ // owned by this goroutine again
				x.retryCharged = false
				mu.Lock()
				if givenUp {
					endedByMove++
					<-given
				}
				if watch.grant() != nil {
					moves++
				}
				mu.Unlock()
				cancel()
			}
		})
	}
	group.Wait()
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.outcomes)+moves == f.placements
	}, 5*time.Second, 10*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, endedByMove, moves)
	require.Equal(t, waits-len(f.attempts), f.retriesLeft, "each retry sent is charged, and nothing else")
	t.Logf("%d moves, %d retries cancelled, %d placements released", moves, len(f.attempts)-moves, len(f.outcomes))
}

func TestDeadlineOfARequestIsNoFailureOfItsServer(t *testing.T) {
	x := &exchange{deadline: time.Now()}
	result := attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: os.ErrDeadlineExceeded}}
	require.Equal(t, schedule.OutcomeCancelled, x.placementOutcome(context.Background(), &Attempt{}, result))
}

func TestNoServerIsSearchedShortlyBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){slowStream(longTimeout)}}
		table := longTable()
		serveWith(f, f, table, "stream", "key", minStallTimeout+100*time.Millisecond)
		require.Zero(t, f.retriesRequested)
		require.Equal(t, []schedule.Outcome{schedule.OutcomeCancelled}, f.outcomes)
	})
}

func TestStalledStreamIsKeptWhenItsPromptIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part, evidence := quarantine.NewPart("part"), quarantine.NewGuard()
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){slowStream(3 * time.Second)}}
		time.AfterFunc(minStallTimeout/2, func() {
			evidence.Do(func(tracker *quarantine.Tracker) {
				for n := range quarantineCrashes {
					other := quarantine.NewRequest("", "GET", "h", fmt.Sprint(n), nil)
					run := quarantine.NewServerRun(fmt.Sprint("other", n), time.Now())
					tracker.RecordCrash(time.Now(), run, other, []quarantine.Subject{part})
				}
			})
		})
		caller := serveOptions(Options{
			Table: longTable, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Evidence: evidence,
			StopsIn: func() (time.Duration, bool) { return 0, false },
		}, "stream", "key", longTimeout, part)
		require.False(t, caller.aborted)
		require.Equal(t, events, caller.body)
		require.Equal(t, 9, f.retriesLeft)
	})
}
