package process_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/settings"
)

// exampleBundle returns the path of a bundle that serves the model "scribe" and the
// service "booking" to the team "families" with the API key "key-families".
func exampleBundle(t testing.TB) string {
	t.Helper()
	file, err := filepath.Abs("../../examples/bundle.json")
	require.NoError(t, err)
	return file
}

func entrySettings(t testing.TB) *settings.Settings {
	t.Helper()
	loaded := settings.Defaults()
	loaded.VM = settings.VM{Name: "entry-a1", Zone: "a"}
	loaded.Roles = []settings.Role{settings.RoleEntry}
	loaded.Listen = settings.Listen{
		Callers: "127.0.0.1:0", Backends: "127.0.0.1:0", Internal: "127.0.0.1:0", Operators: "127.0.0.1:0",
	}
	loaded.EntryVMs = []settings.Peer{{Name: "entry-a1", Zone: "a", Internal: "127.0.0.1:0", Backends: "127.0.0.1:0"}}
	loaded.BundleFile = exampleBundle(t)
	loaded.Shutdown.BalancerWait = jsonc.Duration(time.Millisecond)
	return &loaded
}

// startBackend starts a backend server that, as an engine, streams words and, as a service,
// echoes request bodies. The engine receives from step before each word after the first. It
// returns the server's address.
func startBackend(t *testing.T, words []string, step <-chan struct{}) string {
	t.Helper()
	routes := http.NewServeMux()
	routes.HandleFunc(backendapi.PathCompletions, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(backendapi.HeaderAttempt)
		w.Header().Set("Content-Type", "text/event-stream")
		for i, word := range words {
			if i > 0 {
				<-step
			}
			writeChunk(w, backendapi.Chunk{Attempt: id, Index: int64(i), Text: word})
		}
		writeChunk(w, backendapi.Chunk{Attempt: id, End: true, Count: int64(len(words)), FinishReason: "stop", PromptTokens: 3})
	})
	routes.HandleFunc("/voyages", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(backendapi.HeaderAttempt, r.Header.Get(backendapi.HeaderAttempt))
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	})
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func writeChunk(w http.ResponseWriter, chunk backendapi.Chunk) {
	body, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	w.(http.Flusher).Flush()
}

