package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/routes"
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
			ID: fmt.Sprintf("r%d", n), Host: "h", Path: "/stream/x", Key: "key", ArrivedAt: time.Now(), Timeout: time.Second, Parts: parts,
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
