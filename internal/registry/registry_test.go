package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/roster"
)

func submitCommand(id string, expected uint64, content string) *registrypb.Command {
	return &registrypb.Command{Kind: &registrypb.Command_Submit{Submit: &registrypb.Submit{
		SubmissionId: id, ExpectedVersion: expected, Digest: bundle.Digest([]byte(content)), Content: []byte(content),
	}}}
}

func rollCommand(id string, version uint64) *registrypb.Command {
	return &registrypb.Command{Kind: &registrypb.Command_Roll{Roll: &registrypb.Roll{SubmissionId: id, Version: version}}}
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

func apply(t testingT, r *registry.Registry, command *registrypb.Command) registry.Result {
	t.Helper()
	encoded, err := registry.Encode(command)
	require.NoError(t, err)
	result, err := registry.DecodeResult(r.Apply(1, encoded))
	require.NoError(t, err)
	return result
}

// TestSubmitResults checks accepted, conflicting, resent and late submissions,
// also after a restore from a snapshot.
func TestSubmitResults(t *testing.T) {
	r := registry.New()
	first := apply(t, r, submitCommand("a", 0, "one"))
	assert.Equal(t, registry.Result{Code: registry.CodeAccepted, Version: 1, Digest: bundle.Digest([]byte("one"))}, first)
	conflicting := apply(t, r, submitCommand("b", 0, "two"))
	assert.Equal(t, registry.Result{Code: registry.CodeConflict, Version: 1, Digest: first.Digest}, conflicting)
	apply(t, r, submitCommand("c", 1, "three"))

	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	restored := registry.New()
	require.NoError(t, restored.Restore(snapshot))
	for name, machine := range map[string]*registry.Registry{"same process": r, "after a snapshot": restored} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, first, apply(t, machine, submitCommand("a", 0, "one")), "a resend gets the first answer")
			assert.Equal(t, conflicting, apply(t, machine, submitCommand("b", 0, "two")), "a resend of a conflicting submission gets the first answer")
			reused := apply(t, machine, submitCommand("a", 2, "four"))
			assert.Equal(t, registry.Result{Code: registry.CodeIDReused, Version: 1, Digest: first.Digest}, reused)
			late := apply(t, machine, submitCommand("d", 1, "five"))
			assert.Equal(t, registry.Result{Code: registry.CodeConflict, Version: 2, Digest: bundle.Digest([]byte("three"))}, late)
			ahead := apply(t, machine, submitCommand("e", 9, "six"))
			assert.Equal(t, registry.CodeConflict, ahead.Code)
			assert.Equal(t, []byte("three"), machine.Newest().Compressed)
		})
	}
}

func TestRollAcceptsOnlyTheNewestVersion(t *testing.T) {
	r := registry.New()
	assert.Equal(t, registry.CodeConflict, apply(t, r, rollCommand("r0", 0)).Code)
	apply(t, r, submitCommand("a", 0, "one"))
	assert.Equal(t, registry.CodeAccepted, apply(t, r, rollCommand("r1", 1)).Code)
	apply(t, r, submitCommand("b", 1, "two"))
	rolled, roll := r.CurrentRoll()
	assert.Equal(t, uint64(1), roll.Version)
	assert.Equal(t, []byte("one"), rolled.Compressed, "a newer bundle needs a roll of its own")
	assert.Equal(t, registry.CodeConflict, apply(t, r, rollCommand("r2", 1)).Code)
	assert.Equal(t, registry.CodeAccepted, apply(t, r, rollCommand("r3", 2)).Code)
}

func TestSetEpochDetectsResendsAndConflicts(t *testing.T) {
	holder := func(id uint64) *registrypb.EpochHolder {
		return &registrypb.EpochHolder{MemberId: id, Address: fmt.Sprint("10.0.0.", id, ":9200")}
	}
	setEpochCommand := func(expected uint64, holders ...*registrypb.EpochHolder) *registrypb.Command {
		return &registrypb.Command{Kind: &registrypb.Command_SetEpoch{SetEpoch: &registrypb.SetEpoch{ExpectedNumber: expected, Holders: holders}}}
	}
	r := registry.New()
	assert.Equal(t, registry.Result{Code: registry.CodeAccepted, Epoch: 1}, apply(t, r, setEpochCommand(0, holder(2), holder(1))))
	assert.Equal(t, registry.Result{Code: registry.CodeAccepted, Epoch: 1}, apply(t, r, setEpochCommand(0, holder(1), holder(2))), "a resend")
	assert.Equal(t, registry.Result{Code: registry.CodeConflict, Epoch: 1}, apply(t, r, setEpochCommand(0, holder(3))), "a race")
	first := registry.Epoch{Number: 1, Holders: []registry.EpochHolder{{MemberID: 1, Address: "10.0.0.1:9200"}, {MemberID: 2, Address: "10.0.0.2:9200"}}}
	assert.Equal(t, first, r.Epoch())
	assert.Equal(t, registry.Result{Code: registry.CodeAccepted, Epoch: 2}, apply(t, r, setEpochCommand(1, holder(3))))
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	restored := registry.New()
	require.NoError(t, restored.Restore(snapshot))
	assert.Equal(t, []registry.Epoch{first, r.Epoch()}, restored.Epochs(), "epochs after a restore")
}

