package pipeline_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	streamBody  = `{"model":"scribe","prompt":"describe the day","max_tokens":50,"stream":true}`
	bookingBody = `{"boat":"heron","seats":4}`
	bookPath    = "/services/booking/voyages"
	// short is the time limit of the class that streamBody falls in.
	shortLimit = 30 * time.Second
	// settle is the time in which memory must be free after a request.
	settle = 20 * time.Second
)

var answer = strings.Join(words, "")

// TestFaultsOfEngines puts each fault at each step of a stream, on one of two
// engines. Whichever engine serves first, the caller gets the whole answer.
func TestFaultsOfEngines(t *testing.T) {
	for _, c := range engineCells() {
		t.Run(c.name(), func(t *testing.T) {
			inBubble(t, 2, func(s *system) {
				s.breakWith(c.fault, c.at, 1)
				for range 2 {
					got := s.call("POST", "/v1/completions", streamBody)
					require.Equal(t, answer, got.text)
					require.True(t, got.whole)
					require.Equal(t, request.Completed, got.outcome)
					require.Less(t, got.elapsed, mostTime(c))
				}
				require.Positive(t, s.backends[1].total())
				s.requireNothingLeft(t)
			})
		})
	}
}

// mostTime is the time in which a fault of one engine must be overcome: a hung
// process is known by its heartbeats, a connection that takes or gives nothing
// by asking the engine over another one.
func mostTime(c cell) time.Duration {
	switch {
	case c.at == atDial:
		return time.Second
	case c.fault == faultLate:
		return late + time.Second
	case c.fault == faultSilent && c.at == atStream:
		return 6 * time.Second // the stall limit is 5 s
	case c.fault == faultSilent && c.at == atWait:
		return 2 * time.Second // the engine answers that it lost the attempt
	case c.fault == faultSilent, c.fault == faultHangs:
		return 4 * time.Second
	}
	return time.Second
}

// TestFaultsOfAllEngines lets both engines fail: the request must end in time
// with an honest outcome, and no unverified token may reach the caller.
func TestFaultsOfAllEngines(t *testing.T) {
	for _, c := range allEnginesCells() {
		t.Run(c.name(), func(t *testing.T) {
			inBubble(t, 2, func(s *system) {
				s.breakWith(c.fault, c.at, 2)
				got := s.call("POST", "/v1/completions", streamBody)
				require.Equal(t, c.outcome, got.outcome, got)
				require.False(t, got.whole)
				require.NotEmpty(t, got.code)
				require.LessOrEqual(t, got.elapsed, shortLimit+time.Second)
				if c.outcome == request.NotRun {
					require.Zero(t, s.backends[0].total()+s.backends[1].total())
				}
				s.requireNothingLeft(t)
			})
		})
	}
}

// TestRefusalOfAnotherAttempt lets engines refuse without naming the attempt:
// such a refusal may belong to another call and says nothing about this one.
func TestRefusalOfAnotherAttempt(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		s.backends[0].server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backendapi.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, request.Failed, got.outcome)
	})
}

// TestEnginesThatFindTheRequestWrong refuse it with 400: two of them decide.
func TestEnginesThatFindTheRequestWrong(t *testing.T) {
	inBubble(t, 3, func(s *system) {
		asked := 0
		for _, b := range s.backends {
			b.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked++ // one attempt at a time
				w.Header().Set(backendapi.HeaderNotRun, "1")
				w.Header().Set(backendapi.HeaderAttempt, r.Header.Get(backendapi.HeaderAttempt))
				w.WriteHeader(http.StatusBadRequest)
			})
		}
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, request.NotRun, got.outcome)
		require.Equal(t, 2, asked)
	})
}

// requireNoBodies checks the memory for bodies once all handlers have returned,
// which may be after their callers have the answer.
func (s *system) requireNoBodies(t *testing.T) {
	t.Helper()
	synctest.Wait()
	require.Zero(t, s.bodies.UsedBytes(), "body memory")
}

// requireNothingLeft waits and judges by the engines' own lists.
func (s *system) requireNothingLeft(t *testing.T) {
	t.Helper()
	time.Sleep(settle)
	for _, b := range s.backends {
		require.Empty(t, b.heldAttempts(), b.id)
	}
	s.requireNoBodies(t)
}

// TestFaultsOfServices puts each fault at each step of a booking that must run
// at most once, and of a check that may be repeated.
func TestFaultsOfServices(t *testing.T) {
	for _, c := range serviceCells() {
		t.Run("book/"+c.name(), func(t *testing.T) { requireBookedOnce(t, c.cell, c.outcome) })
		t.Run("check/"+c.name(), func(t *testing.T) {
			inBubble(t, 2, func(s *system) {
				s.breakWith(c.fault, c.at, 1)
				for range 2 {
					got := s.call("GET", bookPath+"/7", "")
					require.Equal(t, request.Completed, got.outcome, got)
					require.Less(t, got.elapsed, 5*time.Second)
				}
			})
		})
	}
}

// requireBookedOnce sends bookings until the faulty service was first in turn
// and judges each by the services' own counters.
func requireBookedOnce(t *testing.T, c cell, expected request.Outcome) {
	t.Helper()
	inBubble(t, 2, func(s *system) {
		s.breakWith(c.fault, c.at, 1)
		var outcomes []request.Outcome
		for _, key := range []string{"first", "second"} {
			body := strings.Replace(bookingBody, "heron", key, 1)
			got := s.call("POST", bookPath, body, request.IdempotencyKeyHeader, key)
			outcomes = append(outcomes, got.outcome)
			require.LessOrEqual(t, got.elapsed, 11*time.Second)
			runs := s.runsOf(body)
			require.LessOrEqual(t, runs, 1, key)
			switch got.outcome {
			case request.Completed:
				require.Equal(t, body, got.text)
				require.Equal(t, 1, runs)
			case request.NotRun, request.NotSent:
				require.Zero(t, runs)
			}
			resent := s.call("POST", bookPath, body, request.IdempotencyKeyHeader, key)
			require.Equal(t, got.outcome, resent.outcome)
			require.Equal(t, runs, s.runsOf(body), "the resend ran")
		}
		require.Contains(t, outcomes, expected)
		require.Contains(t, outcomes, request.Completed)
		s.requireNoBodies(t)
	})
}

func (s *system) runsOf(body string) int {
	runs := 0
	for _, b := range s.backends {
		b.mu.Lock()
		runs += b.runs[body]
		b.mu.Unlock()
	}
	return runs
}
