package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/request"
)

// TestCallerDisconnectReleasesEngineMemory closes the caller's connection
// while the engine works. The engine ignores the first three cancel requests,
// so that its memory leaks unless the cancel is retried until confirmed.
func TestCallerDisconnectReleasesEngineMemory(t *testing.T) {
	for _, step := range []faultStep{stepWait, stepStream} {
		t.Run(string(step), func(t *testing.T) {
			withSystem(t, 1, func(s *system) {
				b := s.backends[0]
				b.injectFault(faultLate, step)
				b.ignoredCancels = 3
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				httpRequest := s.newRequest(http.MethodPost, "/v1/completions", streamBody).WithContext(ctx)
				response, err := s.client.Do(httpRequest)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				require.Error(t, ctx.Err())
				require.Len(t, b.heldAttempts(), 1)
				s.requireNoLeaks(t)
				require.Zero(t, b.ignoredCancels)
			})
		})
	}
}

// TestCallerThatStopsReadingIsDropped reads the first line of a stream and
// then nothing more, while the connection stays open. The engine's memory must
// be released although the caller never disconnects.
func TestCallerThatStopsReadingIsDropped(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		conn, err := s.network.dial(context.Background(), "tcp", entryAddress)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, s.newRequest(http.MethodPost, "/v1/completions", streamBody).Write(conn))
		_, err = bufio.NewReaderSize(conn, 64).ReadString('\n')
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.Len(t, s.backends[0].heldAttempts(), 1)
		s.requireNoLeaks(t)
	})
}

// TestDeadlineIsPropagatedAndEnforced sets a deadline of 2 s while both
// engines answer after lateAnswerDelay. Each attempt must be sent the time
// left, and the caller must get its error exactly at the deadline.
func TestDeadlineIsPropagatedAndEnforced(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		s.injectFault(faultLate, stepWait, 2)
		got := s.call(http.MethodPost, "/v1/completions", streamBody, request.DeadlineHeader, "2s")
		require.Equal(t, string(request.CodeDeadlineExceeded), got.code)
		require.Equal(t, request.Failed, got.outcome)
		require.Equal(t, http.StatusGatewayTimeout, got.status)
		require.Equal(t, 2*time.Second, got.elapsed)
		var budgets []int
		for _, b := range s.backends {
			for _, text := range b.budgets {
				budget, err := strconv.Atoi(text)
				require.NoError(t, err)
				budgets = append(budgets, budget)
			}
		}
		require.ElementsMatch(t, []int{2000, 1000, 400}, budgets)
		s.requireNoLeaks(t)
	})
}

// TestLongPromptIsNotRetriedWhileItsEngineIsAlive lets an engine take 7 s of
// the 8 s before the deadline for a prompt that is not short. A retry on
// another engine would lose the attempt's position in the queue, so that there
// must be only one attempt.
func TestLongPromptIsNotRetriedWhileItsEngineIsAlive(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		s.injectFault(faultLate, stepWait, 2)
		body := strings.Replace(streamBody, "describe", strings.Repeat("describe ", 3000), 1)
		got := s.call(http.MethodPost, "/v1/completions", body, request.DeadlineHeader, "8s")
		require.Equal(t, request.Completed, got.outcome, got)
		require.Equal(t, 1, s.backends[0].totalRuns()+s.backends[1].totalRuns())
	})
}

// TestRetryBudgetBoundsLoad breaks off every other attempt on both engines, so
// that avoiding a server does not help. Without the retry budget the retries
// would multiply the load; there may be at most 1.2 attempts per request.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		for _, b := range s.backends {
			b.cutEvery = 2
		}
		const requests = 400
		completed := 0
		for range requests {
			if s.call(http.MethodPost, "/v1/completions", streamBody).outcome == request.Completed {
				completed++
			}
		}
		attempts := s.backends[0].totalRuns() + s.backends[1].totalRuns()
		t.Logf("%d requests, %d attempts, %d completed", requests, attempts, completed)
		require.LessOrEqual(t, float64(attempts), 1.2*requests)
		require.Greater(t, completed, requests/2)
	})
}

