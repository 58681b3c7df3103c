package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func crashUnder(tracker *Tracker, now time.Time, server int, r *Request) {
	tracker.RecordCrash(now, run(server), r, nil)
}

func isQuarantined(tracker *Tracker, now time.Time, r *Request) bool {
	_, found := tracker.Quarantined(now, r, nil)
	return found
}

func TestRequestsAreOnlyEqualWithTheSameTeamMethodHostTargetAndBody(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 3*outlineBytes)
	other := bytes.Clone(long)
	other[len(other)/2] = 'y'
	first := NewRequest("team", "POST", "host", "/path?q=1", long)
	require.Equal(t, first.Subject(), NewRequest("team", "POST", "host", "/path?q=1", bytes.Clone(long)).Subject())
	require.True(t, first.Subject().IsWholeRequest())
	for name, different := range map[string]*Request{
		"team":     NewRequest("other", "POST", "host", "/path?q=1", long),
		"method":   NewRequest("team", "PUT", "host", "/path?q=1", long),
		"host":     NewRequest("team", "POST", "other", "/path?q=1", long),
		"target":   NewRequest("team", "POST", "host", "/path?q=2", long),
		"body":     NewRequest("team", "POST", "host", "/path?q=1", other),
		"no body":  NewRequest("team", "POST", "host", "/path?q=1", nil),
		"boundary": NewRequest("teamP", "OST", "host", "/path?q=1", long),
	} {
		require.NotEqual(t, first.Subject(), different.Subject(), name)
		require.Equal(t, name == "body", first.outline == different.outline, name)
	}
}

func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	for n := range minCrashes {
		now := start.Add(time.Duration(n) * 300 * time.Millisecond)
		require.False(t, isQuarantined(tracker, now, request(0)), "after %d crashes", n)
		require.Equal(t, n > 1, tracker.Suspected(now, request(0), nil), "after %d crashes", n)
		crashUnder(tracker, now, n, request(0))
	}
	now := start.Add(time.Second)
	require.True(t, isQuarantined(tracker, now, request(0)))
	require.False(t, isQuarantined(tracker, now, request(1)))
}

func TestCrashesOfOneServerRunCountOnceForARequest(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 * minCrashes {
		crashUnder(tracker, start.Add(time.Duration(n)*time.Second), n%(minCrashes-1), request(0))
	}
	require.False(t, isQuarantined(tracker, start.Add(10*time.Second), request(0)))
}

func TestServerThatStartedAgainIsAnotherRun(t *testing.T) {
	tracker := NewTracker()
	for n := range minCrashes {
		at := start.Add(time.Duration(n) * 4 * time.Second)
		tracker.RecordCrash(at, NewServerRun("s1", at.Add(-3*time.Second)), request(0), nil)
	}
	require.True(t, isQuarantined(tracker, start.Add(10*time.Second), request(0)))
}

// Repeats of one request must not get a part refused that its team's sound requests share.
func TestRepeatsOfOneRequestAreNoEvidenceAgainstItsParts(t *testing.T) {
	tracker := NewTracker()
	for n := range 2 * minCrashes {
		tracker.RecordCrash(start.Add(time.Duration(n)*time.Second), run(n), request(0), []Subject{shared})
	}
	_, found := quarantined(tracker, start.Add(10*time.Second), shared)
	require.False(t, found)
}

func TestAnswerClearsARequest(t *testing.T) {
	tracker := NewTracker()
	now := start
	for n := range 10 * minCrashes {
		now = now.Add(time.Second)
		crashUnder(tracker, now, n, request(0))
		if n%2 == 1 {
			now = now.Add(time.Second)
			tracker.RecordSound(now, request(0), nil)
		}
		require.False(t, isQuarantined(tracker, now, request(0)), "crash %d", n)
	}
}

