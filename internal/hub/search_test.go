package hub

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Replies of a control VM in a test; any other one is the leader that it names.
const (
	replySilent  = "silent"
	replyRefused = "refused"
	replyUnknown = ""
)

// askScripted returns an askFunc that answers as scripted after a round trip, and counts the control VMs asked.
func askScripted(replies map[string]string, asked *int) askFunc {
	return func(ctx context.Context, address string) (string, error) {
		*asked++
		switch replies[address] {
		case replySilent:
			<-ctx.Done()
			return "", ctx.Err()
		case replyRefused:
			return "", errors.New("connection refused")
		}
		time.Sleep(20 * time.Millisecond)
		return replies[address], nil
	}
}

func TestSearchForAControlVM(t *testing.T) {
	silent := func(count int, last ...string) (addresses []string, replies map[string]string) {
		replies = map[string]string{}
		for i := range count {
			addresses = append(addresses, fmt.Sprint("gone-", i))
			replies[addresses[i]] = replySilent
		}
		for i, reply := range last {
			address := fmt.Sprint("live-", i)
			addresses, replies[address] = append(addresses, address), reply
		}
		return addresses, replies
	}
	search := func(t *testing.T, within time.Duration, maxWithoutLeader int, addresses []string, replies map[string]string) (outcome askOutcome, asked int) {
		synctest.Test(t, func(t *testing.T) {
			startedAt := time.Now()
			outcome = askInTurn(t.Context(), addresses, maxWithoutLeader, askScripted(replies, &asked))
			require.LessOrEqual(t, time.Since(startedAt), within)
		})
		return outcome, asked
	}
	for dead, within := range map[int]time.Duration{0: 20, 1: 120, 3: 220, 6: 220, 14: 320, 30: 420} {
		t.Run(fmt.Sprint("the time hardly grows with the dead addresses: ", dead), func(t *testing.T) {
			addresses, replies := silent(dead, "leader")
			outcome, _ := search(t, within*time.Millisecond, 0, addresses, replies)
			require.Equal(t, "live-0", outcome.found)
			require.True(t, outcome.leaderKnown)
		})
	}
	t.Run("no more are asked than needed", func(t *testing.T) {
		addresses, replies := silent(0, "leader", "leader", "leader")
		outcome, asked := search(t, 20*time.Millisecond, 0, addresses, replies)
		require.Equal(t, 1, asked)
		require.Empty(t, outcome.failed)
	})
	t.Run("one that knows the leader is preferred", func(t *testing.T) {
		addresses, replies := silent(2, replyUnknown, "leader")
		outcome, _ := search(t, 220*time.Millisecond, 0, addresses, replies)
		require.Equal(t, "live-1", outcome.found)
		require.Len(t, outcome.failed, 2)
		require.ErrorIs(t, outcome.failed["gone-0"], errNoAnswer)
	})
	t.Run("any one while none knows the leader", func(t *testing.T) {
		addresses, replies := silent(1, replyUnknown, replyUnknown)
		outcome, _ := search(t, askInterval+askTimeout, 0, addresses, replies)
		require.Contains(t, []string{"live-0", "live-1"}, outcome.found)
		require.False(t, outcome.leaderKnown)
	})
	t.Run("a search may end after some answers without a leader", func(t *testing.T) {
		addresses, replies := silent(1, replyUnknown, replyUnknown, replyUnknown, "leader")
		_, asked := search(t, 120*time.Millisecond, 2, addresses, replies)
		require.Equal(t, 3, asked)
	})
	t.Run("refused ones cost no time", func(t *testing.T) {
		addresses, replies := silent(0, replyRefused, replyRefused, replyRefused, replyRefused, "leader")
		outcome, _ := search(t, 20*time.Millisecond, 0, addresses, replies)
		require.Equal(t, "live-4", outcome.found)
		require.Len(t, outcome.failed, 4)
	})
	t.Run("none answers", func(t *testing.T) {
		addresses, replies := silent(11)
		outcome, _ := search(t, 3*askInterval+askTimeout, 0, addresses, replies)
		require.Empty(t, outcome.found)
		require.Len(t, outcome.failed, 11)
	})
	t.Run("no address", func(t *testing.T) {
		outcome, _ := search(t, 0, 0, nil, nil)
		require.Empty(t, outcome.found)
	})
}
