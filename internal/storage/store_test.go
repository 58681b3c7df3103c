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

func entries(from, to, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := from; index <= to; index++ {
		list = append(list, consensus.Entry{Index: index, Term: term, Kind: consensus.EntryCommand, Data: fmt.Appendf(nil, "%d-%d", term, index)})
	}
	return list
}

func appendTo(t *testing.T, store *storage.Store, term, from, to uint64) {
	t.Helper()
	require.NoError(t, store.Save(&consensus.Write{HardState: consensus.HardState{Group: 1, Term: term}, Entries: entries(from, to, term)}))
}

// filled returns a closed disk with entries 1 to 6 in three records.
func filled(t *testing.T) *faultfs.Disk {
	t.Helper()
	disk := faultfs.New()
	store, loaded, err := storage.Open(disk)
	require.NoError(t, err)
	require.True(t, loaded.IsNew)
	for from := uint64(1); from < 7; from += 2 {
		appendTo(t, store, 1, from, from+1)
	}
	require.NoError(t, store.Close())
	return disk
}

func TestTornLastRecordIsCutOffAndReported(t *testing.T) {
	whole := filled(t).Size(firstSegment)
	for _, cut := range []int{1, 5, 13, 20} {
		t.Run(fmt.Sprintf("%d bytes missing", cut), func(t *testing.T) {
			disk := filled(t)
			truncate(t, disk, whole-cut)
			store, loaded, err := storage.Open(disk)
			require.NoError(t, err)
			require.NotNil(t, loaded.Torn)
			require.Len(t, loaded.Stored.Entries, 4)
			appendTo(t, store, 2, 5, 5)
			require.NoError(t, store.Close())
			_, loaded, err = storage.Open(disk)
			require.NoError(t, err)
			require.Nil(t, loaded.Torn)
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

func TestDamageIsRefusedWithFileAndOffset(t *testing.T) {
	size := filled(t).Size(firstSegment)
	for offset := range size {
		disk := filled(t)
		disk.Corrupt(firstSegment, offset)
		_, _, err := storage.Open(disk)
		var damage *storage.CorruptionError
		require.ErrorAs(t, err, &damage, "byte %d", offset)
		require.Equal(t, disk.Path(firstSegment), damage.File)
		require.LessOrEqual(t, damage.Offset, int64(offset))
	}
}

func TestMissingPartsAreRefused(t *testing.T) {
	for _, name := range []string{firstSegment, "identity"} {
		disk := filled(t)
		require.NoError(t, disk.Remove(name))
		_, _, err := storage.Open(disk)
		var damage *storage.CorruptionError
		require.ErrorAs(t, err, &damage, name)
	}
	disk := filled(t)
	store, _, err := storage.Open(disk)
	require.NoError(t, err)
	require.NoError(t, store.Save(&consensus.Write{HardState: consensus.HardState{Commit: 9}}))
	require.NoError(t, store.Close())
	_, _, err = storage.Open(disk)
	require.ErrorContains(t, err, "committed are missing")
}

func TestStoreTakesNothingAfterAFailedWrite(t *testing.T) {
	for name, fail := range map[string]func(*faultfs.Disk){
		"sync":      func(d *faultfs.Disk) { d.FailSyncs(faultfs.ErrSyncFailed) },
		"disk full": func(d *faultfs.Disk) { d.SetFreeBytes(10) },
	} {
		t.Run(name, func(t *testing.T) {
			disk := faultfs.New()
			store, _, err := storage.Open(disk)
			require.NoError(t, err)
			appendTo(t, store, 1, 1, 2)
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

func TestFolderIsUsedByOneProcess(t *testing.T) {
	folder, err := storage.OpenDir(filepath.Join(t.TempDir(), "data"))
	require.NoError(t, err)
	store, first, err := storage.Open(folder)
	require.NoError(t, err)
	_, _, err = storage.Open(folder)
	require.ErrorIs(t, err, storage.ErrLocked)
	appendTo(t, store, 1, 1, 3)
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

// TestCrashesLoseNothingSaved checks, over random writes and crashes, that a
// reopened folder holds what was saved, or that and the write in progress.
func TestCrashesLoseNothingSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := faultfs.New()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		store, loaded, err := storage.Open(disk)
		require.NoError(t, err)
		member := loaded.Member
		saved := &consensus.StoredState{}
		for range rapid.IntRange(1, 25).Draw(t, "writes") {
			write := drawWrite(t, saved)
			allowed := outcomes(saved, write)
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
			found := slices.IndexFunc(allowed, func(s *consensus.StoredState) bool { return sameStored(s, &loaded.Stored) })
			require.GreaterOrEqual(t, found, 0, "allowed %+v, loaded %+v", allowed, loaded.Stored)
			saved = allowed[found]
		}
	})
}

// outcomes returns the states that a failed write may leave: that before it,
// the whole of it, or one of its two parts. Which part comes first depends on
// whether the snapshot replaces the log.
func outcomes(before *consensus.StoredState, write *consensus.Write) []*consensus.StoredState {
	states := []*consensus.StoredState{before, applied(before, write)}
	if write.Reset {
		return append(states, &consensus.StoredState{HardState: before.HardState, Snapshot: write.Snapshot})
	}
	batch := *write
	batch.Snapshot = nil
	return append(states, applied(before, &batch))
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

func start(s *consensus.StoredState) uint64 {
	if s.Snapshot != nil {
		return s.Snapshot.Index
	}
	return 0
}

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
			at := s.Entries[rapid.IntRange(0, len(s.Entries)-1).Draw(t, "at")]
			write.Snapshot = &consensus.Snapshot{Index: at.Index, Term: at.Term, Membership: group, Data: []byte("own")}
			write.KeepFrom = at.Index + 1
			write.HardState.Commit = at.Index
			return write
		}
	}
	from := rapid.Uint64Range(max(start(s), s.HardState.Commit)+1, last+1).Draw(t, "from")
	write.HardState.Commit = s.HardState.Commit
	write.Entries = entries(from, from+rapid.Uint64Range(0, 4).Draw(t, "more"), term)
	return write
}

// applied returns the stored state after a write.
func applied(s *consensus.StoredState, w *consensus.Write) *consensus.StoredState {
	next := &consensus.StoredState{HardState: w.HardState, Snapshot: s.Snapshot}
	if w.Snapshot != nil {
		next.Snapshot = w.Snapshot
	}
	for _, entry := range s.Entries {
		replaced := len(w.Entries) > 0 && entry.Index >= w.Entries[0].Index
		if !w.Reset && !replaced && entry.Index > start(next) {
			next.Entries = append(next.Entries, entry)
		}
	}
	next.Entries = append(next.Entries, w.Entries...)
	return next
}

// sameStored compares what a member starts with: entries after the snapshot.
func sameStored(a, b *consensus.StoredState) bool {
	after := func(s *consensus.StoredState) []consensus.Entry {
		var list []consensus.Entry
		for _, entry := range s.Entries {
			if entry.Index > start(s) {
				list = append(list, entry)
			}
		}
		return list
	}
	x, y := after(a), after(b)
	if a.HardState != b.HardState || start(a) != start(b) || len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i].Index != y[i].Index || x[i].Term != y[i].Term || string(x[i].Data) != string(y[i].Data) {
			return false
		}
	}
	return true
}
