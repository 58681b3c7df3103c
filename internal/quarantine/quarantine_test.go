package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func run(n int) ServerRun { return NewServerRun(fmt.Sprintf("s%d", n), start) }

func request(n int) *Request { return NewRequest("team", "POST", "host", fmt.Sprintf("/r%d", n), nil) }

// quarantined reports on parts alone, for a request without evidence.
func quarantined(tracker *Tracker, now time.Time, parts ...Subject) (Subject, bool) {
	return tracker.Quarantined(now, request(-1), parts)
}

var harmful, shared = NewPart("harmful"), NewPart("shared")

func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSound(start, request(-1), []Subject{shared})
	for n := range minCrashes {
		_, found := quarantined(tracker, start, shared, harmful)
		require.False(t, found, "after %d crashes", n)
		tracker.RecordCrash(start.Add(time.Second), run(n), request(n), []Subject{shared, harmful})
	}
	part, found := quarantined(tracker, start.Add(time.Second), shared, harmful)
	require.True(t, found)
	require.Equal(t, harmful, part)
	_, found = quarantined(tracker, start.Add(time.Second), shared)
	require.False(t, found, "sound prompts share this part")
}

func TestRepeatsOfOneRequestAndCrashesOfOneServerCountOnce(t *testing.T) {
	tracker := NewTracker()
	for n := range 2 * minCrashes {
		tracker.RecordCrash(start, run(n), request(0), []Subject{harmful})
	}
	_, found := quarantined(tracker, start, harmful)
	require.False(t, found, "one request")
	require.True(t, tracker.Suspected(start, request(-1), []Subject{harmful}))
	tracker = NewTracker()
	for n := range 2 * minCrashes {
		tracker.RecordCrash(start, run(0), request(n), []Subject{harmful})
	}
	_, found = quarantined(tracker, start, harmful)
	require.False(t, found, "one server")
}

// Crashes beside answers to prompts with the part must not lead to a quarantine later,
// when no such prompt comes for a while.
func TestCrashesBesideAnswersNeverCount(t *testing.T) {
	tracker := NewTracker()
	now := start
	for n := range 10 * minCrashes {
		tracker.RecordCrash(now, run(n), request(n), []Subject{shared})
		tracker.RecordSound(now, request(-1), []Subject{shared})
		now = now.Add(100 * time.Millisecond)
	}
	_, found := quarantined(tracker, now.Add(2*partSoundFor), shared)
	require.False(t, found)
}

// The evidence of a VM that has just started must not outweigh the answers that others
// have seen.
func TestVMThatStartedLaterLearnsThatAPartIsSound(t *testing.T) {
	known, started := NewTracker(), NewTracker()
	known.RecordSound(start, request(-1), []Subject{shared})
	for n := range minCrashes {
		started.RecordCrash(start.Add(time.Second), run(n), request(n), []Subject{shared})
	}
	known.Merge(start.Add(time.Second), started.TakeChanges())
	started.Merge(start.Add(time.Second), known.TakeChanges())
	for name, tracker := range map[string]*Tracker{"known": known, "started": started} {
		_, found := quarantined(tracker, start.Add(time.Second), shared)
		require.False(t, found, name)
	}
}

func TestQuarantineEndsWhenNoSuchRequestCame(t *testing.T) {
	tracker := NewTracker()
	for n := range minCrashes {
		tracker.RecordCrash(start, run(n), request(n), []Subject{harmful})
	}
	now := start
	for range 5 {
		now = now.Add(retention - time.Second)
		tracker.Expire(now)
		_, found := quarantined(tracker, now, harmful)
		require.True(t, found, "requests with the part still come")
	}
	tracker.Expire(now.Add(retention + time.Second))
	require.Empty(t, tracker.All())
}

// Many parts with one crash each must neither take unbounded memory nor displace a
// quarantined part.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := NewTracker()
	for n := range minCrashes {
		tracker.RecordCrash(start, run(n), request(n), []Subject{harmful})
	}
	for n := range 3 * maxSuspects {
		now := start.Add(time.Duration(n) * time.Millisecond)
		part := NewPart(fmt.Sprintf("part %d", n))
		tracker.RecordCrash(now, run(n), request(n), []Subject{part})
		tracker.RecordSound(now, request(-1), []Subject{NewPart(fmt.Sprintf("sound %d", n))})
	}
	require.LessOrEqual(t, len(tracker.suspects), maxSuspects)
	require.LessOrEqual(t, len(tracker.changed), maxSuspects)
	_, found := quarantined(tracker, start, harmful)
	require.True(t, found)
	for n := range 10 * maxCrashesPerSubject {
		tracker.RecordCrash(start, run(n), request(n), []Subject{harmful})
	}
	require.Len(t, tracker.suspects[harmful].crashes, maxCrashesPerSubject)
	for n := range 5 * maxSound {
		tracker.RecordSound(start.Add(time.Minute), request(-1), []Subject{NewPart(fmt.Sprintf("sound %d", n))})
	}
	require.LessOrEqual(t, len(tracker.sound.current)+len(tracker.sound.older), 2*maxSound)
}

