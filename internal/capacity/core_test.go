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

// taken returns the decisions without the state that they were made in.
func taken(core *Core) []Decision {
	decisions := core.TakeDecisions()
	for i := range decisions {
		decisions[i].AheadTokens = 0
	}
	return decisions
}

func granted(attempts ...string) []Decision {
	decisions := make([]Decision, len(attempts))
	for i, attempt := range attempts {
		decisions[i] = Decision{Attempt: attempt, Kind: Granted}
	}
	return decisions
}

func TestLongRequestsLeaveTheReserve(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 500), start)
	core.RecordFirstToken("l1", start)
	core.Acquire(long("l2", 400), start)
	assert.Equal(t, granted("l1"), taken(core), "the second long one would use the reserve of 200")
	core.Acquire(short("s1", 150), start)
	assert.Equal(t, granted("s1"), taken(core), "a short one goes on within the reserve")
	core.Acquire(short("s2", 100), start)
	assert.Empty(t, taken(core), "short ones must not starve the waiting long one")
	core.Release("l1", false, start)
	assert.Equal(t, granted("l2", "s2"), taken(core))
}

func TestLongPrefillIsBounded(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 300), start)
	core.Acquire(long("l2", 300), start)
	assert.Equal(t, granted("l1"), taken(core))
	core.RecordFirstToken("l1", start)
	assert.Equal(t, granted("l2"), taken(core))
}

func TestRequestLargerThanTheUnreservedPartRunsAlone(t *testing.T) {
	core := testCore()
	core.Acquire(short("s1", 150), start)
	core.Acquire(long("l1", 950), start)
	core.Acquire(short("s2", 100), start)
	assert.Equal(t, granted("s1"), taken(core), "short ones wait while the engine drains for l1")
	core.Release("s1", false, start)
	assert.Equal(t, granted("l1"), taken(core))
	core.Release("l1", false, start)
	assert.Equal(t, granted("s2"), taken(core))
}

func TestQueueOrderAndRefusals(t *testing.T) {
	core := testCore()
	core.Acquire(long("l0", 1000), start)
	require.Equal(t, granted("l0"), taken(core))
	for i := range 4 {
		request := long(fmt.Sprintf("q%d", i), 100)
		request.LatestStart = start.Add(time.Duration(10-i) * time.Second)
		core.Acquire(request, start)
	}
	require.Empty(t, taken(core))
	core.Acquire(long("late", 100), start)
	assert.Equal(t, []Decision{{"late", RefusedQueueFull, 0}}, taken(core), "it has the same slack as the last")
	urgent := short("urgent", 100)
	urgent.Priority = 9
	core.Acquire(urgent, start)
	assert.Equal(t, []Decision{{"q0", RefusedQueueFull, 0}}, taken(core), "the one with most slack makes room")
	core.Acquire(long("huge", 1001), start)
	assert.Equal(t, []Decision{{"huge", RefusedTooLarge, 0}}, taken(core))
	core.Expire(holderAlive, start.Add(7*time.Second))
	assert.Equal(t, []Decision{{"q3", RefusedDeadlineUnreachable, 0}}, taken(core))
	core.Release("l0", false, start.Add(7*time.Second))
	assert.Equal(t, granted("urgent", "q2", "q1"), taken(core))
}

// TestMemoryComesBack covers the ways in which a lease ends badly. The memory
// is granted again only once the engine has confirmed that it is free.
func TestMemoryComesBack(t *testing.T) {
	cases := map[string]func(core *Core) time.Time{
		"holder died: the lease expires and the engine confirms the cancel": func(core *Core) time.Time {
			now := start.Add(2 * time.Second)
			core.Expire(holderAlive, now)
			assert.Empty(t, core.DueCancels(now), "within the grace")
			now = now.Add(2 * time.Second)
			core.Expire(holderAlive, now)
			assert.Equal(t, []string{"l1"}, core.DueCancels(now))
			assert.Empty(t, core.DueCancels(now), "not twice at once")
			assert.Equal(t, []string{"l1"}, core.DueCancels(now.Add(time.Second)), "sent again until it is confirmed")
			assert.Empty(t, taken(core), "not granted before it is confirmed")
			core.ConfirmFreed([]string{"l1"}, now)
			return now
		},
		"holder out of reach: kept until the deadline": func(core *Core) time.Time {
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
			assert.Empty(t, taken(core))
			assert.Equal(t, []string{"l1"}, core.DueCancels(start))
			core.ApplyList([]HeldAttempt{{"l1", 1000, 0}}, start.Add(1), start.Add(2))
			assert.Empty(t, taken(core))
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
			require.Equal(t, granted("l1"), taken(core))
			now := end(core)
			assert.Equal(t, granted("l2"), taken(core))
			core.Release("l2", false, now)
			core.Release("l2", false, now)
			assert.Zero(t, core.Usage().Leased())
			assert.Zero(t, core.Usage().Orphans)
		})
	}
}

func TestRenewalKeepsALeaseAndRevivesItWithinTheGrace(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 1000), start)
	for i := 1; i <= 10; i++ {
		now := start.Add(time.Duration(i) * 3 * time.Second)
		core.Expire(holderAlive, now)
		require.Empty(t, core.DueCancels(now))
		require.True(t, core.Renew(long("l1", 1000), false, now))
	}
}

func TestReleaseOvertakesItsRequest(t *testing.T) {
	core := testCore()
	core.Release("s1", false, start)
	core.Acquire(short("s1", 100), start)
	assert.Equal(t, []Decision{{"s1", RefusedReleased, 0}}, taken(core))
}

// TestMemoryWithoutALease covers the fallback and a change of scheduler: what
// the engine holds without a lease counts, and passes to the holder that
// renews it.
func TestMemoryWithoutALease(t *testing.T) {
	core := testCore()
	core.ApplyList([]HeldAttempt{{"other", 600, time.Second}}, start, start)
	core.Acquire(long("l1", 500), start)
	assert.Empty(t, taken(core))
	assert.False(t, core.Renew(long("unknown", 100), false, start))
	assert.True(t, core.Renew(long("other", 600), false, start))
	assert.Equal(t, int64(600), core.Usage().Leased())
	assert.Zero(t, core.Usage().Unleased)
	core.Release("other", false, start)
	assert.Equal(t, granted("l1"), taken(core))

	core.ApplyList([]HeldAttempt{{"leaked", 100, 2 * time.Minute}}, start.Add(time.Second), start.Add(time.Second))
	now := start.Add(time.Second)
	assert.Equal(t, []string{"leaked"}, core.DueCancels(now), "older than any admitted request")
	core.ConfirmFreed([]string{"leaked"}, now)
	assert.Zero(t, core.Usage().Unleased)
}

func TestListAskedBeforeAReleaseDoesNotCount(t *testing.T) {
	core := testCore()
	core.Acquire(long("l1", 1000), start)
	core.Release("l1", false, start.Add(2))
	core.ApplyList([]HeldAttempt{{"l1", 1000, 0}}, start.Add(1), start.Add(3))
	assert.Zero(t, core.Usage().Unleased)
	core.ApplyList([]HeldAttempt{{"l1", 1000, 0}}, start.Add(4), start.Add(5))
	assert.Equal(t, int64(1000), core.Usage().Unleased, "the engine still holds it: a leak")
}
