package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryThatReachedNoServerIsChargedOnce(t *testing.T) {
	for kind, first := range map[string]func(*Attempt) (*Response, error){
		"stream": respond(200, "id: 1\ndata: a\n\n", errReset), "safe": failWith(DeliveryUnknown),
	} {
		t.Run(kind, func(t *testing.T) {
			f := &fakes{retriesLeft: 1, responses: []func(*Attempt) (*Response, error){
				first, failWith(DeliveryNotSent), respond(200, events, nil),
			}}
			caller := serve(f, kind, "key")
			require.False(t, caller.aborted)
			require.Equal(t, events, caller.body)
			require.Zero(t, f.retriesLeft)
			require.Len(t, f.outcomes, f.placements)
		})
	}
}

func TestReplacementThatReachedNoServerIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakes{retriesLeft: 1, responses: []func(*Attempt) (*Response, error){
			slowStream(8 * time.Second), failWith(DeliveryNotSent), respond(200, events, nil),
		}}
		startedAt := time.Now()
		caller := serveLong(f, f, "stream")
		require.Equal(t, events, caller.body)
		require.Less(t, time.Since(startedAt), 4*time.Second, "moved to the third server")
		require.Zero(t, f.retriesLeft)
	})
}
