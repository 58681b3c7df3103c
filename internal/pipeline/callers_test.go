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

// TestCallerLeaves ends the caller's connection at a step; the engine ignores
// the first requests to cancel.
func TestCallerLeaves(t *testing.T) {
	for _, step := range []at{atWait, atStream} {
		t.Run(string(step), func(t *testing.T) {
			inBubble(t, 1, func(s *system) {
				b := s.backends[0]
				b.breakWith(faultLate, step)
				b.cancelMisses = 3
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				outgoing := s.newRequest(http.MethodPost, "/v1/completions", streamBody).WithContext(ctx)
				response, err := s.client.Do(outgoing)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				require.Error(t, ctx.Err())
				require.Len(t, b.heldAttempts(), 1)
				s.requireNothingLeft(t)
				require.Zero(t, b.cancelMisses)
			})
		})
	}
}

// TestSilentCallerIsAbandoned takes part of a stream and then reads nothing,
// on a connection that stays open.
func TestSilentCallerIsAbandoned(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		conn, err := s.network.dial(context.Background(), "tcp", entryAddress)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, s.newRequest(http.MethodPost, "/v1/completions", streamBody).Write(conn))
		_, err = bufio.NewReaderSize(conn, 64).ReadString('\n')
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		require.Len(t, s.backends[0].heldAttempts(), 1)
		s.requireNothingLeft(t)
	})
}

// TestDeadlineIsCarriedAndKept asks for two seconds of an engine that takes
// longer.
func TestDeadlineIsCarriedAndKept(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.breakWith(faultLate, atWait, 2)
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
		s.requireNothingLeft(t)
	})
}

// TestPromptThatIsNotShortMayWait gives an engine that holds the attempt nearly
// all of the time: taking the prompt elsewhere would lose its place in the queue.
func TestPromptThatIsNotShortMayWait(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.breakWith(faultLate, atWait, 2)
		body := strings.Replace(streamBody, "describe", strings.Repeat("describe ", 3000), 1)
		got := s.call(http.MethodPost, "/v1/completions", body, request.DeadlineHeader, "8s")
		require.Equal(t, request.Completed, got.outcome, got)
		require.Equal(t, 1, s.backends[0].total()+s.backends[1].total())
	})
}

// TestRetryBudgetBoundsLoad sends requests while both engines fail every other
// attempt without a token, so that no choice of servers helps.
func TestRetryBudgetBoundsLoad(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		for _, b := range s.backends {
			b.failEvery = 2
		}
		const requests = 400
		completed := 0
		for range requests {
			if s.call(http.MethodPost, "/v1/completions", streamBody).outcome == request.Completed {
				completed++
			}
		}
		attempts := s.backends[0].total() + s.backends[1].total()
		t.Logf("%d requests, %d attempts, %d completed", requests, attempts, completed)
		require.LessOrEqual(t, float64(attempts), 1.2*requests)
		require.Greater(t, completed, requests/2)
	})
}

// TestFailingServiceIsAvoided breaks one of two services for good. Bookings
// that it loses are unknown, so that there must be few of them.
func TestFailingServiceIsAvoided(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.breakWith(faultCrossed, atVerify, 1)
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

// TestLeavingServerFinishesAndGetsNoNewWork announces leaving in mid-stream.
func TestLeavingServerFinishesAndGetsNoNewWork(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		b := s.backends[0]
		time.AfterFunc(50*time.Millisecond, b.leave)
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, request.Completed, got.outcome)
		time.Sleep(heartbeat)
		got = s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, string(request.CodeNoBackendServer), got.code)
		require.Equal(t, request.NotRun, got.outcome)
		require.Equal(t, 1, b.total())
	})
}

// TestServerWithoutHeartbeatGetsNoNewWork counts from the last heartbeat.
func TestServerWithoutHeartbeatGetsNoNewWork(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		s.backends[0].setDead(true)
		time.Sleep(3*time.Second - heartbeat)
		got := s.call(http.MethodPost, "/v1/completions", streamBody)
		require.Equal(t, string(request.CodeNoBackendServer), got.code)
		require.Zero(t, s.backends[0].total())
	})
}

// TestTwoFaultsAtOnce gives two of three engines different faults.
func TestTwoFaultsAtOnce(t *testing.T) {
	for _, pair := range pairCells() {
		t.Run(pair[0].name()+"+"+pair[1].name(), func(t *testing.T) {
			inBubble(t, 3, func(s *system) {
				for i, c := range pair {
					s.backends[i].breakWith(c.fault, c.at)
				}
				for range 3 {
					got := s.call(http.MethodPost, "/v1/completions", streamBody)
					require.Equal(t, answer, got.text)
					require.Equal(t, request.Completed, got.outcome)
					require.Less(t, got.elapsed, shortLimit)
				}
				s.requireNothingLeft(t)
			})
		})
	}
}

