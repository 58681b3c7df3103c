package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/gateway"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// oneServer is a backend server, with all that a gateway needs besides it. It answers a whole request after 900 ms and
// sends an event of a stream each 100 ms without end.
type oneServer struct {
	mu sync.Mutex
	// received holds the ids of the requests that were passed on.
	received map[string]bool
}

func (s *oneServer) Place(_ context.Context, request schedule.PlacementRequest) (schedule.Placement, error) {
	return schedule.Placement{ID: request.ID, Server: "s"}, nil
}
func (s *oneServer) Started(schedule.JobID)                 {}
func (s *oneServer) Ended(schedule.JobID, schedule.Outcome) {}
func (s *oneServer) CountRequest(string)                    {}
func (s *oneServer) CanRetry(string) bool                   { return false }
func (s *oneServer) TryRetry(string) bool                   { return false }
func (s *oneServer) Find(id string) (roster.Server, bool)   { return roster.Server{ID: id}, true }
func (s *oneServer) Reserve(context.Context, roster.Server, string, int, time.Duration) error {
	return nil
}
func (s *oneServer) Release(context.Context, roster.Server, string) error { return nil }

func (s *oneServer) Send(ctx context.Context, attempt *gateway.Attempt) (*gateway.Response, error) {
	s.mu.Lock()
	s.received[attempt.Request.ID] = true
	s.mu.Unlock()
	isStream := strings.HasPrefix(attempt.Request.Path, "/stream/")
	if !isStream {
		select {
		case <-time.After(900 * time.Millisecond):
		case <-ctx.Done():
			return nil, &gateway.AttemptError{Delivery: gateway.DeliveryUnknown, Err: ctx.Err()}
		}
	}
	body := &serverBody{ctx: ctx, isStream: isStream}
	return &gateway.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Verified: true, IsStream: isStream}, nil
}

// serverBody is the body of an answer, empty unless it is a stream.
type serverBody struct {
	ctx      context.Context
	isStream bool
	events   int
}

