package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/request"
)

// TestBadInputIsNeverForwarded sends invalid requests. Each must be refused with
// its error code before it reaches a backend server.
func TestBadInputIsNeverForwarded(t *testing.T) {
	const completions, chat = "/v1/completions", "/v1/chat/completions"
	completion := func(fields string) string { return `{"model":"scribe","prompt":"hello"` + fields + `}` }
	longPrompt := `{"model":"scribe","prompt":"` + strings.Repeat("long", 1<<20+1) + `"}`
	noKey, wrongKey := []string{"Authorization", ""}, []string{"Authorization", "Bearer nobody"}
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     request.Code
	}{
		{"missing key", "POST", completions, completion(""), noKey, 401, request.CodeMissingAPIKey},
		{"unknown key", "POST", completions, completion(""), wrongKey, 401, request.CodeInvalidAPIKey},
		{"unknown model", "POST", completions, `{"model":"bard","prompt":"a"}`, nil, 404, request.CodeModelNotFound},
		{"unknown adapter", "POST", completions, `{"model":"scribe:ode","prompt":"a"}`, nil, 404, request.CodeModelNotFound},
		{"no model", "POST", completions, `{"prompt":"a"}`, nil, 400, request.CodeInvalidRequest},
		{"malformed", "POST", completions, `{"model":"scribe","prompt":"a"`, nil, 400, request.CodeInvalidRequest},
		{"trailing data", "POST", completions, completion("") + "{}", nil, 400, request.CodeInvalidRequest},
		{"not an object", "POST", completions, `["scribe"]`, nil, 400, request.CodeInvalidRequest},
		{"empty", "POST", completions, ``, nil, 400, request.CodeInvalidRequest},
		{"prompt of a wrong type", "POST", completions, `{"model":"scribe","prompt":7}`, nil, 400, request.CodeInvalidRequest},
		{"list of prompts", "POST", completions, `{"model":"scribe","prompt":["a","b"]}`, nil, 400, request.CodeInvalidRequest},
		{"empty prompt", "POST", completions, `{"model":"scribe","prompt":""}`, nil, 400, request.CodeInvalidRequest},
		{"repeated key", "POST", completions, completion(`,"model":"scribe"`), nil, 400, request.CodeInvalidRequest},
		{"stream of a wrong type", "POST", completions, completion(`,"stream":"yes"`), nil, 400, request.CodeInvalidRequest},
		{"max_tokens 0", "POST", completions, completion(`,"max_tokens":0`), nil, 400, request.CodeInvalidRequest},
		{"max_tokens fraction", "POST", completions, completion(`,"max_tokens":1.5`), nil, 400, request.CodeInvalidRequest},
		{"max_tokens too large", "POST", completions, completion(`,"max_tokens":4097`), nil, 400, request.CodeInvalidRequest},
		{"two answers", "POST", completions, completion(`,"n":2`), nil, 400, request.CodeInvalidRequest},
		{"chat without messages", "POST", chat, `{"model":"scribe","messages":[]}`, nil, 400, request.CodeInvalidRequest},
		{"content type", "POST", completions, completion(""), []string{"Content-Type", "text/plain"}, 400, request.CodeInvalidRequest},
		{"prompt beyond the largest class", "POST", completions, longPrompt, nil, 400, request.CodePromptTooLong},
		{"body too large", "POST", completions, strings.Repeat(" ", 16<<20+1), nil, 413, request.CodeBodyTooLarge},
		{"deadline too short", "POST", completions, completion(""), []string{request.DeadlineHeader, "1ms"}, 400, request.CodeDeadlineOutOfRange},
		{"deadline too long", "POST", completions, completion(""), []string{request.DeadlineHeader, "31s"}, 400, request.CodeDeadlineOutOfRange},
		{"deadline without unit", "POST", completions, completion(""), []string{request.DeadlineHeader, "5"}, 400, request.CodeDeadlineOutOfRange},
		{"unknown service", "POST", "/services/lunch/voyages", `{}`, nil, 404, request.CodeServiceNotFound},
		{"unknown operation", "DELETE", bookPath, ``, nil, 404, request.CodeServiceNotFound},
		{"path upwards", "GET", bookPath + "/../admin", ``, nil, 404, request.CodeServiceNotFound},
		{"service of another team", "POST", bookPath, `{}`, []string{"Authorization", "Bearer key-archive"}, 403, request.CodeForbidden},
		{"key too long", "POST", bookPath, `{}`, []string{request.IdempotencyKeyHeader, strings.Repeat("k", 256)}, 400, request.CodeInvalidRequest},
		{"unknown path", "POST", "/v1/embeddings", `{}`, nil, 404, request.CodeInvalidRequest},
		{"unknown method", "GET", completions, ``, nil, 405, request.CodeInvalidRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSystem(t, 1, func(s *system) {
				got := s.call(c.method, c.path, c.body, c.headers...)
				require.Equal(t, c.status, got.status, got.text)
				require.Equal(t, string(c.code), got.code, got.text)
				require.Equal(t, request.NotRun, got.outcome)
				require.Zero(t, s.backends[0].totalRuns())
				s.requireBodyMemoryFree(t)
			})
		})
	}
}

