package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
)

// After a restart of all VMs, requests that arrived before the first route table were refused for longer than it took to
// come.
func TestRequestWaitsForTheFirstRouteTable(t *testing.T) {
	for name, c := range map[string]struct {
		// after is when the table comes, 0 for never.
		after  time.Duration
		served bool
	}{"it comes": {after: typicalStartup / 4, served: true}, "it comes late": {after: 2 * typicalStartup}, "it never comes": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var table atomic.Pointer[routes.Table]
			known := make(chan struct{})
			f := &fakes{responses: []func(*Attempt) (*Response, error){respond(http.StatusOK, "ok", nil)}}
			g := New(Options{
				Table: table.Load, TableKnown: known, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f,
				StopsIn: func() (time.Duration, bool) { return 0, false },
				Zone:    "a", Incarnation: 1, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
			})
			if c.after > 0 {
				time.AfterFunc(c.after, func() {
					table.Store(testTable())
					close(known)
				})
			}
			serve := func() (*fakeCaller, time.Duration) {
				caller, startedAt := &fakeCaller{}, time.Now()
				g.Serve(context.Background(), &Request{
					ID: "r1", Host: "h", Path: "/safe/x", Key: "key", ArrivedAt: startedAt, Timeout: 4 * typicalStartup,
				}, caller)
				return caller, time.Since(startedAt)
			}
			caller, _ := serve()
			if c.served {
				require.Equal(t, http.StatusOK, caller.status)
				return
			}
			require.Equal(t, RefusedNotReady, caller.refusal)
			caller, took := serve()
			require.Equal(t, RefusedNotReady, caller.refusal)
			require.Less(t, took, typicalStartup/4, "after that time requests are refused at once")
		})
	}
}
