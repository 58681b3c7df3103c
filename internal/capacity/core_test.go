package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func testConfig() Config {
	config := DefaultConfig(2*time.Second, 20, time.Minute)
	config.MaxLongPrefillTokens = 500
	config.MaxQueue = 4
	return config
}

func testCore() *Core {
	core := NewCore(1000, testConfig())
	core.SetLimit(1000, start)
	return core
}

func holderAlive(string) bool { return true }

func holderUnreachable(string) bool { return false }

func short(attempt string, tokens int64) Request {
	return Request{Attempt: attempt, Holder: "vm-1", Tokens: tokens, PrefillTokens: tokens, Short: true, LatestStart: start.Add(10 * time.Second), Deadline: start.Add(20 * time.Second)}
}

func long(attempt string, tokens int64) Request {
	request := short(attempt, tokens)
	request.Short = false
	return request
}

// takeDecisions returns the decisions since the last call with AheadTokens set to zero.
func takeDecisions(core *Core) []Decision {
	decisions := core.TakeDecisions()
	for i := range decisions {
		decisions[i].AheadTokens = 0
	}
	return decisions
}

func grants(attempts ...string) []Decision {
	decisions := make([]Decision, len(attempts))
	for i, attempt := range attempts {
		decisions[i] = Decision{Attempt: attempt, Kind: Granted}
	}
	return decisions
}

func TestLongRequestsDoNotUseTheShortReserve(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 500), start)
	core.RecordFirstToken("l1", start)
	core.Acquire(long("l2", 400), start)
	assert.Equal(t, grants("l1"), takeDecisions(core), "the second long request would use the reserve of 200")
	core.Acquire(short("s1", 150), start)
	assert.Equal(t, grants("s1"), takeDecisions(core), "a short request is granted within the reserve")
	core.Acquire(short("s2", 100), start)
	assert.Empty(t, takeDecisions(core), "short requests must not starve the queued long request")
	core.Release("l1", false, start)
	assert.Equal(t, grants("l2", "s2"), takeDecisions(core))
}

func TestLongPrefillIsBounded(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 300), start)
	core.Acquire(long("l2", 300), start)
	assert.Equal(t, grants("l1"), takeDecisions(core))
	core.RecordFirstToken("l1", start)
	assert.Equal(t, grants("l2"), takeDecisions(core))
}

func TestLongRequestThatNeedsTheReserveRunsAlone(t *testing.T) {
	core := testCore()
	core.Acquire(short("s1", 150), start)
	core.Acquire(long("l1", 950), start)
	core.Acquire(short("s2", 100), start)
	assert.Equal(t, grants("s1"), takeDecisions(core), "short requests stay queued until l1 fits")
	core.Release("s1", false, start)
	assert.Equal(t, grants("l1"), takeDecisions(core))
	core.Release("l1", false, start)
	assert.Equal(t, grants("s2"), takeDecisions(core))
}

func TestQueueOrderAndRefusals(t *testing.T) {
	core := testCore()
	core.Acquire(long("l0", 1000), start)
	require.Equal(t, grants("l0"), takeDecisions(core))
	for i := range 4 {
		request := long(fmt.Sprintf("q%d", i), 100)
		request.LatestStart = start.Add(time.Duration(10-i) * time.Second)
		core.Acquire(request, start)
	}
	require.Empty(t, takeDecisions(core))
	core.Acquire(long("late", 100), start)
	assert.Equal(t, []Decision{{"late", RefusedQueueFull, 0}}, takeDecisions(core), "it has the same latest start as the last queued request")
	urgent := short("urgent", 100)
	urgent.Priority = 9
	core.Acquire(urgent, start)
	assert.Equal(t, []Decision{{"q0", RefusedQueueFull, 0}}, takeDecisions(core), "the request with the latest start is removed from the queue")
	core.Acquire(long("huge", 1001), start)
	assert.Equal(t, []Decision{{"huge", RefusedTooLarge, 0}}, takeDecisions(core))
	core.Expire(holderAlive, start.Add(7*time.Second))
	assert.Equal(t, []Decision{{"q3", RefusedDeadlineUnreachable, 0}}, takeDecisions(core))
	core.Release("l0", false, start.Add(7*time.Second))
	assert.Equal(t, grants("urgent", "q2", "q1"), takeDecisions(core))
}

