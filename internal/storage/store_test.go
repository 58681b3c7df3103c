package storage_test

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/storage/faultfs"
)

const firstSegment = "log-00000000000000000001"

var group = consensus.NewMembership(consensus.Member{ID: 1, Name: "control-1", Address: "10.0.0.1:1"})

// entries returns command entries with indexes from to to, both included.
func entries(from, to, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := from; index <= to; index++ {
		list = append(list, consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "%d-%d", term, index)})
	}
	return list
}

// saveEntries saves the entries with indexes from to to, both included, of a term.
func saveEntries(t *testing.T, store *storage.Store, term, from, to uint64) {
	t.Helper()
	require.NoError(t, store.Save(&consensus.Write{HardState: consensus.HardState{Group: 1, Term: term}, Entries: entries(from, to, term)}))
}

// newFilledDisk returns a closed disk with entries 1 to 6 in three records.
func newFilledDisk(t *testing.T) *faultfs.Disk {
	t.Helper()
	disk := faultfs.New()
	store, loaded, err := storage.Open(disk)
	require.NoError(t, err)
	require.True(t, loaded.IsNew)
	for from := uint64(1); from < 7; from += 2 {
		saveEntries(t, store, 1, from, from+1)
	}
	require.NoError(t, store.Close())
	return disk
}

func TestTornLastRecordIsCutOffAndReported(t *testing.T) {
	segmentSize := newFilledDisk(t).Size(firstSegment)
	for _, missing := range []int{1, 5, 13, 20} {
		t.Run(fmt.Sprintf("%d bytes missing", missing), func(t *testing.T) {
			disk := newFilledDisk(t)
			truncate(t, disk, segmentSize-missing)
			store, loaded, err := storage.Open(disk)
			require.NoError(t, err)
			require.NotNil(t, loaded.TornRecord)
			require.Len(t, loaded.Stored.Entries, 4)
			saveEntries(t, store, 2, 5, 5)
			require.NoError(t, store.Close())
			_, loaded, err = storage.Open(disk)
			require.NoError(t, err)
			require.Nil(t, loaded.TornRecord)
			require.Equal(t, append(entries(1, 4, 1), entries(5, 5, 2)...), loaded.Stored.Entries)
		})
	}
}

func truncate(t *testing.T, disk *faultfs.Disk, size int) {
	t.Helper()
	file, err := disk.Append(firstSegment)
	require.NoError(t, err)
	require.NoError(t, file.Truncate(int64(size)))
	require.NoError(t, file.Sync())
}

// TestOpenReportsCorruptionWithFileAndOffset corrupts each byte of a segment in
// turn.
func TestOpenReportsCorruptionWithFileAndOffset(t *testing.T) {
	size := newFilledDisk(t).Size(firstSegment)
	for offset := range size {
		disk := newFilledDisk(t)
		disk.Corrupt(firstSegment, offset)
		_, _, err := storage.Open(disk)
		var corruption *storage.CorruptionError
		require.ErrorAs(t, err, &corruption, "byte %d", offset)
		require.Equal(t, disk.Path(firstSegment), corruption.File)
		require.LessOrEqual(t, corruption.Offset, int64(offset))
	}
}

func TestOpenRefusesMissingFilesAndCommittedEntries(t *testing.T) {
	for _, name := range []string{firstSegment, "identity"} {
		disk := newFilledDisk(t)
		require.NoError(t, disk.Remove(name))
		_, _, err := storage.Open(disk)
		var corruption *storage.CorruptionError
		require.ErrorAs(t, err, &corruption, name)
	}
	disk := newFilledDisk(t)
	store, _, err := storage.Open(disk)
	require.NoError(t, err)
	require.NoError(t, store.Save(&consensus.Write{HardState: consensus.HardState{Commit: 9}}))
	require.NoError(t, store.Close())
	_, _, err = storage.Open(disk)
	require.ErrorContains(t, err, "committed are missing")
}

func TestSaveFailsAfterAFailedWrite(t *testing.T) {
	for name, fail := range map[string]func(*faultfs.Disk){
		"sync":      func(d *faultfs.Disk) { d.FailSyncs(faultfs.ErrSyncFailed) },
		"disk full": func(d *faultfs.Disk) { d.SetFreeBytes(10) },
	} {
		t.Run(name, func(t *testing.T) {
			disk := faultfs.New()
			store, _, err := storage.Open(disk)
			require.NoError(t, err)
			saveEntries(t, store, 1, 1, 2)
			fail(disk)
			require.Error(t, store.Save(&consensus.Write{Entries: entries(3, 3, 1)}))
			disk.FailSyncs(nil)
			disk.SetFreeBytes(-1)
			require.ErrorIs(t, store.Save(&consensus.Write{Entries: entries(3, 3, 1)}), storage.ErrWriteFailed)
			require.NoError(t, store.Close())
			_, loaded, err := storage.Open(disk)
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(loaded.Stored.Entries), 2)
		})
	}
}

func TestOpenRefusesALockedFolder(t *testing.T) {
	folder, err := storage.OpenDir(filepath.Join(t.TempDir(), "data"))
	require.NoError(t, err)
	store, first, err := storage.Open(folder)
	require.NoError(t, err)
	_, _, err = storage.Open(folder)
	require.ErrorIs(t, err, storage.ErrLocked)
	saveEntries(t, store, 1, 1, 3)
	require.NoError(t, store.Close())
	store, second, err := storage.Open(folder)
	require.NoError(t, err)
	require.Equal(t, first.Member, second.Member)
	require.False(t, second.IsNew)
	require.Equal(t, entries(1, 3, 1), second.Stored.Entries)
	require.NoError(t, store.Close())
	_, err = os.Stat(folder.Path("identity"))
	require.False(t, errors.Is(err, fs.ErrNotExist))
}