// Many servers fail at the same time, each with a copy of a request that is answered often.
func TestRequestThatIsAnsweredOftenIsServedAfterServersFailTogether(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSound(start, request(0), nil)
	now := start.Add(time.Second)
	for n := range 10 {
		crashUnder(tracker, now.Add(time.Duration(n)*50*time.Millisecond), n, request(0))
	}
	now = now.Add(500 * time.Millisecond)
	require.False(t, isQuarantined(tracker, now, request(0)))
	tracker.RecordSound(now, request(0), nil)
	crashUnder(tracker, now.Add(time.Second), 11, request(0))
	require.False(t, isQuarantined(tracker, now.Add(2*time.Second), request(0)))
}

func TestRequestThatWasAnsweredBeforeItCrashesServersIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSound(start, request(0), nil)
	now := start.Add(time.Second)
	for n := range minCrashes {
		crashUnder(tracker, now, n, request(0))
		now = now.Add(minCrashSpan)
	}
	require.True(t, isQuarantined(tracker, now, request(0)))
}

// A request whose server fault is mended must be let through although it came all the time.
func TestQuarantineOfARequestEndsAndOneMoreCrashRenewsIt(t *testing.T) {
	tracker := NewTracker()
	now := start
	for n := range minCrashes {
		now = start.Add(time.Duration(n) * time.Second)
		crashUnder(tracker, now, n, request(0))
	}
	lastCrash := now
	for ; now.Sub(lastCrash) <= retention; now = now.Add(time.Second) {
		tracker.Expire(now)
		require.True(t, isQuarantined(tracker, now, request(0)), "%v after the last crash", now.Sub(lastCrash))
	}
	require.False(t, isQuarantined(tracker, now, request(0)))
	renewed := NewTracker()
	renewed.Merge(now, tracker.All())
	crashUnder(renewed, now, minCrashes, request(0))
	require.True(t, isQuarantined(renewed, now.Add(retention), request(0)), "it crashed another server")
	tracker.RecordSound(now, request(0), nil)
	tracker.Expire(now.Add(answeredFor + time.Second))
	require.Empty(t, tracker.All(), "it was answered")
}

func TestQuarantineAfterCrashesAtTheSameTimeIsShort(t *testing.T) {
	tracker := NewTracker()
	for n := range minCrashes {
		crashUnder(tracker, start, n, request(0))
	}
	require.True(t, isQuarantined(tracker, start.Add(shortQuarantine), request(0)))
	require.False(t, isQuarantined(tracker, start.Add(shortQuarantine+time.Second), request(0)))
}

// An answer that one VM has seen must clear the request at the others.
func TestAnswerToARequestReachesOtherVMs(t *testing.T) {
	crashing, answering := NewTracker(), NewTracker()
	for n := range minCrashes {
		crashUnder(crashing, start.Add(time.Duration(n)*time.Second), n, request(0))
	}
	now := start.Add(4 * time.Second)
	answering.Merge(now, crashing.TakeChanges())
	require.True(t, isQuarantined(answering, now, request(0)))
	answering.RecordSound(now, request(0), nil) // it was sent before the quarantine
	crashing.Merge(now, answering.TakeChanges())
	for name, tracker := range map[string]*Tracker{"crashing": crashing, "answering": answering} {
		require.False(t, isQuarantined(tracker, now, request(0)), name)
	}
}

// The servers that a harmful request has crashed are no evidence against sound requests that ran beside it.
func TestRequestBesideOneThatCrashesServersIsNotRefused(t *testing.T) {
	tracker := NewTracker()
	for n := range minCrashes + 1 {
		now := start.Add(time.Duration(n) * time.Second)
		crashUnder(tracker, now, n, request(0))
		if n > 0 {
			tracker.RecordCrash(now, run(n), request(1), []Subject{shared})
			tracker.RecordCrash(now, run(n), request(n+1), []Subject{shared})
		}
	}
	now := start.Add(10 * time.Second)
	require.True(t, isQuarantined(tracker, now, request(0)))
	require.False(t, isQuarantined(tracker, now, request(1)))
	_, found := quarantined(tracker, now, shared)
	require.False(t, found)
	require.False(t, tracker.Suspected(now, request(1), []Subject{shared}), "it may be sent again")
	require.Len(t, tracker.AllQuarantined(now), 1)
}