func announce(t testing.TB, to string, a backendapi.Announcement) backendapi.AnnounceReply {
	t.Helper()
	body, err := json.Marshal(a)
	require.NoError(t, err)
	response, err := http.Post("http://"+to+backendapi.PathAnnounce, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	var reply backendapi.AnnounceReply
	require.NoError(t, json.NewDecoder(response.Body).Decode(&reply))
	return reply
}

func announceServiceAndEngine(t *testing.T, to, backend string) backendapi.AnnounceReply {
	t.Helper()
	announce(t, to, backendapi.Announcement{
		ServerID: "booking-1", Incarnation: 1, Sequence: 1, Kind: backendapi.KindService, Zone: "a",
		Address: backend, State: backendapi.StateServing, Service: "booking",
	})
	return announce(t, to, backendapi.Announcement{
		ServerID: "engine-1", Incarnation: 1, Sequence: 1, Kind: backendapi.KindEngine, Zone: "a",
		Address: backend, State: backendapi.StateServing, MemoryTokens: 1 << 20,
		Models: []backendapi.ServedModel{{Name: "scribe", Version: "1"}},
	})
}

func post(t testing.TB, url, body string) *http.Response {
	t.Helper()
	outgoing, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	outgoing.Header.Set("Authorization", "Bearer key-families")
	outgoing.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(outgoing)
	require.NoError(t, err)
	return response
}

func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

// TestEntryServesStreamsAndServices sends a non-streamed and a streamed completion and a
// call of a plain service through an entry VM.
func TestEntryServesStreamsAndServices(t *testing.T) {
	p, err := process.Start(t.Context(), process.Options{Settings: entrySettings(t), Logger: zerolog.Nop()})
	require.NoError(t, err)
	defer p.Kill()
	require.NoError(t, p.CheckReady())
	step := make(chan struct{})
	close(step)
	reply := announceServiceAndEngine(t, p.Addresses().Backends, startBackend(t, []string{"a ", "calm ", "sea"}, step))
	require.Equal(t, []string{p.Addresses().Backends}, reply.EntryVMs)
	callers := "http://" + p.Addresses().Callers

	complete := post(t, callers+"/v1/completions", `{"model":"scribe","prompt":"say","max_tokens":9}`)
	require.Equal(t, string(request.Completed), complete.Header.Get(request.OutcomeHeader))
	require.Contains(t, readBody(t, complete), `"text":"a calm sea"`)

	stream := post(t, callers+"/v1/completions", `{"model":"scribe","prompt":"say","max_tokens":9,"stream":true}`)
	events := readBody(t, stream)
	require.True(t, strings.HasSuffix(events, "data: [DONE]\n\n"), events)
	require.Equal(t, string(request.Completed), stream.Trailer.Get(request.OutcomeHeader))

	service := post(t, callers+"/services/booking/voyages", `{"boat":1}`)
	require.Equal(t, `{"boat":1}`, readBody(t, service))
	require.Equal(t, string(request.Completed), service.Header.Get(request.OutcomeHeader))
	requireOperatorsOnly(t, p.Addresses())
}

// requireOperatorsOnly checks that the debug endpoints are served to operators and not to
// callers.
func requireOperatorsOnly(t *testing.T, addresses process.Addresses) {
	t.Helper()
	for _, path := range []string{"/debug/pprof/cmdline", "/debug/requests", "/debug/servers"} {
		for address, status := range map[string]int{addresses.Operators: http.StatusOK, addresses.Callers: http.StatusNotFound} {
			response, err := http.Get("http://" + address + path)
			require.NoError(t, err)
			_ = response.Body.Close()
			require.Equal(t, status, response.StatusCode, path)
		}
	}
}

// TestGracefulStopFinishesOpenStream checks that a stop waits for a stream that is in
// progress when the stop begins, and cuts off no request.
func TestGracefulStopFinishesOpenStream(t *testing.T) {
	signals := make(chan os.Signal, 2)
	p, err := process.Start(t.Context(), process.Options{Settings: entrySettings(t), Logger: zerolog.Nop()})
	require.NoError(t, err)
	defer p.Kill()
	step := make(chan struct{})
	announceServiceAndEngine(t, p.Addresses().Backends, startBackend(t, []string{"a ", "calm ", "sea"}, step))
	callers := "http://" + p.Addresses().Callers
	stream := post(t, callers+"/v1/completions", `{"model":"scribe","prompt":"say","max_tokens":9,"stream":true}`)
	defer stream.Body.Close()
	reader := bufio.NewReader(stream.Body)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)

	stopped := make(chan int, 1)
	go func() { stopped <- len(p.Stop(context.Background())) }()
	require.Eventually(t, func() bool { return p.CheckReady() != nil }, 5*time.Second, time.Millisecond)
	close(step)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), string(rest))
	require.Zero(t, <-stopped)
	close(signals)
}

// TestHandlerPanicIsLoggedAsEvent checks that the error output of net/http, here of a panic
// in an operators' handler, is logged as event 3010.
func TestHandlerPanicIsLoggedAsEvent(t *testing.T) {
	log := &lockedBuffer{}
	p, err := process.Start(t.Context(), process.Options{Settings: entrySettings(t), Logger: zerolog.New(log)})
	require.NoError(t, err)
	defer p.Kill()
	p.Host().OperatorMux.HandleFunc("/fails", func(http.ResponseWriter, *http.Request) { panic("on purpose") })
	_, err = http.Get("http://" + p.Addresses().Operators + "/fails")
	require.Error(t, err)
	require.Eventually(t, func() bool { return strings.Contains(log.String(), `"event":3010`) }, 5*time.Second, time.Millisecond)
}

// lockedBuffer collects log lines. It is locked because requests that were cut off may
// still log after the stop.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns the lines logged so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestSecondSignalLogsCutRequests checks that a second signal ends a graceful stop that
// waits for an endless stream, and that the log then names the request that was cut off.
func TestSecondSignalLogsCutRequests(t *testing.T) {
	log := &lockedBuffer{}
	options := process.Options{Settings: entrySettings(t), Logger: zerolog.New(log)}
	p, err := process.Start(t.Context(), options)
	require.NoError(t, err)
	step := make(chan struct{})
	defer close(step)
	announceServiceAndEngine(t, p.Addresses().Backends, startBackend(t, []string{"a ", "sea"}, step))
	stream := post(t, "http://"+p.Addresses().Callers+"/v1/completions", `{"model":"scribe","prompt":"say","stream":true}`)
	defer stream.Body.Close()
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	require.ErrorContains(t, p.RunUntilSignal(t.Context(), signals), "cut 1 requests")
	require.Contains(t, log.String(), stream.Header.Get(request.RequestIDHeader))
	require.Contains(t, log.String(), "process_stop_forced")
}
