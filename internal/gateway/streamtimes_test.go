package gateway

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// requestedPlacements are fakes that keep the placement requests.
type requestedPlacements struct {
	*fakes
	requests []schedule.PlacementRequest
}

func (p *requestedPlacements) Place(ctx context.Context, request schedule.PlacementRequest) (schedule.Placement, error) {
	p.requests = append(p.requests, request)
	return p.fakes.Place(ctx, request)
}

// A stream that starts too late to end by its deadline is cut off by it and takes a slot until then.
func TestStreamThatCannotEndByItsDeadlineIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gap, timeout = 100 * time.Millisecond, 2 * time.Second
		p := &requestedPlacements{fakes: &fakes{}}
		table := longTable()
		g := New(Options{
			Table: func() *routes.Table { return table }, Placer: p, Budget: p, Servers: p, Backend: p, Memory: p,
			StopsIn: func() (time.Duration, bool) { return 0, false }, Logger: zerolog.Nop(), Metrics: observe.NewMetrics(),
		})
		for i := range minStreamTimes + 1 {
			p.responses = append(p.responses, steady(FramedByChunks, steadyBody{from: 1, to: 9, gap: gap}))
			caller, arrivedAt := &fakeCaller{}, time.Now()
			g.Serve(context.Background(), &Request{ID: strconv.Itoa(i), Host: "h", Path: "/stream/x", Key: "key", ArrivedAt: arrivedAt, Timeout: timeout}, caller)
			require.False(t, caller.aborted)
			want := timeout
			if i == minStreamTimes {
				want -= 8 * gap
			}
			require.Equal(t, want, p.requests[i].StartDeadline.Sub(arrivedAt))
		}
	})
}

func TestLeastStreamTimeAllowsForVariation(t *testing.T) {
	s := newStreamTimes()
	for i := range 500 {
		s.record("steady", time.Second)
		s.record("varied", time.Duration(1+i%5)*time.Second)
	}
	require.Equal(t, time.Second, s.least("steady"))
	require.Less(t, s.least("varied"), time.Second)
	require.Zero(t, s.least("unknown"))
}