// TestFailingServiceIsAvoided makes one of two services answer with the id of
// another attempt until the end of the test. A booking on that service ends as
// unknown and is not retried, so that the service must get few bookings.
func TestFailingServiceIsAvoided(t *testing.T) {
	withSystem(t, 2, func(s *system) {
		s.injectFault(faultCrossed, stepVerify, 1)
		unknown := 0
		for i := range 100 {
			key := strconv.Itoa(i)
			got := s.call(http.MethodPost, bookPath, key, request.IdempotencyKeyHeader, key)
			if got.outcome != request.Completed {
				require.Equal(t, request.Unknown, got.outcome)
				unknown++
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("%d of 100 unknown", unknown)
		require.LessOrEqual(t, unknown, 5)
		require.Positive(t, unknown)
	})
}

// TestDrainingServerFinishesAndGetsNoNewWork announces draining in mid-stream:
// the stream must complete and the next request must not reach the server.
func TestDrainingServerFinishesAndGetsNoNewWork(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		b := s.backends[0]
		time.AfterFunc(50*time.Millisecond, b.drain)
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, request.Completed, got.outcome)
		time.Sleep(heartbeatInterval)
		got = s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, string(request.CodeNoBackendServer), got.code)
		require.Equal(t, request.NotRun, got.outcome)
		require.Equal(t, 1, b.totalRuns())
	})
}

// TestServerWithoutHeartbeatGetsNoNewWork sends a request 2.5 s after the
// heartbeats stopped: the server is considered down 2 s after the last one.
func TestServerWithoutHeartbeatGetsNoNewWork(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.backends[0].setHeartbeatsStopped(true)
		time.Sleep(3*time.Second - heartbeatInterval)
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, string(request.CodeNoBackendServer), got.code)
		require.Zero(t, s.backends[0].totalRuns())
	})
}

// TestTwoFaultsAtOnce injects different faults into two of three engines. Each
// request must complete on the third one.
func TestTwoFaultsAtOnce(t *testing.T) {
	for _, pair := range faultPairs() {
		t.Run(pair[0].name()+"+"+pair[1].name(), func(t *testing.T) {
			withSystem(t, 3, func(s *system) {
				for i, c := range pair {
					s.backends[i].injectFault(c.fault, c.step)
				}
				for range 3 {
					got := s.call(http.MethodPost, "/v1/completions", streamBody)
					require.Equal(t, completeAnswer, got.text)
					require.Equal(t, request.Completed, got.outcome)
					require.Less(t, got.elapsed, shortTimeLimit)
				}
				s.requireNoLeaks(t)
			})
		})
	}
}

// TestHTTPTransportNeverRetriesABooking cuts the connection before the answer
// to a second booking. net/http retries a request with an idempotency key and
// without a body by itself when a reused connection breaks; such a retry would
// book twice.
func TestHTTPTransportNeverRetriesABooking(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		b := s.backends[0]
		first := s.call(http.MethodPost, bookPath, "", request.IdempotencyKeyHeader, "one")
		require.Equal(t, request.Completed, first.outcome)
		b.injectFault(faultCut, stepWait)
		second := s.call(http.MethodPost, bookPath, "", request.IdempotencyKeyHeader, "two")
		require.Equal(t, request.Unknown, second.outcome)
		require.Equal(t, 2, b.totalRuns())
	})
}

// TestOutcomeLookupAfterLostAnswer reads the recorded outcome of a key, as a
// caller does that lost the answer. It also covers an unknown key and the use
// of the key for another body.
func TestOutcomeLookupAfterLostAnswer(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		s.call(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "lost")
		got := s.call(http.MethodGet, "/v1/outcomes/lost?service=booking", "")
		require.Equal(t, request.Completed, got.outcome)
		require.Contains(t, got.text, `"state":"resolved"`)
		got = s.call(http.MethodGet, "/v1/outcomes/other?service=booking", "")
		require.Equal(t, string(request.CodeKeyNotFound), got.code)
		conflict := s.call(http.MethodPost, bookPath, `{"boat":"other"}`, request.IdempotencyKeyHeader, "lost")
		require.Equal(t, string(request.CodeKeyConflict), conflict.code)
		require.Equal(t, request.NotSent, conflict.outcome)
		require.Equal(t, 1, s.backends[0].totalRuns())
	})
}

