package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/request"
)

// failurePoints returns, for each point of the table in docs/OUTCOMES.md, a
// function that makes every attempt fail at that point.
func failurePoints() map[string]func(s *system) {
	acceptWith := func(handle func(conn net.Conn)) func(s *system) {
		return func(s *system) {
			for _, b := range s.backends {
				b.listener.onAccept = func(conn net.Conn) bool {
					go func() {
						handle(conn)
						_ = conn.Close()
					}()
					return true
				}
			}
		}
	}
	failDial := func(failure error) func(s *system) {
		return func(s *system) {
			for _, b := range s.backends {
				b.listener.onDial = func(ctx context.Context) error {
					var unresolved *net.DNSError
					if !errors.As(failure, &unresolved) {
						httptrace.ContextClientTrace(ctx).ConnectStart("tcp", "") // as net.Dialer does
					}
					return failure
				}
			}
		}
	}
	return map[string]func(s *system){
		"resolve": failDial(&net.DNSError{Err: "no such host", Name: "service"}),
		"dial":    failDial(&net.OpError{Op: "dial", Err: errors.New("connection refused")}),
		"headers": acceptWith(func(net.Conn) {}),
		"body":    acceptWith(readPartOfBody),
		"wait":    acceptWith(func(conn net.Conn) { readRequest(conn) }),
		"answer": acceptWith(func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n"+backendapi.HeaderAttempt+": other\r\n\r\nhi")
		}),
		"end": acceptWith(func(conn net.Conn) {
			id := readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 99\r\n"+backendapi.HeaderAttempt+": "+id+"\r\n\r\n")
		}),
		"refused": func(s *system) { s.injectFault(faultRefuses, stepWait, len(s.backends)) },
	}
}

// readPartOfBody reads the header of a request and one byte of its body.
func readPartOfBody(conn net.Conn) {
	var read []byte
	next := make([]byte, 1)
	for !bytes.HasSuffix(read, []byte("\r\n\r\n")) {
		if _, err := conn.Read(next); err != nil {
			return
		}
		read = append(read, next[0])
	}
	_, _ = conn.Read(next)
}

// readRequest reads a whole request and returns its attempt id, empty when the
// request cannot be read.
func readRequest(conn net.Conn) string {
	received, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, received.Body)
	return received.Header.Get(backendapi.HeaderAttempt)
}

// outcomeRow is one row of the table in docs/OUTCOMES.md: the outcomes of a request that
// fails at point, for an idempotent request, a call without an idempotency key, and a call
// whose key could or could not be sealed.
type outcomeRow struct {
	point                                string
	idempotent, noKey, sealed, notSealed request.Outcome
}

func readOutcomeTable(t *testing.T) []outcomeRow {
	t.Helper()
	page, err := os.ReadFile("../../docs/OUTCOMES.md")
	require.NoError(t, err)
	_, table, found := bytes.Cut(page, []byte("| point |"))
	require.True(t, found)
	var rows []outcomeRow
	for _, line := range strings.Split(string(table), "\n")[2:] {
		fields := strings.Split(line, "|")
		if len(fields) < 7 {
			break
		}
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		rows = append(rows, outcomeRow{
			point: fields[1], idempotent: request.Outcome(fields[2]), noKey: request.Outcome(fields[3]),
			sealed: request.Outcome(fields[4]), notSealed: request.Outcome(fields[5]),
		})
	}
	return rows
}

// TestOutcomeTable makes requests fail at each point of the table in
// docs/OUTCOMES.md and compares the outcomes. The point "tls" cannot occur on
// the plaintext connections to backend servers; internal/filter/dispatch tests
// it.
func TestOutcomeTable(t *testing.T) {
	points := failurePoints()
	rows := readOutcomeTable(t)
	require.Len(t, rows, len(points)+1)
	for _, row := range rows {
		if row.point == string(request.StepTLS) {
			continue
		}
		require.Contains(t, points, row.point)
		check := func(name string, expected request.Outcome, run func(s *system) result) {
			t.Run(row.point+"/"+name, func(t *testing.T) {
				withSystem(t, 2, func(s *system) {
					points[row.point](s)
					got := run(s)
					require.Equal(t, expected, got.outcome, got)
					if expected == request.NotRun || expected == request.NotSent {
						require.Zero(t, s.backends[0].totalRuns()+s.backends[1].totalRuns())
					}
				})
			})
		}
		book := func(s *system) result {
			return s.call(http.MethodPost, bookPath, bookingBody, request.IdempotencyKeyHeader, "k")
		}
		check("engine", row.idempotent, func(s *system) result {
			got := s.call(http.MethodPost, "/v1/completions", streamBody)
			s.requireFailureStep(row.point)
			return got
		})
		check("idempotent", row.idempotent, func(s *system) result { return s.call(http.MethodGet, bookPath+"/7", "") })
		check("no_key", row.noKey, func(s *system) result { return s.call(http.MethodPost, bookPath, bookingBody) })
		check("key_sealed", row.sealed, book)
		check("key_not_sealed", row.notSealed, func(s *system) result {
			s.claims.sealFails = true
			return book(s)
		})
	}
}

// requireFailureStep checks by the metrics that attempts failed at point.
// net/http reports the headers as written once they are in its buffer, so that
// a failure while they are sent may be counted for the body.
func (s *system) requireFailureStep(point string) {
	s.t.Helper()
	steps := []string{point}
	switch point {
	case "refused":
		steps = []string{string(request.StepWait)}
	case string(request.StepHeaders):
		steps = append(steps, string(request.StepBody))
	}
	seen := int64(0)
	for _, step := range steps {
		seen += s.metrics.Counter("godwityoke_attempt_failures_total", observe.Label{Name: "step", Value: step}).Count()
	}
	require.Positive(s.t, seen, point)
}