// VMs that see the crashes in parts, and exchange evidence over lost, repeated and
// reordered messages, must agree once the last messages have arrived, and stop sending.
func TestAllVMsAgreeOnTheSameEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]*Tracker, 4)
		for i := range trackers {
			trackers[i] = NewTracker()
		}
		draw := func(name string, limit int) int { return rapid.IntRange(0, limit-1).Draw(t, name) }
		now := start
		for range draw("steps", 40) {
			now = now.Add(time.Duration(draw("gap", 2000)) * time.Millisecond)
			tracker := trackers[draw("vm", len(trackers))]
			switch draw("step", 4) {
			case 0:
				tracker.RecordCrash(now, run(draw("server", 6)), request(draw("request", 6)), []Subject{harmful, shared})
			case 1:
				tracker.RecordSound(now, request(draw("answered", 3)), []Subject{shared})
			case 2:
				trackers[draw("to", len(trackers))].Merge(now, tracker.All())
			case 3:
				tracker.TakeChanges() // lost
			}
		}
		for round := 0; ; round++ {
			require.Less(t, round, 10, "the VMs do not stop sending")
			sent := 0
			for _, from := range trackers {
				evidence := from.TakeChanges()
				if round == 0 {
					evidence = from.All()
				}
				sent += len(evidence)
				for _, to := range trackers {
					to.Merge(now, evidence)
				}
			}
			if sent == 0 && round > 0 {
				break
			}
		}
		for _, tracker := range trackers[1:] {
			for _, part := range []Subject{harmful, shared} {
				_, want := quarantined(trackers[0], now, part)
				_, got := quarantined(tracker, now, part)
				require.Equal(t, want, got)
			}
			// Until then, a VM that has answered a request before its crashes needs crashes over a longer time.
			later := now.Add(shortQuarantine + time.Second)
			for n := range 6 {
				require.Equal(t, isQuarantined(trackers[0], later, request(n)), isQuarantined(tracker, later, request(n)), "request %d", n)
			}
		}
	})
}

// BenchmarkAllQuarantined measures the list that a control VM makes while the tracker is nearly full.
func BenchmarkAllQuarantined(b *testing.B) {
	for _, harmful := range []int{10, 100, 1000} {
		tracker := NewTracker()
		for n := range maxSuspects * 7 / 8 {
			tracker.RecordCrash(start, run(n%600), request(n), nil)
		}
		for n := range harmful {
			for crash := range minCrashes {
				tracker.RecordCrash(start.Add(time.Duration(crash)*time.Second), run(n+crash+1), request(n), nil)
			}
		}
		now := start.Add(minCrashes * time.Second)
		b.Run(fmt.Sprintf("%d harmful", harmful), func(b *testing.B) {
			for b.Loop() {
				tracker.AllQuarantined(now)
			}
		})
	}
}

// Evidence on crashes of servers that go on announcing themselves made all VMs refuse a sound
// request. An announcement that was on its way when the server crashed must not count, nor must
// evidence of another VM bring the crash back.
func TestServerThatAnnouncesItselfHasNotCrashed(t *testing.T) {
	tracker, now := NewTracker(), start
	for n := range minCrashes {
		now = now.Add(minCrashSpan)
		tracker.RecordCrash(now, run(n), request(0), []Subject{harmful})
	}
	evidence := tracker.All()
	isRefused := func() bool {
		_, found := tracker.Quarantined(now, request(0), nil)
		return found
	}
	announce := func(at time.Time) { tracker.RecordAnnouncements(map[ServerRun]time.Time{run(minCrashes - 1): at}) }
	require.True(t, isRefused())
	announce(now.Add(announcementDelay - time.Millisecond))
	require.True(t, isRefused(), "the announcement may have been delayed")
	announce(now.Add(announcementDelay))
	require.False(t, isRefused())
	announce(now)
	tracker.Merge(now.Add(announcementDelay), evidence)
	require.False(t, isRefused(), "evidence of a VM that has not seen the announcement")
	tracker.RecordCrash(now.Add(announcementDelay+time.Second), run(minCrashes-1), request(0), nil)
	require.True(t, isRefused(), "the server has crashed since")
	for n := range minCrashes {
		tracker.RecordAnnouncements(map[ServerRun]time.Time{run(n): now.Add(time.Minute)})
	}
	suspects, _ := tracker.Stats()
	require.Zero(t, suspects)
	require.Empty(t, tracker.outlines)
	tracker.Expire(now.Add(time.Minute + 2*retention + time.Second))
	require.Empty(t, tracker.announced)
}