// TestStateIsBounded checks that the state stays within its limits after many
// submissions.
func TestStateIsBounded(t *testing.T) {
	r := registry.New()
	for version := range uint64(5000) {
		apply(t, r, submitCommand(fmt.Sprint("id", version), version, fmt.Sprint(version)))
		apply(t, r, submitCommand(fmt.Sprint("lost", version), version, "other"))
	}
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(snapshot), 3<<20)
	assert.Len(t, r.History(1<<20), 4096)
	assert.Equal(t, registry.CodeAccepted, apply(t, r, submitCommand("id4000", 4000, "4000")).Code)
}

func departureCommand(at time.Time, id string, bornMs int64, gone bool) *registrypb.Command {
	departure := &registrypb.Departure{Id: id, BornMs: bornMs, Gone: gone}
	return &registrypb.Command{Kind: &registrypb.Command_RecordDepartures{
		RecordDepartures: &registrypb.RecordDepartures{Departures: []*registrypb.Departure{departure}, UnixMs: at.UnixMilli()},
	}}
}

// A departure of an earlier incarnation or an earlier state must not replace a later one, and
// the registry must not grow with each server that ever left.
func TestDeparturesAreOrderedAndBounded(t *testing.T) {
	r, now := registry.New(), time.Unix(1000, 0)
	has := func(id string, bornMs int64, gone bool) bool {
		return r.HasDeparture(&registrypb.Departure{Id: id, BornMs: bornMs, Gone: gone})
	}
	apply(t, r, departureCommand(now, "s1", 20, false))
	require.True(t, has("s1", 20, false))
	require.False(t, has("s1", 20, true))
	apply(t, r, departureCommand(now, "s1", 20, true))
	apply(t, r, departureCommand(now, "s1", 20, false))
	apply(t, r, departureCommand(now, "s1", 10, true))
	require.True(t, has("s1", 20, true))
	require.False(t, has("s1", 21, false))
	_, departures := r.Departures()
	require.Len(t, departures, 1)

	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	restored := registry.New()
	require.NoError(t, restored.Restore(snapshot))
	require.True(t, restored.HasDeparture(departures[0]))

	apply(t, r, departureCommand(now.Add(roster.GoneRetention+time.Second), "s2", 30, true))
	require.False(t, has("s1", 20, true), "dropped after the retention")
	for i := range 5000 {
		apply(t, r, departureCommand(now.Add(roster.GoneRetention+time.Second), fmt.Sprint("t", i), 30, true))
	}
	_, departures = r.Departures()
	require.Len(t, departures, 4096)
	require.Equal(t, "t4999", departures[4095].GetId())
}

// TestVersionAndSubmissionHaveOneResult runs random conflicting submissions, resends
// and restores. Each version must keep one digest, and each submission one result.
func TestVersionAndSubmissionHaveOneResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registry.New()
		answers := map[string]registry.Result{}
		digests := map[uint64]string{}
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "id"))
			expected := uint64(rapid.IntRange(0, 6).Draw(t, "expected"))
			content := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "content"))
			result := apply(t, r, submitCommand(id, expected, content))
			key := fmt.Sprint(id, "/", expected, "/", content)
			if first, sent := answers[key]; sent {
				require.Equal(t, first, result)
			} else if result.Code != registry.CodeIDReused {
				answers[key] = result
			}
			if result.Code == registry.CodeAccepted {
				if known, found := digests[result.Version]; found {
					require.Equal(t, known, result.Digest)
				}
				digests[result.Version] = result.Digest
				require.Equal(t, expected+1, result.Version)
			}
			newest = requireNewest(t, r, newest, digests)
			if rapid.Bool().Draw(t, "restore") {
				snapshot, err := r.Snapshot()
				require.NoError(t, err)
				r = registry.New()
				require.NoError(t, r.Restore(snapshot))
			}
		}
	})
}

// requireNewest checks that the newest bundle has the digest recorded in digests and
// that its version is not below previous, the newest version before the last command.
// It returns the newest version.
func requireNewest(t testingT, r *registry.Registry, previous uint64, digests map[uint64]string) uint64 {
	t.Helper()
	newest := r.Newest()
	if newest == nil {
		require.Zero(t, previous)
		return 0
	}
	require.GreaterOrEqual(t, newest.Version, previous, "the newest version must not decrease")
	require.Equal(t, digests[newest.Version], newest.Digest)
	return newest.Version
}

func FuzzApply(f *testing.F) {
	for _, command := range []*registrypb.Command{submitCommand("a", 0, "one"), rollCommand("r", 1), departureCommand(time.Unix(1, 0), "s", 1, true)} {
		encoded, err := registry.Encode(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		f.Add(encoded[:len(encoded)/2])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		r := registry.New()
		answer := r.Apply(1, encoded)
		_, err := registry.DecodeResult(answer)
		require.NoError(t, err)
		_, err = registry.Decode(encoded)
		if err != nil {
			require.Nil(t, r.Newest())
		}
		snapshot, err := r.Snapshot()
		require.NoError(t, err)
		require.NoError(t, registry.New().Restore(snapshot))
		_ = registry.New().Restore(encoded)
	})
}
