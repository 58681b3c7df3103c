package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// openJournal opens the journal in folder and returns it with its records.
func openJournal(t *testing.T, folder string) (*Journal, []string, error) {
	t.Helper()
	files, err := OpenDir(folder)
	require.NoError(t, err)
	journal, err := OpenJournal(files)
	if err != nil {
		return nil, nil, err
	}
	var records []string
	require.NoError(t, journal.Replay(func(record []byte) error {
		records = append(records, string(record))
		return nil
	}))
	return journal, records, nil
}

func TestJournalKeepsRecordsAndRewrites(t *testing.T) {
	folder := t.TempDir()
	journal, records, err := openJournal(t, folder)
	require.NoError(t, err)
	require.Empty(t, records)
	require.NoError(t, journal.Append([][]byte{[]byte("a"), []byte("b")}))
	require.NoError(t, journal.Append([][]byte{[]byte("c")}))
	require.NoError(t, journal.Rewrite([][]byte{[]byte("abc")}))
	require.NoError(t, journal.Append([][]byte{[]byte("d")}))

	_, _, err = openJournal(t, folder)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, journal.Close())

	journal, records, err = openJournal(t, folder)
	require.NoError(t, err)
	require.Equal(t, []string{"abc", "d"}, records)
	require.NoError(t, journal.Close())
}

// TestJournalOpensAfterATornWrite truncates the file within the last batch, at
// each byte, as a crash may. The complete batch must stay, the torn one must be
// cut off and reported, and the next append must be readable.
func TestJournalOpensAfterATornWrite(t *testing.T) {
	source := t.TempDir()
	journal, _, err := openJournal(t, source)
	require.NoError(t, err)
	require.NoError(t, journal.Append([][]byte{[]byte("first")}))
	first, err := os.Stat(filepath.Join(source, journalName))
	require.NoError(t, err)
	require.NoError(t, journal.Append([][]byte{[]byte("second"), []byte("third")}))
	require.NoError(t, journal.Close())
	data, err := os.ReadFile(filepath.Join(source, journalName))
	require.NoError(t, err)

	for size := int(first.Size()) + 1; size < len(data); size++ {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			folder := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(folder, journalName), data[:size], 0o600))
			journal, records, err := openJournal(t, folder)
			require.NoError(t, err)
			require.Equal(t, []string{"first"}, records)
			require.NotNil(t, journal.TornRecord())
			require.NoError(t, journal.Append([][]byte{[]byte("next")}))
			require.NoError(t, journal.Close())
			journal, records, err = openJournal(t, folder)
			require.NoError(t, err)
			require.Equal(t, []string{"first", "next"}, records)
			require.NoError(t, journal.Close())
		})
	}
}

func TestOpenJournalReportsCorruptionWithFileAndOffset(t *testing.T) {
	folder := t.TempDir()
	journal, _, err := openJournal(t, folder)
	require.NoError(t, err)
	require.NoError(t, journal.Append([][]byte{[]byte("first")}))
	require.NoError(t, journal.Append([][]byte{[]byte("second")}))
	require.NoError(t, journal.Close())
	file := filepath.Join(folder, journalName)
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	data[headerBytes+2] ^= 0xff
	require.NoError(t, os.WriteFile(file, data, 0o600))
	_, _, err = openJournal(t, folder)
	var corruption *CorruptionError
	require.ErrorAs(t, err, &corruption)
	require.Equal(t, file, corruption.File)
	require.Equal(t, int64(0), corruption.Offset)
}
