package soak

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/platform/standin"
)

// The checks of a run are only meaningful if the stand-in worker answers correctly and misbehaves exactly as set.
func TestWorkerAnswersAndMisbehavesAsSet(t *testing.T) {
	const listen = "127.9.3.1:7400"
	records := newRecorder()
	w, err := startWorker("w", workerOptions{listen: listen, server: roster.Server{Address: listen, Slots: 2}, interval: time.Hour, records: records})
	require.NoError(t, err)
	defer w.crash()
	call := func(body string) standin.Reply {
		conn, err := standin.Connect(listen, time.Second)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		return conn.Do(standin.Call{ID: "q1", Host: "h", Path: "/a", Body: body, PromptTokens: 100, Timeout: 5 * time.Second})
	}
	reply := call("plain")
	require.True(t, reply.Complete)
	require.Equal(t, plainAnswer("q1", "plain"), reply.Body)
	require.Equal(t, sealOf("q1", "w"), reply.Seal)
	reply = call(streamBodyPrefix)
	require.True(t, reply.Complete)
	require.Equal(t, streamAnswer("q1"), reply.Body)
	w.setFault(FaultTruncate)
	complete := 0
	for range 2 {
		if call("plain").Complete {
			complete++
		}
	}
	require.Equal(t, 1, complete, "every second body is truncated")
	w.setFault(FaultMalformed)
	require.Error(t, call("plain").Err)
	w.setFault(FaultRejectAll)
	require.Equal(t, 503, call("plain").Status)
	records.locked(func(r *Records) {
		require.Len(t, r.Attempts["q1"], 6)
		require.Equal(t, "/a", r.Attempts["q1"][0].Path)
		require.True(t, r.Attempts["q1"][5].Rejected)
	})
}

func TestReservedMemoryIsBoundedAndExpires(t *testing.T) {
	w := &worker{tickets: map[string]ticket{}}
	free, err := w.Reserve("a", workerMemory-10, time.Hour)
	require.NoError(t, err)
	require.Equal(t, 10, free)
	_, err = w.Reserve("b", 11, time.Hour)
	require.ErrorIs(t, err, standin.ErrMemoryRefused)
	free, err = w.Reserve("a", workerMemory, -time.Second)
	require.NoError(t, err, "a known ticket is renewed, not reserved again")
	require.Equal(t, 10, free)
	require.Zero(t, w.reservedTokens(), "the reservation has expired")
}

// Answers that a worker cuts off in the way of its ending look complete, and those that it doesn't cut off are.
func TestWorkerEndsItsAnswersAsSet(t *testing.T) {
	const listen = "127.9.3.1:7401"
	records := newRecorder()
	w, err := startWorker("w", workerOptions{listen: listen, server: roster.Server{Address: listen, Slots: 4}, interval: time.Hour, records: records})
	require.NoError(t, err)
	defer w.crash()
	call := func(id, body string, timeout time.Duration) standin.Reply {
		conn, err := standin.Connect(listen, time.Second)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		return conn.Do(standin.Call{ID: id, Host: "h", Path: "/a", Body: body, PromptTokens: 100, Timeout: timeout})
	}
	w.setEnding(EndByClosing)
	for id, body := range map[string]string{"p": "plain", "s": streamBodyPrefix} {
		reply := call(id, body, 5*time.Second)
		require.True(t, reply.Complete)
		require.True(t, reply.ClosesConnection)
		require.Equal(t, sealOf(id, "w"), reply.Seal)
		require.Equal(t, wholeAnswer(&Request{Call: standin.Call{ID: id, Body: body}}), reply.Body)
	}
	w.setEnding(EndByClosingEarly)
	for _, body := range []string{"plain", streamBodyPrefix} {
		first, second := call("a", body, 5*time.Second), call("b", body, 5*time.Second)
		require.True(t, first.Complete && second.Complete)
		require.NotEqual(t, len(first.Body), len(second.Body), "every second answer is cut off")
	}
	w.setEnding(EndBeforeDeadline)
	reply := call("late", streamBodyPrefix, time.Second)
	require.True(t, reply.Complete)
	require.Less(t, len(reply.Body), len(streamAnswer("late")))
	w.setEnding(EndByDeath)
	go func() {
		time.Sleep(5 * eventGap)
		w.crash()
	}()
	reply = call("dead", streamBodyPrefix, 5*time.Second)
	require.True(t, reply.Complete)
	require.Less(t, len(reply.Body), len(streamAnswer("dead")))
	for id, want := range map[string]Ending{"late": EndBeforeDeadline, "dead": EndByDeath} {
		require.Eventually(t, func() (recorded bool) { // after the end of the answer
			records.locked(func(r *Records) { recorded = r.Attempts[id][0].Cut == want })
			return recorded
		}, time.Second, time.Millisecond, id)
	}
}

// A worker that stops as planned ends its streams as complete ones, before its listener closes or after it.
func TestWorkerEndsItsStreamsWhenItStops(t *testing.T) {
	for _, ending := range []Ending{EndAtStop, EndAtStopListening} {
		t.Run(ending.String(), func(t *testing.T) {
			const listen = "127.9.3.1:7402"
			w, err := startWorker("w", workerOptions{listen: listen, server: roster.Server{Address: listen, Slots: 4}, interval: time.Hour, records: newRecorder()})
			require.NoError(t, err)
			w.setEnding(ending)
			conn, err := standin.Connect(listen, time.Second)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			left := make(chan struct{})
			go func() {
				w.leave(t.Context(), true)
				close(left)
			}()
			reply := conn.Do(standin.Call{ID: "q", Host: "h", Path: "/a", Body: streamBodyPrefix, Timeout: 5 * time.Second})
			require.True(t, reply.Complete)
			require.Less(t, len(reply.Body), len(streamAnswer("q")))
			next, err := standin.Connect(listen, time.Second)
			require.Equal(t, ending == EndAtStopListening, err == nil)
			if err == nil {
				_ = next.Close()
			}
			<-left
		})
	}
}

// A worker that deregisters first announces itself no more while it serves on.
func TestWorkerThatHasDeregisteredSendsNoHeartbeat(t *testing.T) {
	var mu sync.Mutex
	var calls []string
	control := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	}))
	defer control.Close()
	const listen = "127.9.3.1:7403"
	w, err := startWorker("w", workerOptions{
		listen: listen, server: roster.Server{Address: listen}, interval: 50 * time.Millisecond, records: newRecorder(),
		controlAddresses: newAddressList(strings.TrimPrefix(control.URL, "http://")),
	})
	require.NoError(t, err)
	time.Sleep(4 * 50 * time.Millisecond)
	w.leave(t.Context(), true)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, "heartbeat", calls[0])
	require.Equal(t, "deregister", calls[len(calls)-1])
}

// A stand-in that crashed could not be started again while its address was in use, which counted as an end of its own.
func TestWorkerWaitsForItsAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	time.AfterFunc(4*listenRetryInterval, func() { _ = listener.Close() })
	again, err := listenAgain(address)
	require.NoError(t, err)
	require.NoError(t, again.Close())
	_, err = listenAgain("127.0.0.1:99999")
	require.Error(t, err, "another error")
}
