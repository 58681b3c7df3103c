package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func startTest(t *testing.T, seeds ...string) *Server {
	t.Helper()
	config := DefaultConfig()
	config.ServerID, config.Service, config.WorkTime, config.Seeds = "booking-1", "booking", 0, seeds
	server, err := Start(config, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

func call(t *testing.T, server *Server, key string) result {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+server.Address()+"/bookings", strings.NewReader(`{"seats":2}`))
	require.NoError(t, err)
	r.Header.Set(backendapi.HeaderAttempt, "attempt-1")
	r.Header.Set(request.IdempotencyKeyHeader, key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: body, err: err}
}

func TestEachRunOfAKeyIsCounted(t *testing.T) {
	server := startTest(t)
	for range 2 {
		got := call(t, server, "k1")
		digest := sha256.Sum256(got.body)
		assert.Equal(t, hex.EncodeToString(digest[:]), got.header.Get(backendapi.HeaderBodyDigest))
		assert.Equal(t, "attempt-1", got.header.Get(backendapi.HeaderAttempt))
	}
	var answer Answer
	require.NoError(t, json.Unmarshal(call(t, server, "k2").body, &answer))
	assert.Equal(t, int64(1), answer.Run)
	assert.Equal(t, map[string]int64{"k1": 2, "k2": 1}, server.Counters().Runs)
}

func TestFaultsOfACall(t *testing.T) {
	cases := []struct {
		kind  fault.Kind
		runs  int64
		check func(t *testing.T, got result)
	}{
		{fault.Refuse, 0, func(t *testing.T, got result) { assert.Equal(t, "1", got.header.Get(backendapi.HeaderNotRun)) }},
		{fault.Error, 1, func(t *testing.T, got result) { assert.Equal(t, http.StatusInternalServerError, got.status) }},
		{fault.Cut, 1, func(t *testing.T, got result) { assert.Error(t, got.err) }},
		{fault.Crossed, 1, func(t *testing.T, got result) {
			assert.NotEqual(t, "attempt-1", got.header.Get(backendapi.HeaderAttempt))
		}},
		{fault.Repeat, 1, func(t *testing.T, got result) {
			digest := sha256.Sum256(got.body)
			assert.NotEqual(t, hex.EncodeToString(digest[:]), got.header.Get(backendapi.HeaderBodyDigest))
		}},
	}
	for _, test := range cases {
		t.Run(string(test.kind), func(t *testing.T) {
			server := startTest(t)
			require.NoError(t, server.SetFault(fault.Fault{Kind: test.kind, Count: 1}))
			test.check(t, call(t, server, "k"))
			assert.Equal(t, test.runs, server.Counters().Runs["k"])
		})
	}
}

// TestAnnouncesToEntryVMsOfTheReply starts a service with one entry VM as its seed, whose reply
// names a second one. The second entry VM has to receive announcements, first as serving and
// then as draining.
func TestAnnouncesToEntryVMsOfTheReply(t *testing.T) {
	var mu sync.Mutex
	lastReceived := map[string]backendapi.Announcement{}
	newEntryVM := func(name string, others ...string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var got backendapi.Announcement
			_ = json.NewDecoder(r.Body).Decode(&got)
			mu.Lock()
			lastReceived[name] = got
			mu.Unlock()
			_ = json.NewEncoder(w).Encode(backendapi.AnnounceReply{EntryVMs: others, IntervalMillis: 20})
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	second := newEntryVM("second")
	server := startTest(t, newEntryVM("first", second))
	hasReceived := func(state backendapi.State) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return lastReceived["second"].State == state && lastReceived["second"].Incarnation > 0
		}
	}
	require.Eventually(t, hasReceived(backendapi.StateServing), 5*time.Second, 5*time.Millisecond)
	server.announcer.AnnounceDraining()
	require.Eventually(t, hasReceived(backendapi.StateDraining), 5*time.Second, 5*time.Millisecond)
}
