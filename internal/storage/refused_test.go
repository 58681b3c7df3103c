package storage_test

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/storage/faultfs"
)

// refusingDisk refuses some calls that change the disk, counted over all files. A refused write leaves half of its bytes.
type refusingDisk struct {
	*faultfs.Disk
	calls, refuseFrom, refuseTo int
}

func (d *refusingDisk) refuses() error {
	d.calls++
	if d.calls >= d.refuseFrom && d.calls < d.refuseTo {
		return syscall.ENOSPC
	}
	return nil
}

func (d *refusingDisk) Append(name string) (storage.File, error) {
	file, err := d.Disk.Append(name)
	return &refusingFile{file, d}, err
}

func (d *refusingDisk) Create(name string) (storage.File, error) {
	if err := d.refuses(); err != nil {
		return nil, err
	}
	file, err := d.Disk.Create(name)
	return &refusingFile{file, d}, err
}

func (d *refusingDisk) Rename(from, to string) error {
	if err := d.refuses(); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

func (d *refusingDisk) Remove(name string) error {
	if err := d.refuses(); err != nil {
		return err
	}
	return d.Disk.Remove(name)
}

func (d *refusingDisk) SyncDir() error {
	if err := d.refuses(); err != nil {
		return err
	}
	return d.Disk.SyncDir()
}

type refusingFile struct {
	storage.File
	disk *refusingDisk
}

func (f *refusingFile) Write(p []byte) (int, error) {
	if err := f.disk.refuses(); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *refusingFile) Sync() error {
	if err := f.disk.refuses(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *refusingFile) Truncate(size int64) error {
	if err := f.disk.refuses(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// writesOfAMember are appended entries, a vote, a snapshot, a new segment and a snapshot from the leader.
func writesOfAMember() []*consensus.Write {
	state := func(term, commit uint64) consensus.HardState {
		return consensus.HardState{Group: 1, Term: term, Vote: consensus.MemberID(term), Commit: commit}
	}
	return []*consensus.Write{
		{HardState: state(1, 0), Entries: entries(1, 3, 1)},
		{HardState: state(2, 0)},
		{HardState: state(2, 2), Entries: entries(3, 6, 2)},
		{HardState: state(2, 5), Snapshot: &consensus.Snapshot{Index: 4, Term: 2, Membership: group, Data: []byte("four")}, KeepFrom: 3},
		{HardState: state(3, 5), Entries: entries(7, 8, 3)},
		{HardState: state(3, 8), Snapshot: &consensus.Snapshot{Index: 8, Term: 3, Membership: group, Data: []byte("eight")}, KeepFrom: 5},
		{HardState: state(4, 20), Snapshot: &consensus.Snapshot{Index: 20, Term: 4, Membership: group, Data: []byte("twenty")}, Reset: true, Entries: entries(21, 22, 4), KeepFrom: 21},
		{HardState: state(5, 20)},
		{HardState: state(5, 22), Entries: entries(23, 23, 5)},
	}
}

// openUntilItWorks opens the disk as a member does that is restarted after each failure.
func openUntilItWorks(t *testing.T, disk *refusingDisk) (*storage.Store, *storage.LoadedState) {
	t.Helper()
	for range 50 {
		store, loaded, err := storage.Open(disk)
		if err == nil {
			return store, loaded
		}
		require.ErrorIs(t, err, syscall.ENOSPC, "the folder must stay readable")
	}
	require.Fail(t, "the folder can't be opened although the disk has room")
	return nil, nil
}

// Each call that changes the disk is refused in turn, alone and with the calls after it. The member restarts on its disk, reads
// its state, may confirm it to others, and then loses power.
func TestStateThatIsReadAfterARefusedWriteSurvivesAPowerLoss(t *testing.T) {
	for _, refused := range []int{1, 2, 3, 5, 9} {
		for from := 1; ; from++ {
			disk := &refusingDisk{Disk: faultfs.New(), refuseFrom: from, refuseTo: from + refused}
			store, _ := openUntilItWorks(t, disk)
			done := 0
			for _, write := range writesOfAMember() {
				for store.Save(write) != nil {
					require.NoError(t, store.Close())
					var loaded *storage.LoadedState
					store, loaded = openUntilItWorks(t, disk)
					require.NoError(t, store.Close())
					disk.Crash(nil)
					var again *storage.LoadedState
					store, again = openUntilItWorks(t, disk)
					loaded.TornRecord, again.TornRecord = nil, nil
					require.Equal(t, loaded, again, "write %d, call %d of %d refused ones", done, from, refused)
				}
				done++
			}
			require.NoError(t, store.Close())
			disk.Crash(nil)
			_, loaded := openUntilItWorks(t, disk)
			require.Equal(t, writesOfAMember()[len(writesOfAMember())-1].HardState, loaded.Stored.HardState)
			require.Equal(t, uint64(20), loaded.Stored.Snapshot.Index)
			require.Equal(t, fmt.Sprint(append(entries(21, 22, 4), entries(23, 23, 5)...)), fmt.Sprint(loaded.Stored.Entries))
			if disk.calls < from {
				break
			}
		}
	}
}

func TestRecordThatTheJournalReadsAfterAFailedSyncSurvivesAPowerLoss(t *testing.T) {
	disk := faultfs.New()
	read := func() (journal *storage.Journal, records []string) {
		journal, err := storage.OpenJournal(disk)
		require.NoError(t, err)
		require.NoError(t, journal.Replay(func(record []byte) error {
			records = append(records, string(record))
			return nil
		}))
		return journal, records
	}
	journal, _ := read()
	disk.FailSyncs(faultfs.ErrSyncFailed)
	require.Error(t, journal.Append([][]byte{[]byte("a")}))
	require.NoError(t, journal.Close())
	disk.FailSyncs(nil)
	_, before := read()
	disk.Crash(nil)
	_, after := read()
	require.Equal(t, before, after)
}
