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
	// shortTimeLimit is the time limit of the class that streamBody falls in.
	shortTimeLimit = 30 * time.Second
	// releaseTime is the maximum time after a request until all memory for it
	// is released.
	releaseTime = 20 * time.Second
)

// completeAnswer is the text of answerTokens.
var completeAnswer = strings.Join(answerTokens, "")

// TestFaultsOfEngines injects each fault at each step of a stream into one of
// two engines. Each caller must get the complete answer exactly once, if need be by
// a retry, and no engine may keep memory.
func TestFaultsOfEngines(t *testing.T) {
	for _, c := range engineFaults() {
		t.Run(c.name(), func(t *testing.T) {
			withSystem(t, 2, func(s *system) {
				s.injectFault(c.fault, c.step, 1)
				for range 2 {
					got := s.call("POST", "/v1/completions", streamBody)
					require.Equal(t, completeAnswer, got.text)
					require.True(t, got.complete)
					require.Equal(t, request.Completed, got.outcome)
					require.Less(t, got.elapsed, maxRecoveryTime(c))
				}
				require.Positive(t, s.backends[1].totalRuns())
				s.requireNoLeaks(t)
			})
		})
	}
}

// maxRecoveryTime returns the maximum time of a request that meets the fault.
// A hanging process is detected by its missing heartbeats. A connection without
// data is detected by a probe of the engine over another connection.
func maxRecoveryTime(c faultCase) time.Duration {
	switch {
	case c.step == stepDial:
		return time.Second
	case c.fault == faultLate:
		return lateAnswerDelay + time.Second
	case c.fault == faultSilent && c.step == stepStream:
		return 6 * time.Second // the stall limit is 5 s
	case c.fault == faultSilent && c.step == stepWait:
		return 2 * time.Second // the probes show that the engine does not hold the attempt
	case c.fault == faultSilent, c.fault == faultHangs:
		return 4 * time.Second
	}
	return time.Second
}

// TestFaultsOfAllEngines injects the same fault into both engines. The request
// must end before its deadline with the outcome that matches the engines' runs,
// and its stream must not look complete.
func TestFaultsOfAllEngines(t *testing.T) {
	for _, c := range allEngineFaults() {
		t.Run(c.name(), func(t *testing.T) {
			withSystem(t, 2, func(s *system) {
				s.injectFault(c.fault, c.step, 2)
				got := s.call("POST", "/v1/completions", streamBody)
				require.Equal(t, c.outcome, got.outcome, got)
				require.False(t, got.complete)
				require.NotEmpty(t, got.code)
				require.LessOrEqual(t, got.elapsed, shortTimeLimit+time.Second)
				if c.outcome == request.NotRun {
					require.Zero(t, s.backends[0].totalRuns()+s.backends[1].totalRuns())
				}
				s.requireNoLeaks(t)
			})
		})
	}
}

// TestRefusalWithoutAttemptIDIsNotTrusted lets an engine refuse without the id
// of the attempt. Such a refusal may belong to another call, so that the
// request must not be reported as not run.
func TestRefusalWithoutAttemptIDIsNotTrusted(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.backends[0].server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(backendapi.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, request.Failed, got.outcome)
	})
}

// TestTwoEngineRefusalsWith400EndTheRequest lets three engines refuse a request
// as invalid. Two refusals are enough: the third engine must not get it.
func TestTwoEngineRefusalsWith400EndTheRequest(t *testing.T) {
	withSystem(t, 3, func(s *system) {
		attempts := 0
		for _, b := range s.backends {
			b.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				attempts++ // needs no lock: the attempts run one after the other
				w.Header().Set(backendapi.HeaderNotRun, "1")
				w.Header().Set(backendapi.HeaderAttempt, r.Header.Get(backendapi.HeaderAttempt))
				w.WriteHeader(http.StatusBadRequest)
			})
		}
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, request.NotRun, got.outcome)
		require.Equal(t, 2, attempts)
	})
}

// requireBodyMemoryFree waits until all handlers have returned, which may be
// after their callers have the answer, and checks that they released all
// memory for bodies.
func (s *system) requireBodyMemoryFree(t *testing.T) {
	t.Helper()
	synctest.Wait()
	require.Zero(t, s.bodies.UsedBytes(), "body memory")
}

// requireNoLeaks waits for releaseTime and checks that no engine holds an
// attempt and that no memory for bodies is in use.
func (s *system) requireNoLeaks(t *testing.T) {
	t.Helper()
	time.Sleep(releaseTime)
	for _, b := range s.backends {
		require.Empty(t, b.heldAttempts(), b.id)
	}
	s.requireBodyMemoryFree(t)
}

// TestFaultsOfServices injects each fault at each step into one of two
// services. A booking must run at most once; a check is idempotent, and its
// retry must complete.
func TestFaultsOfServices(t *testing.T) {
	for _, c := range serviceFaults() {
		t.Run("book/"+c.name(), func(t *testing.T) { requireBookedOnce(t, c.faultCase, c.outcome) })
		t.Run("check/"+c.name(), func(t *testing.T) {
			withSystem(t, 2, func(s *system) {
				s.injectFault(c.fault, c.step, 1)
				for range 2 {
					got := s.call("GET", bookPath+"/7", "")
					require.Equal(t, request.Completed, got.outcome, got)
					require.Less(t, got.elapsed, 5*time.Second)
				}
			})
		})
	}
}

// requireBookedOnce sends two bookings, one of which reaches the faulty service
// first, and compares their outcomes with the services' counts of runs. A
// booking that is sent again with the same key must have the same outcome and
// must not run again.
func requireBookedOnce(t *testing.T, c faultCase, expected request.Outcome) {
	t.Helper()
	withSystem(t, 2, func(s *system) {
		s.injectFault(c.fault, c.step, 1)
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
			require.Equal(t, runs, s.runsOf(body), "the resent booking ran")
		}
		require.Contains(t, outcomes, expected)
		require.Contains(t, outcomes, request.Completed)
		s.requireBodyMemoryFree(t)
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
