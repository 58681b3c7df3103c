package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/routes"
)

// A request that only a newer route table allows was refused while that table was on its way to a VM that had been suspended.
func TestRequestIsNotRefusedByATableThatMayBeOutdated(t *testing.T) {
	allowing := testTable()
	withoutKeys := routes.New(routes.Table{Routes: allowing.Routes, Services: allowing.Services, Teams: []routes.Team{{Name: "other", Keys: []string{"other"}}}})
	withoutRoutes := routes.New(routes.Table{Services: allowing.Services, Teams: allowing.Teams})
	for name, c := range map[string]struct {
		inForce, fresh *routes.Table
		refusal        RefusalCode
		waits          int
	}{
		"the table in force allows it": {inForce: allowing, fresh: withoutRoutes},
		"a newer one has the key":      {inForce: withoutKeys, fresh: allowing, waits: 1},
		"a newer one has the route":    {inForce: withoutRoutes, fresh: allowing, waits: 1},
		"none has the route":           {inForce: withoutRoutes, fresh: withoutRoutes, refusal: RefusedNoRoute, waits: 1},
		"none has the key":             {inForce: withoutKeys, fresh: withoutKeys, refusal: RefusedUnknownKey, waits: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakes{responses: []func(*Attempt) (*Response, error){respond(200, "ok", nil)}}
			waits := 0
			caller := serveOptions(Options{
				Table: func() *routes.Table { return c.inForce }, Placer: f, Budget: f, Servers: f, Backend: f, Memory: f,
				FreshTable: func(context.Context) *routes.Table {
					waits++
					return c.fresh
				},
				StopsIn: func() (time.Duration, bool) { return 0, false },
			}, "safe", "key", time.Second)
			require.Equal(t, c.refusal, caller.refusal)
			if c.refusal == 0 {
				require.Equal(t, 200, caller.status)
			}
			require.Equal(t, c.waits, waits)
		})
	}
}