// TestSlowAndEndlessCallers sends headers and bodies that are very slow or never
// end. Each must be refused within 3 s, or it would hold a connection and memory.
func TestSlowAndEndlessCallers(t *testing.T) {
	head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nAuthorization: Bearer " + teamKey + "\r\n"
	cases := []struct {
		name, start string
		drip        string
		pause       time.Duration
		expected    string
	}{
		{"slow header", "POST /v1/comp", "l", 300 * time.Millisecond, "400 Bad Request"},
		{"endless header", head, "X-More: and more\r\n", 0, "431 Request Header Fields Too Large"},
		{"slow body", head + "Content-Length: 1000\r\n\r\n", "x", 300 * time.Millisecond, "408 Request Timeout"},
		{"slow body of a refused request", strings.Replace(head, "application/json", "text/plain", 1) + "Content-Length: 1000\r\n\r\n", "x", 300 * time.Millisecond, "400 Bad Request"},
		{"slow body without a route", strings.Replace(head, "completions", "nothing", 1) + "Content-Length: 1000\r\n\r\n", "x", 300 * time.Millisecond, "404 Not Found"},
		{"endless body", head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n", 0, "413 Request Entity Too Large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSystem(t, 1, func(s *system) {
				conn, err := s.network.dial(context.Background(), "tcp", entryAddress)
				require.NoError(t, err)
				defer conn.Close()
				go drip(conn, c.start, c.drip, c.pause)
				started := time.Now()
				status, _ := bufio.NewReader(conn).ReadString('\n')
				require.Contains(t, status, c.expected)
				require.Less(t, time.Since(started), 3*time.Second)
				require.Zero(t, s.backends[0].totalRuns())
				_ = conn.Close()
				time.Sleep(time.Second)
				s.requireBodyMemoryFree(t)
			})
		})
	}
}

// drip writes start and then piece after each pause, until the connection
// breaks.
func drip(conn net.Conn, start, piece string, pause time.Duration) {
	_, err := io.WriteString(conn, start)
	for err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(conn, piece)
	}
}

// TestLongPromptIsForwardedUnchanged sends a body of 4 MB with unusual spaces,
// order of fields and escapes. The engine must get the same bytes.
func TestLongPromptIsForwardedUnchanged(t *testing.T) {
	withSystem(t, 1, func(s *system) {
		body := fmt.Sprintf(`{ "prompt" : "%s\u00e9", "model":"scribe", "max_tokens":6 }`, strings.Repeat("abc\\n", 800_000))
		got := s.call(http.MethodPost, "/v1/completions", body)
		require.Equal(t, request.Completed, got.outcome, got)
		require.Equal(t, body, s.backends[0].lastBody)
		s.requireBodyMemoryFree(t)
	})
}
