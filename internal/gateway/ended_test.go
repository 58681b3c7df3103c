package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

// disconnectedCaller is a caller that disconnects after the first event.
type disconnectedCaller struct {
	fakeCaller
	events int
}

func (c *disconnectedCaller) WriteEvent([]byte) error {
	c.events++
	if c.events > 1 {
		return errors.New("broken pipe")
	}
	return nil
}

// panickingCaller panics when the response is sent.
type panickingCaller struct{ fakeCaller }

func (*panickingCaller) WriteResponse(int, http.Header, []byte) error { panic("test") }

func serveLogged(f *fakes, kind string, caller Caller) string {
	var out bytes.Buffer
	table := testTable()
	g := New(Options{
		Table: func() *routes.Table { return table }, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f, Zone: "a", Incarnation: 1,
		StopsIn: func() (time.Duration, bool) { return 0, false }, Logger: zerolog.New(&out), Metrics: observe.NewMetrics(),
	})
	g.Serve(context.Background(), &Request{
		ID: "r1", Host: "h", Path: "/" + kind + "/x", Key: "key", ArrivedAt: time.Now(), Timeout: time.Second,
	}, caller)
	return out.String()
}

func TestRequestOfADisconnectedCallerHasALastLine(t *testing.T) {
	f := &fakes{responses: []func(*Attempt) (*Response, error){respond(200, events, nil)}}
	lines := serveLogged(f, "stream", &disconnectedCaller{})
	require.Contains(t, lines, `"name":"request_abandoned"`)
	require.Contains(t, lines, `"error":"broken pipe"`)
}

func TestPanicWhileARequestIsServedIsLogged(t *testing.T) {
	var out bytes.Buffer
	g := New(Options{Logger: zerolog.New(&out)})
	f := &fakes{responses: []func(*Attempt) (*Response, error){respond(200, "ok", nil)}}
	g.options.Table = testTable
	g.options.Placer, g.options.Budget, g.options.Servers, g.options.Backend, g.options.Memory = f, f, f, f, f
	g.options.StopsIn, g.options.Metrics = func() (time.Duration, bool) { return 0, false }, observe.NewMetrics()
	require.PanicsWithValue(t, "test", func() {
		g.Serve(context.Background(), &Request{ID: "r1", Host: "h", Path: "/safe/x", Key: "key", ArrivedAt: time.Now()}, &panickingCaller{})
	})
	require.Contains(t, out.String(), `"name":"request_panicked"`)
	require.Contains(t, out.String(), `"request":"r1"`)
}

func TestLastLineOfAStreamTellsHowItsResponseEnded(t *testing.T) {
	answer := func(framing Framing) func(*Attempt) (*Response, error) {
		return func(attempt *Attempt) (*Response, error) {
			response, err := respond(200, events, nil)(attempt)
			response.Framing = framing
			return response, err
		}
	}
	for _, framing := range []Framing{FramedByChunks, FramedByLength} {
		lines := serveLogged(&fakes{responses: []func(*Attempt) (*Response, error){answer(framing)}}, "stream", &fakeCaller{})
		require.Contains(t, lines, `"name":"request_answered"`)
		require.Contains(t, lines, `"end":{"framing":"`+framing.String()+`","relayed":false,"last_event":2,"events":2,"left":`)
		require.Contains(t, lines, `"server_state":"ready","closed":false,"probe":"unclear","lost_holders":0}`)
	}
}