func (b *serverBody) Read(p []byte) (int, error) {
	if !b.isStream {
		return 0, io.EOF
	}
	select {
	case <-time.After(100 * time.Millisecond):
		b.events++
		return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", b.events)), nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}
func (b *serverBody) SetReadDeadline(time.Time) error   { return nil }
func (b *serverBody) ClosedByServer(time.Duration) bool { return false }
func (b *serverBody) Close() error                      { return nil }

// responseCaller is a gateway.Caller on an HTTP response.
type responseCaller struct {
	http.ResponseWriter
	aborted bool
}

func (c *responseCaller) Refuse(gateway.RefusalCode, time.Duration) {
	c.WriteHeader(http.StatusServiceUnavailable)
}
func (c *responseCaller) Fail(gateway.FailureCode) { c.WriteHeader(http.StatusBadGateway) }
func (c *responseCaller) WriteResponse(status int, _ http.Header, body []byte) error {
	c.WriteHeader(status)
	_, err := c.Write(body)
	return err
}
func (c *responseCaller) BeginStream(status int, _ http.Header) error {
	c.WriteHeader(status)
	return nil
}
func (c *responseCaller) WriteEvent(raw []byte) error {
	if _, err := c.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(c.ResponseWriter).Flush()
}
func (c *responseCaller) Abort() { c.aborted = true }

// startStoppable starts the callers' side of an entry VM in front of server.
func startStoppable(t *testing.T, server *oneServer) (e *Entry, servers *callerServers, address string) {
	t.Helper()
	var list []routes.Route
	for name, kind := range map[string]routes.Kind{"safe": routes.KindSafe, "unsafe": routes.KindUnsafe, "stream": routes.KindStream} {
		list = append(list, routes.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 1500 * time.Millisecond, TargetLatency: time.Second,
			TargetGap: time.Second, Split: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		})
		if kind == routes.KindStream {
			list[len(list)-1].Timeout = 15 * time.Second
		}
	}
	table := routes.New(routes.Table{Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: list})
	e = &Entry{settings: &Settings{StopLimit: 12 * time.Second}, logger: zerolog.Nop()}
	e.gateway = gateway.New(gateway.Options{
		Table: func() *routes.Table { return table }, Placer: server, Budget: server, Servers: server, Backend: server, Memory: server,
		StopsIn: e.stopsIn, LateInStop: balancerWait, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	servers = newCallerServers(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.lastRequest.Store(time.Now().UnixNano())
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		caller := &responseCaller{ResponseWriter: w}
		e.gateway.Serve(r.Context(), &gateway.Request{
			ID: r.Header.Get("Id"), Host: r.Host, Path: r.URL.Path, Header: http.Header{}, Body: body, ArrivedAt: time.Now(),
		}, caller)
		if caller.aborted {
			panic(http.ErrAbortHandler)
		}
	}), func() routes.Limits { return routes.Limits{} }, zerolog.Nop())
	go servers.run(context.Background())
	return e, servers, listener.Addr().String()
}

// send sends a request, its last bytes a while after the others if pause is positive. It returns the status, and an error
// unless the response is complete.
func (c *rawCaller) send(id, kind string, pause time.Duration) (int, error) {
	text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody", kind, id)
	split := len(text)
	if pause > 0 {
		split -= 2
	}
	if _, err := io.WriteString(c, text[:split]); err != nil {
		return 0, err
	}
	time.Sleep(pause)
	if _, err := io.WriteString(c, text[split:]); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Requests are sent at each 100 ms of a stop. Only streams that are sent early in it may be cut, since they have no end.
func TestRequestThatIsPassedOnDuringAPlannedStopIsAnswered(t *testing.T) {
	t.Parallel()
	const lateAfter = 3 * time.Second // the platform's bound for requests that may outlast a stop
	server := &oneServer{received: map[string]bool{}}
	e, servers, address := startStoppable(t, server)
	begunAt := time.Now().Add(time.Second) // leaves time to open the kept connections
	var sending sync.WaitGroup
	start := func(after time.Duration, kind, way string) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return // the VM has stopped
		}
		t.Cleanup(func() { _ = conn.Close() })
		caller := &rawCaller{Conn: conn, reader: bufio.NewReader(conn)}
		sending.Go(func() {
			var pause time.Duration
			switch way {
			case "kept connection":
				_, _ = caller.send("first", "missing", 0)
			case "body in two parts":
				pause = 350 * time.Millisecond
			}
			time.Sleep(time.Until(begunAt.Add(after)))
			id := fmt.Sprintf("%s, %s, sent after %v", kind, way, after)
			status, err := caller.send(id, kind, pause)
			server.mu.Lock()
			defer server.mu.Unlock()
			switch {
			case err != nil && server.received[id] && (kind != "stream" || after > lateAfter):
				t.Errorf("%s: passed on and not answered: %v", id, err)
			case status == http.StatusBadGateway && after > lateAfter:
				t.Errorf("%s: passed on and given up at the end", id)
			}
		})
	}
	kinds := []string{"safe", "unsafe", "stream"}
	for after := time.Duration(0); after < e.settings.StopLimit; after += 100 * time.Millisecond {
		for _, kind := range kinds {
			start(after, kind, "kept connection")
		}
	}
	time.Sleep(time.Until(begunAt))
	sending.Go(func() { e.stopCallers(servers) })
	for after := time.Duration(0); after < e.settings.StopLimit; after += 100 * time.Millisecond {
		time.Sleep(time.Until(begunAt.Add(after)))
		for _, kind := range kinds {
			start(after, kind, "new connection")
			start(after, kind, "body in two parts")
		}
	}
	sending.Wait()
	require.Greater(t, len(server.received), 100)
	require.Less(t, time.Since(begunAt), e.settings.StopLimit+time.Second)
}
