package pipeline_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bodybuf"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/callers"
	filterplace "godwityoke.example/godwityoke/internal/filter/place"
	"godwityoke.example/godwityoke/internal/fleet"
	"godwityoke.example/godwityoke/internal/limit"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pipeline"
	"godwityoke.example/godwityoke/internal/reclaim"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	entryAddress      = "10.0.0.1:80"
	teamKey           = "key-families"
	heartbeatInterval = 500 * time.Millisecond
	unresponsiveAfter = 2 * time.Second
	bodyTimeout       = time.Second
)

// system is the request path of an entry VM with its backend servers and one
// caller, all in one synctest bubble.
type system struct {
	t         *testing.T
	network   *pipeNetwork
	table     *fleet.Table
	reclaimer *reclaim.Reclaimer
	bodies    *bodybuf.Pool
	claims    *memoryClaims
	metrics   *observe.Metrics
	backends  []*fakeBackend
	callers   *http.Server
	client    *http.Client
	// closers close the idle connections of the transports.
	closers []func()
	// callerConnections counts the connections that client has opened. It needs
	// no lock because client sends one request at a time.
	callerConnections int
	// cancel stops the heartbeats and the reclaimer.
	cancel context.CancelFunc
}

// withSystem runs test in a synctest bubble against a system with count backend
// servers.
func withSystem(t *testing.T, count int, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, count)
		defer s.close()
		test(s)
	})
}

func newSystem(t *testing.T, count int) *system {
	t.Helper()
	s := &system{t: t, network: newPipeNetwork(), table: fleet.NewTable("a", unresponsiveAfter), claims: newMemoryClaims(), metrics: observe.NewMetrics()}
	background, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	loaded, findings, err := bundle.Load("../../examples/bundle.json")
	require.NoError(t, err)
	require.Empty(t, findings)
	booking := &loaded.Services[0]
	booking.Operations = append(booking.Operations, bundle.Operation{
		Name: "look", Method: http.MethodHead, Path: "/voyages/*", Idempotent: true, TimeLimit: booking.Operations[1].TimeLimit,
	})
	holder := bundle.NewHolder()
	holder.Advance(&bundle.AcceptedBundle{Version: 1, Bundle: loaded})
	s.serveCallers(background, holder)
	for i := range count {
		s.addBackend(background, i)
	}
	synctest.Wait()
	return s
}

// transport returns a transport over the pipe network. With fresh it opens a connection
// for each request.
func (s *system) transport(fresh bool) *http.Transport {
	transport := &http.Transport{DisableKeepAlives: fresh, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		defer cancel()
		return s.network.dial(ctx, network, address)
	}}
	s.closers = append(s.closers, transport.CloseIdleConnections)
	return transport
}

func (s *system) serveCallers(ctx context.Context, holder *bundle.Holder) {
	idGenerator := request.NewIDGenerator()
	fresh := s.transport(true)
	s.reclaimer = reclaim.New(reclaim.NewClient(fresh), s.table, idGenerator, zerolog.Nop())
	go s.reclaimer.Run(ctx)
	s.bodies = bodybuf.NewPool(64 << 20)
	path := pipeline.NewRequestPath(pipeline.Config{
		Limiter: limit.New(1), Bodies: s.bodies, MaxInFlight: 100, Claims: s.claims,
		EnginePlacer: filterplace.NewEnginePlacer(s.table), ServicePlacer: filterplace.NewServicePlacer(s.table),
		IDGenerator: idGenerator, PooledTransport: s.transport(false), FreshTransport: fresh, Liveness: s.table,
		Reclaimer: s.reclaimer, Metrics: s.metrics, Logger: zerolog.Nop(),
	})
	handler := callers.NewHandler(callers.Config{
		Bundles: holder, Pipeline: path, IDGenerator: idGenerator, Claims: s.claims,
		CheckReady: func() error { return nil }, BodyTimeout: bodyTimeout, Metrics: s.metrics, Logger: zerolog.Nop(), Registry: callers.NewRegistry(),
	})
	s.callers = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, MaxHeaderBytes: 32 << 10}
	listener := s.network.listen(entryAddress)
	go func() { _ = s.callers.Serve(listener) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		s.callerConnections++
		return s.network.dial(ctx, network, address)
	}}
	s.closers = append(s.closers, transport.CloseIdleConnections)
	s.client = &http.Client{Transport: transport}
}

