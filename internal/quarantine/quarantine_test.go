package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func run(n int) ServerRun     { return NewServerRun(fmt.Sprintf("s%d", n), start) }
func request(n int) RequestID { return NewRequestID(fmt.Sprintf("r%d", n)) }

var harmful, shared = NewPart("harmful"), NewPart("shared")

func TestPartThatCrashesServersIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordSound(start, []Subject{shared})
	for n := range minCrashes {
		_, found := tracker.Quarantined(start, []Subject{shared, harmful})
		require.False(t, found, "after %d crashes", n)
		tracker.RecordCrash(start.Add(time.Second), run(n), request(n), []Subject{shared, harmful})
	}
	part, found := tracker.Quarantined(start.Add(time.Second), []Subject{shared, harmful})
	require.True(t, found)
	require.Equal(t, harmful, part)
	_, found = tracker.Quarantined(start.Add(time.Second), []Subject{shared})
	require.False(t, found, "sound prompts share this part")
}

func TestRepeatsOfOneRequestAndCrashesOfOneServerCountOnce(t *testing.T) {
	tracker := NewTracker()
	for n := range 2 * minCrashes {
		tracker.RecordCrash(start, run(n), request(0), []Subject{harmful})
	}
	_, found := tracker.Quarantined(start, []Subject{harmful})
	require.False(t, found, "one request")
	require.True(t, tracker.Suspected([]Subject{harmful}))
	tracker = NewTracker()
	for n := range 2 * minCrashes {
		tracker.RecordCrash(start, run(0), request(n), []Subject{harmful})
	}
	_, found = tracker.Quarantined(start, []Subject{harmful})
	require.False(t, found, "one server")
}

// Crashes beside answers to prompts with the part must not lead to a quarantine later,
// when no such prompt comes for a while.
func TestCrashesBesideAnswersNeverCount(t *testing.T) {
	tracker := NewTracker()
	now := start
	for n := range 10 * minCrashes {
		tracker.RecordCrash(now, run(n), request(n), []Subject{shared})
		tracker.RecordSound(now, []Subject{shared})
		now = now.Add(100 * time.Millisecond)
	}
	_, found := tracker.Quarantined(now.Add(2*soundFor), []Subject{shared})
	require.False(t, found)
}

// The evidence of a VM that has just started must not outweigh the answers that others
// have seen.
func TestVMThatStartedLaterLearnsThatAPartIsSound(t *testing.T) {
	known, started := NewTracker(), NewTracker()
	known.RecordSound(start, []Subject{shared})
	for n := range minCrashes {
		started.RecordCrash(start.Add(time.Second), run(n), request(n), []Subject{shared})
	}
	known.Merge(start.Add(time.Second), started.TakeChanges())
	started.Merge(start.Add(time.Second), known.TakeChanges())
	for name, tracker := range map[string]*Tracker{"known": known, "started": started} {
		_, found := tracker.Quarantined(start.Add(time.Second), []Subject{shared})
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
		_, found := tracker.Quarantined(now, []Subject{harmful})
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
		tracker.RecordSound(now, []Subject{NewPart(fmt.Sprintf("sound %d", n))})
	}
	require.LessOrEqual(t, len(tracker.suspects), maxSuspects)
	require.LessOrEqual(t, len(tracker.changed), maxSuspects)
	_, found := tracker.Quarantined(start, []Subject{harmful})
	require.True(t, found)
	for n := range 10 * maxCrashesPerPart {
		tracker.RecordCrash(start, run(n), request(n), []Subject{harmful})
	}
	require.Len(t, tracker.suspects[harmful].crashes, maxCrashesPerPart)
	for n := range 5 * maxSound {
		tracker.RecordSound(start.Add(time.Minute), []Subject{NewPart(fmt.Sprintf("sound %d", n))})
	}
	require.LessOrEqual(t, len(tracker.sound)+len(tracker.olderSound), 2*maxSound)
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
				tracker.RecordSound(now, []Subject{shared})
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
				_, want := trackers[0].Quarantined(now, []Subject{part})
				_, got := tracker.Quarantined(now, []Subject{part})
				require.Equal(t, want, got)
			}
		}
	})
}
