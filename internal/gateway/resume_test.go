package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBegunStreamWaitsForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{responses: []func(*Attempt) (*Response, error){
			respond(200, "id: 1\ndata: a\n\n", errReset), respond(200, "id: 2\ndata: b\n\n", nil),
		}}
		time.AfterFunc(3*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.retriesLeft = 1
		})
		caller := serveLong(f, f, "stream")
		require.False(t, caller.aborted)
		require.Equal(t, events, caller.body)
		require.Zero(t, f.retriesLeft)
		require.Len(t, f.outcomes, f.placements)
		require.LessOrEqual(t, f.placements, 3, "no placements are requested while the budget is spent")
	})
}

func TestBegunStreamEndsBeforeItsDeadlineWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{responses: []func(*Attempt) (*Response, error){respond(200, "id: 1\ndata: a\n\n", errReset)}}
		startedAt := time.Now()
		caller := serveLong(f, f, "stream")
		require.True(t, caller.aborted, "a truncated stream must not look complete")
		require.Less(t, time.Since(startedAt), longTimeout)
		require.Len(t, f.outcomes, f.placements)
	})
}

func TestBegunStreamIsSentAgainUntilItReachesAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 9, responses: []func(*Attempt) (*Response, error){
			respond(200, "id: 1\ndata: a\n\n", errReset), failWith(DeliveryNotSent), failWith(DeliveryNotSent), failWith(DeliveryNotSent),
			respond(200, "id: 2\ndata: b\n\n", nil),
		}}
		caller := serveLong(f, f, "stream")
		require.False(t, caller.aborted)
		require.Equal(t, events, caller.body)
		require.Len(t, f.outcomes, f.placements)
	})
}