// The VM attaches long after the crashes; the quarantine of the harmful request ends before it has known them for as long.
func TestPartBesideARequestThatCrashedServersIsServedAfterItsQuarantine(t *testing.T) {
	control := NewTracker()
	for n := range minCrashes + 1 {
		now := start.Add(time.Duration(n) * time.Second)
		crashUnder(control, now, n, request(0))
		if n > 0 {
			control.RecordCrash(now, run(n), request(n), []Subject{shared})
		}
	}
	attached := NewTracker()
	attached.Merge(start.Add(retention/2), control.All())
	now := start.Add(minCrashes*time.Second + retention + time.Second)
	attached.Expire(now)
	require.False(t, isQuarantined(attached, now, request(0)))
	_, found := quarantined(attached, now, shared)
	require.False(t, found)
}

func TestTwoRequestsThatCrashTheSameServersAreBothQuarantined(t *testing.T) {
	for alone := range minCrashes { // the servers that only the first has crashed before
		tracker := NewTracker()
		now, crashes := start, 0
		for range alone {
			crashUnder(tracker, now, crashes, request(0))
			now, crashes = now.Add(time.Second), crashes+1
		}
		for !isQuarantined(tracker, now, request(0)) || !isQuarantined(tracker, now, request(1)) {
			for n := range 2 {
				if !isQuarantined(tracker, now, request(n)) {
					crashUnder(tracker, now, crashes, request(n))
				}
			}
			now, crashes = now.Add(time.Second), crashes+1
		}
		require.LessOrEqual(t, crashes, alone+minCrashes+1)
	}
}

// At 600 servers with four requests before their second event each, of which 15 % crash at the same time every four
// seconds, a request that crashes a server every ten seconds must stay known until it is quarantined.
func TestCrashesOfOtherCausesDoNotDisplaceARequestThatCrashesServers(t *testing.T) {
	const servers, requestsPerServer, crashingServers = 600, 4, 90
	tracker := NewTracker()
	now, others := start, 0
	for n := 0; !isQuarantined(tracker, now, request(0)); n++ {
		require.Less(t, n, minCrashes)
		crashUnder(tracker, now, servers+n, request(0))
		for ; now.Before(start.Add(time.Duration(n+1) * 10 * time.Second)); now = now.Add(4 * time.Second) {
			for server := range crashingServers {
				for range requestsPerServer {
					others++
					tracker.RecordCrash(now, run(1000*n+server), request(others), []Subject{NewPart(fmt.Sprint(others))})
				}
			}
		}
	}
	suspects, evicted := tracker.Stats()
	t.Logf("%d crashes under other requests, %d suspects, %d dropped", others, suspects, evicted)
	require.LessOrEqual(t, suspects, maxSuspects)
	require.LessOrEqual(t, len(tracker.outlines), maxSuspects)
}

// The first crash under a harmful request is one of many suspects with one crash: a burst of them must not displace it.
func TestSuspectWithMoreCrashedServersIsDroppedLater(t *testing.T) {
	tracker := NewTracker()
	crashUnder(tracker, start, 1, request(0))
	crashUnder(tracker, start, 2, request(0))
	for n := 1; n <= 3*maxSuspects; n++ {
		crashUnder(tracker, start.Add(time.Duration(n)*time.Millisecond), 3, request(n))
	}
	require.True(t, tracker.Suspected(start, request(0), nil))
	require.Positive(t, tracker.evicted)
}

// BenchmarkRequestInServe measures what an entry VM computes for each request: its outline, a check and an answer.
func BenchmarkRequestInServe(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20, 8 << 20} {
		for _, suspected := range []bool{false, true} {
			b.Run(fmt.Sprintf("bytes=%d/suspected=%v", size, suspected), func(b *testing.B) {
				body := bytes.Repeat([]byte("x"), size)
				guard := NewGuard()
				if suspected {
					guard.Do(func(t *Tracker) { crashUnder(t, start, 1, NewRequest("team", "POST", "host", "/path", body)) })
				}
				for b.Loop() {
					r := NewRequest("team", "POST", "host", "/path", body)
					guard.Quarantined(start, r, nil)
					guard.RecordSound(start, r, nil)
				}
			})
		}
	}
}
