package storage_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/storage/faultfs"
)

func writeFile(t testing.TB, disk *faultfs.Disk, name string, data []byte) {
	file, err := disk.Create(name)
	require.NoError(t, err)
	_, err = file.Write(data)
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	require.NoError(t, disk.SyncDir())
}

// checkReopens opens a folder with arbitrary content. Open must not panic, and
// content that it accepts must load the same a second time, without a torn record.
func checkReopens(t *testing.T, disk *faultfs.Disk) {
	store, first, err := storage.Open(disk)
	if err != nil {
		require.False(t, errors.Is(err, storage.ErrLocked))
		return
	}
	require.NoError(t, store.Close())
	store, second, err := storage.Open(disk)
	require.NoError(t, err)
	require.Equal(t, first.Member, second.Member)
	require.Nil(t, second.TornRecord)
	require.Len(t, second.Stored.Entries, len(first.Stored.Entries))
	require.NoError(t, store.Close())
}

func FuzzSegment(f *testing.F) {
	disk := faultfs.New()
	store, _, err := storage.Open(disk)
	require.NoError(f, err)
	require.NoError(f, store.Save(&consensus.Write{HardState: consensus.HardState{Group: 1, Term: 2}, Entries: entries(1, 4, 2)}))
	require.NoError(f, store.Close())
	identity, err := disk.ReadFile("identity")
	require.NoError(f, err)
	whole, err := disk.ReadFile(firstSegment)
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(whole[12 : len(whole)-1])
	f.Add(append(append([]byte(nil), whole...), make([]byte, 600)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		corrupt := faultfs.New()
		writeFile(t, corrupt, "identity", identity)
		writeFile(t, corrupt, firstSegment, data)
		checkReopens(t, corrupt)
		// The same bytes as the payload of a record with valid checksums.
		writeFile(t, corrupt, firstSegment, append(append([]byte(nil), whole...), storage.EncodeRecord(data)...))
		checkReopens(t, corrupt)
	})
}

func FuzzSnapshot(f *testing.F) {
	const name = "snapshot-00000000000000000003"
	disk := faultfs.New()
	store, _, err := storage.Open(disk)
	require.NoError(f, err)
	require.NoError(f, store.Save(&consensus.Write{Entries: entries(1, 4, 2), Snapshot: &consensus.Snapshot{Index: 3, Term: 2, Membership: group}, KeepFrom: 1}))
	require.NoError(f, store.Close())
	whole, err := disk.ReadFile(name)
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:5])
	f.Fuzz(func(t *testing.T, data []byte) {
		corrupt := faultfs.New()
		for _, kept := range []string{"identity", firstSegment, "log-00000000000000000002"} {
			content, err := disk.ReadFile(kept)
			require.NoError(t, err)
			writeFile(t, corrupt, kept, content)
		}
		writeFile(t, corrupt, name, data)
		checkReopens(t, corrupt)
		writeFile(t, corrupt, name, storage.EncodeRecord(data))
		checkReopens(t, corrupt)
	})
}