// TestCrashKeepsSavedWrites runs random writes and crashes. A reopened folder
// must hold all saved writes, with or without the parts of the write that the
// crash interrupted.
func TestCrashKeepsSavedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := faultfs.New()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		store, loaded, err := storage.Open(disk)
		require.NoError(t, err)
		member := loaded.Member
		saved := &consensus.StoredState{}
		for range rapid.IntRange(1, 25).Draw(t, "writes") {
			write := drawWrite(t, saved)
			allowed := allowedStates(saved, write)
			crash := rapid.IntRange(0, 3).Draw(t, "crash") == 0
			if crash {
				disk.SetFreeBytes(rapid.IntRange(0, 400).Draw(t, "free"))
			}
			failed := store.Save(write)
			if failed == nil {
				allowed = allowed[1:2]
				saved = allowed[0]
			}
			if !crash {
				require.NoError(t, failed)
				continue
			}
			disk.Crash(func(unsynced int) int { return random.IntN(unsynced + 1) })
			disk.SetFreeBytes(-1)
			store, loaded, err = storage.Open(disk)
			require.NoError(t, err)
			require.Equal(t, member, loaded.Member)
			found := slices.IndexFunc(allowed, func(s *consensus.StoredState) bool { return isSameState(s, &loaded.Stored) })
			require.GreaterOrEqual(t, found, 0, "allowed %+v, loaded %+v", allowed, loaded.Stored)
			saved = allowed[found]
		}
	})
}

// allowedStates returns the states that a failed write may leave: the state
// before it, the state after it, and the state after the first of its two parts.
// The first part is the snapshot if the snapshot replaces the log, else the batch
// of entries.
func allowedStates(before *consensus.StoredState, write *consensus.Write) []*consensus.StoredState {
	states := []*consensus.StoredState{before, stateAfter(before, write)}
	if write.Reset {
		return append(states, &consensus.StoredState{HardState: before.HardState, Snapshot: write.Snapshot})
	}
	batch := *write
	batch.Snapshot = nil
	return append(states, stateAfter(before, &batch))
}

func lastIndex(s *consensus.StoredState) uint64 {
	if len(s.Entries) > 0 {
		return s.Entries[len(s.Entries)-1].Index
	}
	if s.Snapshot != nil {
		return s.Snapshot.Index
	}
	return 0
}

// snapshotIndex returns the index of the snapshot, 0 if there is none.
func snapshotIndex(s *consensus.StoredState) uint64 {
	if s.Snapshot != nil {
		return s.Snapshot.Index
	}
	return 0
}

// drawWrite draws a write that follows the state s: a received snapshot, a
// snapshot of the member's own, or entries.
func drawWrite(t *rapid.T, s *consensus.StoredState) *consensus.Write {
	term := s.HardState.Term + 1
	write := &consensus.Write{HardState: consensus.HardState{Group: 1, Term: term, Vote: 2}}
	last := lastIndex(s)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		index := last + rapid.Uint64Range(1, 5).Draw(t, "ahead")
		write.Reset = true
		write.Snapshot = &consensus.Snapshot{Index: index, Term: term, Membership: group, Data: []byte("received")}
		write.KeepFrom = index + 1
		write.HardState.Commit = index
		return write
	case 1:
		if len(s.Entries) > 0 {
			covered := s.Entries[rapid.IntRange(0, len(s.Entries)-1).Draw(t, "at")]
			write.Snapshot = &consensus.Snapshot{Index: covered.Index, Term: covered.Term, Membership: group, Data: []byte("own")}
			write.KeepFrom = covered.Index + 1
			write.HardState.Commit = covered.Index
			return write
		}
	}
	from := rapid.Uint64Range(max(snapshotIndex(s), s.HardState.Commit)+1, last+1).Draw(t, "from")
	write.HardState.Commit = s.HardState.Commit
	write.Entries = entries(from, from+rapid.Uint64Range(0, 4).Draw(t, "more"), term)
	return write
}

// stateAfter returns the expected stored state after write w to state s.
func stateAfter(s *consensus.StoredState, w *consensus.Write) *consensus.StoredState {
	next := &consensus.StoredState{HardState: w.HardState, Snapshot: s.Snapshot}
	if w.Snapshot != nil {
		next.Snapshot = w.Snapshot
	}
	for _, entry := range s.Entries {
		replaced := len(w.Entries) > 0 && entry.Index >= w.Entries[0].Index
		if !w.Reset && !replaced && entry.Index > snapshotIndex(next) {
			next.Entries = append(next.Entries, entry)
		}
	}
	next.Entries = append(next.Entries, w.Entries...)
	return next
}

// isSameState compares what a member starts with: the hard state, the index of
// the snapshot, and the entries after the snapshot.
func isSameState(a, b *consensus.StoredState) bool {
	after := func(s *consensus.StoredState) []consensus.Entry {
		var list []consensus.Entry
		for _, entry := range s.Entries {
			if entry.Index > snapshotIndex(s) {
				list = append(list, entry)
			}
		}
		return list
	}
	x, y := after(a), after(b)
	if a.HardState != b.HardState || snapshotIndex(a) != snapshotIndex(b) || len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Index != y[i].Index || x[i].Term != y[i].Term || string(x[i].Data) != string(y[i].Data) {
			return false
		}
	}
	return true
}
