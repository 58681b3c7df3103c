package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/schedule"
)

// twoGrants grants two placements and refuses the others until freeAt.
type twoGrants struct {
	*fakes
	granted int
	freeAt  time.Time
}

func (g *twoGrants) Place(ctx context.Context, r schedule.PlacementRequest) (schedule.Placement, error) {
	g.granted++
	if g.granted > 2 && time.Now().Before(g.freeAt) {
		return schedule.Placement{ID: r.ID, RetryAfter: time.Second, Reason: "full"}, nil
	}
	return g.fakes.Place(ctx, r)
}

func TestStreamThatLostItsServerIsPlacedAgainAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){slowStream(2 * time.Second), failWith(DeliveryRejected), slowStream(0)}}
		g := &twoGrants{fakes: f, freeAt: time.Now().Add(3 * time.Second)}
		caller := serveOptions(Options{
			Table: longTable, Placer: g, Budget: f, Servers: f, Backend: f, Memory: f,
			StopsIn: func() (time.Duration, bool) { return 0, false },
		}, "stream", "key", longTimeout)
		require.False(t, caller.aborted)
		require.Equal(t, events, caller.body)
	})
}