// addBackend starts a backend server that announces itself as model engine and
// as plain service at each heartbeat interval.
func (s *system) addBackend(ctx context.Context, number int) {
	address := fmt.Sprintf("10.0.1.%d:80", number+1)
	b := newFakeBackend(s.network, fmt.Sprintf("server-%d", number), address)
	s.backends = append(s.backends, b)
	announce := func(sequence uint64) {
		engine := backendapi.Announcement{
			ServerID: b.id, Incarnation: 1, Sequence: sequence, Kind: backendapi.KindEngine, Zone: "a", Address: address,
			State: b.state(), MemoryTokens: 1 << 20, Models: []backendapi.ServedModel{{Name: "scribe", Version: "1"}},
		}
		service := engine
		service.ServerID, service.Kind, service.Service, service.Models = b.id+"-service", backendapi.KindService, "booking", nil
		for _, announcement := range []backendapi.Announcement{engine, service} {
			_, err := s.table.Apply(&announcement, time.Now())
			require.NoError(s.t, err)
		}
	}
	announce(1)
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for sequence := uint64(2); ; sequence++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if b.sendsHeartbeats() {
					announce(sequence)
				}
			}
		}
	}()
}

// injectFault injects the same fault into the first count backend servers.
func (s *system) injectFault(f fault, step faultStep, count int) {
	for _, b := range s.backends[:count] {
		b.injectFault(f, step)
	}
}

func (s *system) close() {
	s.cancel()
	_ = s.callers.Close()
	for _, b := range s.backends {
		_ = b.server.Close()
		_ = b.listener.Close()
	}
	for _, closer := range s.closers {
		closer()
	}
	time.Sleep(lateAnswerDelay + freezeTime) // lets the timers of the backend servers expire
}

// result is the answer that a caller got.
type result struct {
	status   int
	outcome  request.Outcome
	code     string
	text     string
	complete bool
	elapsed  time.Duration
}

// newRequest returns a caller's request with the key of the team "families".
// The headers are alternating names and values.
func (s *system) newRequest(method, path, body string, headers ...string) *http.Request {
	s.t.Helper()
	httpRequest, err := http.NewRequest(method, "http://"+entryAddress+path, strings.NewReader(body))
	require.NoError(s.t, err)
	httpRequest.Header.Set("Authorization", "Bearer "+teamKey)
	httpRequest.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		httpRequest.Header.Set(headers[i], headers[i+1])
	}
	return httpRequest
}

// call sends a request and reads its answer to the end.
func (s *system) call(method, path, body string, headers ...string) result {
	s.t.Helper()
	started := time.Now()
	httpRequest := s.newRequest(method, path, body, headers...)
	response, err := s.client.Do(httpRequest)
	require.NoError(s.t, err)
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return newResult(response, string(received), time.Since(started))
}

// newResult extracts the outcome, the error code and the text from an answer.
func newResult(response *http.Response, body string, elapsed time.Duration) result {
	r := result{status: response.StatusCode, elapsed: elapsed, text: body}
	r.outcome = request.Outcome(response.Header.Get(request.OutcomeHeader))
	if trailer := response.Trailer.Get(request.OutcomeHeader); trailer != "" {
		r.outcome = request.Outcome(trailer)
	}
	var failure errorBody
	for event := range strings.SplitSeq(body, "\n\n") {
		event = strings.TrimPrefix(event, "data: ")
		if json.Unmarshal([]byte(event), &failure) == nil && failure.Error.Code != "" {
			r.code = failure.Error.Code
			r.outcome = failure.Error.Outcome
		}
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		r.text, r.complete = streamText(body)
	}
	return r
}

type errorBody struct {
	Error struct {
		Code    string          `json:"code"`
		Outcome request.Outcome `json:"outcome"`
	} `json:"error"`
}

// streamText joins the tokens of a stream and reports whether it ends with the
// end mark.
func streamText(body string) (string, bool) {
	var text strings.Builder
	for event := range strings.SplitSeq(body, "\n\n") {
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	return text.String(), strings.HasSuffix(body, "data: [DONE]\n\n")
}