// TestChatModelsAndMetricsRoutes covers a chat answer without streaming, the
// list of models and the metrics.
func TestChatModelsAndMetricsRoutes(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		chat := s.call(http.MethodPost, "/v1/chat/completions", `{"model":"scribe","messages":[{"role":"user","content":"hi"}]}`)
		require.Contains(t, chat.text, `"message":{"role":"assistant","content":"`+strings.TrimSpace(completeAnswer))
		require.Contains(t, chat.text, `"usage":{"prompt_tokens":5,"completion_tokens":6,"total_tokens":11}`)
		models := s.call(http.MethodGet, "/v1/models", "")
		require.Contains(t, models.text, `"id":"scribe:eulogy"`)
		metrics := s.call(http.MethodGet, "/metrics", "")
		require.Contains(t, metrics.text, `godwityoke_time_to_first_token_seconds_bucket{team="families"`)
	})
}

// TestKeepAliveConnectionOutlivesWriteDeadlines waits one minute after each
// answer. A write deadline that is left on the connection would break it, and
// the caller would have to connect again.
func TestKeepAliveConnectionOutlivesWriteDeadlines(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		for _, body := range []string{streamBody, `{"model":"bard","prompt":"a"}`, streamBody} {
			got := s.call(http.MethodPost, "/v1/completions", body)
			require.NotEmpty(t, got.outcome)
			time.Sleep(time.Minute)
			require.Equal(t, http.StatusOK, s.call(http.MethodGet, "/readyz", "").status)
		}
		require.Equal(t, 1, s.callerConnections)
	})
}

// TestPlannedStopAtEachStep shuts down the server for callers while a request
// is in flight. The request must still complete.
func TestPlannedStopAtEachStep(t *testing.T) {
	for _, c := range stopFaults() {
		t.Run(c.name(), func(t *testing.T) {
			withSystem(t, 2, func(s *system) {
				s.injectFault(c.fault, c.step, 1)
				s.call(http.MethodPost, "/v1/completions", streamBody) // so that the next request starts at the faulty engine
				ended := make(chan result)
				go func() { ended <- s.call(http.MethodPost, "/v1/completions", streamBody) }()
				time.Sleep(50 * time.Millisecond)
				require.NoError(t, s.callers.Shutdown(context.Background()))
				got := <-ended
				require.True(t, got.complete)
				require.Equal(t, completeAnswer, got.text)
			})
		})
	}
}

// TestClaimSteps injects a fault into each step around a booking: the claim of
// its key, the caller's connection while it runs, and the recording of its
// outcome. The booking must run at most once.
func TestClaimSteps(t *testing.T) {
	book := func(s *system) result {
		return s.call(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "k")
	}
	t.Run("hangs/claim", func(t *testing.T) {
		withSystem(t, 1, func(s *system) {
			s.claims.claimHangs = true
			got := book(s)
			require.Equal(t, request.NotSent, got.outcome)
			require.Equal(t, string(request.CodeDeadlineExceeded), got.code)
			require.Equal(t, 10*time.Second, got.elapsed)
			require.Zero(t, s.backends[0].totalRuns())
		})
	})
	t.Run("caller_leaves/wait", func(t *testing.T) {
		withSystem(t, 1, func(s *system) {
			s.injectFault(faultLate, stepWait, 1)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			httpRequest := s.newRequest(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "k")
			_, err := s.client.Do(httpRequest.WithContext(ctx))
			require.Error(t, err)
			time.Sleep(lateAnswerDelay)
			got := s.call(http.MethodGet, "/v1/outcomes/k?service=booking", "")
			require.Equal(t, request.Completed, got.outcome)
			require.Equal(t, 1, s.backends[0].totalRuns())
		})
	})
	t.Run("hangs/record", func(t *testing.T) {
		withSystem(t, 1, func(s *system) {
			s.claims.resolveHangs = true
			got := book(s)
			require.Equal(t, request.Completed, got.outcome)
			require.Less(t, got.elapsed, 4*time.Second)
			require.Equal(t, string(request.CodeKeyInProgress), book(s).code)
			require.Equal(t, 1, s.backends[0].totalRuns())
		})
	})
}

func TestAnswerToAHeadRequestIsPassedOn(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		response, err := s.client.Do(s.newRequest(http.MethodHead, bookPath+"/7", "body"))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, string(request.Completed), response.Header.Get(request.OutcomeHeader))
		require.Empty(t, response.Header.Get("Content-Length"), "the length of the body of a GET is not known")
	})
}