// TestMemoryIsGrantedAgainOnlyAfterItIsFree covers leases that end without a normal
// release. Their memory must be granted again, but not before the engine has confirmed
// that it is free.
func TestMemoryIsGrantedAgainOnlyAfterItIsFree(t *testing.T) {
	cases := map[string]func(core *Core) time.Time{
		"holder stopped renewing: the lease expires and the engine confirms the cancel": func(core *Core) time.Time {
			now := start.Add(2 * time.Second)
			core.Expire(holderAlive, now)
			assert.Empty(t, core.DueCancels(now), "within the grace period")
			now = now.Add(2 * time.Second)
			core.Expire(holderAlive, now)
			assert.Equal(t, []string{"l1"}, core.DueCancels(now))
			assert.Empty(t, core.DueCancels(now), "not sent again within the cancel interval")
			assert.Equal(t, []string{"l1"}, core.DueCancels(now.Add(time.Second)), "sent again until the engine confirms it")
			assert.Empty(t, takeDecisions(core), "not granted before the engine confirms that the memory is free")
			core.ConfirmFreed([]string{"l1"}, now)
			return now
		},
		"holder unreachable: the lease is kept until the deadline": func(core *Core) time.Time {
			core.Expire(holderUnreachable, start.Add(2*time.Second))
			core.Expire(holderUnreachable, start.Add(20*time.Second))
			assert.Empty(t, core.DueCancels(start.Add(20*time.Second)))
			now := start.Add(21 * time.Second)
			core.Expire(holderUnreachable, now)
			assert.Equal(t, []string{"l1"}, core.DueCancels(now))
			core.ApplyList(nil, now.Add(1), now.Add(1))
			return now.Add(1)
		},
		"release with the memory still held": func(core *Core) time.Time {
			core.Release("l1", true, start)
			assert.Empty(t, takeDecisions(core))
			assert.Equal(t, []string{"l1"}, core.DueCancels(start))
			core.ApplyList([]HeldAttempt{{"l1", 1000, 0}}, start.Add(1), start.Add(2))
			assert.Empty(t, takeDecisions(core))
			core.ApplyList(nil, start.Add(3), start.Add(4))
			return start.Add(4)
		},
		"late release of an expired lease": func(core *Core) time.Time {
			core.Expire(holderAlive, start.Add(2*time.Second))
			core.Release("l1", false, start.Add(3*time.Second))
			return start.Add(3 * time.Second)
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			core := testCore()
			core.Acquire(long("l1", 1000), start)
			waiting := long("l2", 1000)
			waiting.LatestStart = start.Add(time.Minute)
			core.Acquire(waiting, start)
			require.Equal(t, grants("l1"), takeDecisions(core))
			now := end(core)
			assert.Equal(t, grants("l2"), takeDecisions(core))
			core.Release("l2", false, now)
			core.Release("l2", false, now)
			assert.Zero(t, core.Usage().Leased())
			assert.Zero(t, core.Usage().Orphans)
		})
	}
}

func TestRenewalReactivatesAnExpiredLeaseWithinTheGracePeriod(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 1000), start)
	for i := 1; i <= 10; i++ {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		core.Expire(holderAlive, now)
		require.Empty(t, core.DueCancels(now))
		require.True(t, core.Renew(long("l1", 1000), false, now))
	}
}

func TestRequestThatArrivesAfterItsReleaseIsRefused(t *testing.T) {
	core := testCore()
	core.Release("s1", false, start)
	core.Acquire(short("s1", 100), start)
	assert.Equal(t, []Decision{{"s1", RefusedReleased, 0}}, takeDecisions(core))
}

// TestUnleasedMemoryCountsAndIsAdoptedByARenewal covers attempts that were placed without
// a grant or granted by another scheduler: their memory counts as used, and a renewal by
// their holder creates the lease. An attempt that no request can still need is cancelled.
func TestUnleasedMemoryCountsAndIsAdoptedByARenewal(t *testing.T) {
	core := testCore()
	core.ApplyList([]HeldAttempt{{"other", 600, time.Second}}, start, start)
	core.Acquire(long("l1", 500), start)
	assert.Empty(t, takeDecisions(core))
	assert.False(t, core.Renew(long("unknown", 100), false, start))
	assert.True(t, core.Renew(long("other", 600), false, start))
	assert.Equal(t, int64(600), core.Usage().Leased())
	assert.Zero(t, core.Usage().Unleased)
	core.Release("other", false, start)
	assert.Equal(t, grants("l1"), takeDecisions(core))

	core.ApplyList([]HeldAttempt{{"leaked", 100, 2 * time.Minute}}, start.Add(time.Second), start.Add(time.Second))
	now := start.Add(time.Second)
	assert.Equal(t, []string{"leaked"}, core.DueCancels(now), "older than any admitted request")
	core.ConfirmFreed([]string{"leaked"}, now)
	assert.Zero(t, core.Usage().Unleased)
}

func TestAttemptListRequestedBeforeTheReleaseDoesNotCount(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 1000), start)
	core.Release("l1", false, start.Add(2))
	core.ApplyList([]HeldAttempt{{"l1", 1000, 0}}, start.Add(1), start.Add(3))
	assert.Zero(t, core.Usage().Unleased)
	core.ApplyList([]HeldAttempt{{"l1", 1000, 0}}, start.Add(4), start.Add(5))
	assert.Equal(t, int64(1000), core.Usage().Unleased, "the engine still holds the memory: a leak")
}