// TestLibraryNeverRepeatsABooking loses the answer on a connection to a server
// that was used before. A call with a key and no body is one that net/http
// would send again by itself.
func TestLibraryNeverRepeatsABooking(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		b := s.backends[0]
		first := s.call(http.MethodPost, bookPath, "", request.IdempotencyKeyHeader, "one")
		require.Equal(t, request.Completed, first.outcome)
		b.breakWith(faultCut, atWait)
		second := s.call(http.MethodPost, bookPath, "", request.IdempotencyKeyHeader, "two")
		require.Equal(t, request.Unknown, second.outcome)
		require.Equal(t, 2, b.total())
	})
}

// TestOutcomeOfALostAnswer asks for the outcome of a key.
func TestOutcomeOfALostAnswer(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		s.call(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "lost")
		got := s.call(http.MethodGet, "/v1/outcomes/lost?service=booking", "")
		require.Equal(t, request.Completed, got.outcome)
		require.Contains(t, got.text, `"state":"resolved"`)
		got = s.call(http.MethodGet, "/v1/outcomes/other?service=booking", "")
		require.Equal(t, string(request.CodeKeyNotFound), got.code)
		conflict := s.call(http.MethodPost, bookPath, `{"boat":"other"}`, request.IdempotencyKeyHeader, "lost")
		require.Equal(t, string(request.CodeKeyConflict), conflict.code)
		require.Equal(t, request.NotSent, conflict.outcome)
		require.Equal(t, 1, s.backends[0].total())
	})
}

// TestChatAndModels covers the other routes of the OpenAI shape.
func TestChatAndModels(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		chat := s.call(http.MethodPost, "/v1/chat/completions", `{"model":"scribe","messages":[{"role":"user","content":"hi"}]}`)
		require.Contains(t, chat.text, `"message":{"role":"assistant","content":"`+strings.TrimSpace(answer))
		require.Contains(t, chat.text, `"usage":{"prompt_tokens":5,"completion_tokens":6,"total_tokens":11}`)
		models := s.call(http.MethodGet, "/v1/models", "")
		require.Contains(t, models.text, `"id":"scribe:eulogy"`)
		metrics := s.call(http.MethodGet, "/metrics", "")
		require.Contains(t, metrics.text, `godwityoke_time_to_first_token_seconds_bucket{team="families"`)
	})
}

// TestKeptConnectionOutlivesWriteDeadlines uses one connection again after the
// time of a write has passed.
func TestKeptConnectionOutlivesWriteDeadlines(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		for _, body := range []string{streamBody, `{"model":"bard","prompt":"a"}`, streamBody} {
			got := s.call(http.MethodPost, "/v1/completions", body)
			require.NotEmpty(t, got.outcome)
			time.Sleep(time.Minute)
			require.Equal(t, http.StatusOK, s.call(http.MethodGet, "/readyz", "").status)
		}
		require.Equal(t, 1, s.callerDials)
	})
}

// TestPlannedStopAtEachStep stops the callers' side while a request is at a
// step that takes long.
func TestPlannedStopAtEachStep(t *testing.T) {
	for _, c := range stopCells() {
		t.Run(c.name(), func(t *testing.T) {
			inBubble(t, 2, func(s *system) {
				s.breakWith(c.fault, c.at, 1)
				s.call(http.MethodPost, "/v1/completions", streamBody) // the next one starts at the faulty engine
				ended := make(chan result)
				go func() { ended <- s.call(http.MethodPost, "/v1/completions", streamBody) }()
				time.Sleep(50 * time.Millisecond)
				require.NoError(t, s.callers.Shutdown(context.Background()))
				got := <-ended
				require.True(t, got.whole)
				require.Equal(t, answer, got.text)
			})
		})
	}
}

// TestClaimSteps breaks the steps around a booking: the claim, the caller while
// it runs, and the recording of its answer.
func TestClaimSteps(t *testing.T) {
	book := func(s *system) result {
		return s.call(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "k")
	}
	t.Run("hangs/claim", func(t *testing.T) {
		inBubble(t, 1, func(s *system) {
			s.claims.claimHangs = true
			got := book(s)
			require.Equal(t, request.NotSent, got.outcome)
			require.Equal(t, string(request.CodeDeadlineExceeded), got.code)
			require.Equal(t, 10*time.Second, got.elapsed)
			require.Zero(t, s.backends[0].total())
		})
	})
	t.Run("caller_leaves/wait", func(t *testing.T) {
		inBubble(t, 1, func(s *system) {
			s.breakWith(faultLate, atWait, 1)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			outgoing := s.newRequest(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "k")
			_, err := s.client.Do(outgoing.WithContext(ctx))
			require.Error(t, err)
			time.Sleep(late)
			got := s.call(http.MethodGet, "/v1/outcomes/k?service=booking", "")
			require.Equal(t, request.Completed, got.outcome)
			require.Equal(t, 1, s.backends[0].total())
		})
	})
	t.Run("hangs/record", func(t *testing.T) {
		inBubble(t, 1, func(s *system) {
			s.claims.resolveHangs = true
			got := book(s)
			require.Equal(t, request.Completed, got.outcome)
			require.Less(t, got.elapsed, 4*time.Second)
			require.Equal(t, string(request.CodeKeyInProgress), book(s).code)
			require.Equal(t, 1, s.backends[0].total())
		})
	})
}
