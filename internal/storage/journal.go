package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
)

const (
	journalName     = "journal"
	journalLockName = "lock"
)

// Journal is a file of batches of records that are synced before they count. It is not
// safe for concurrent use. After a failed write it takes nothing more.
type Journal struct {
	folder  FS
	lock    io.Closer
	file    File
	records [][]byte
	torn    *TornRecord
	failed  bool
}

// OpenJournal locks the folder and reads its journal. It fails with a
// *CorruptionError where the file is damaged, and with ErrLocked when another
// process uses the folder.
func OpenJournal(folder FS) (*Journal, error) {
	lock, err := folder.Lock(journalLockName)
	if err != nil {
		return nil, fmt.Errorf("lock the journal: %w", err)
	}
	j := &Journal{folder: folder, lock: lock}
	if err := j.load(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return j, nil
}

func (j *Journal) load() error {
	data, err := j.folder.ReadFile(journalName)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read the journal: %w", err)
	}
	offset := 0
	for offset < len(data) {
		payload, next, err := decodeRecord(data, offset)
		if errors.Is(err, errTorn) {
			j.torn = &TornRecord{File: j.folder.Path(journalName), Offset: int64(offset), Bytes: int64(len(data) - offset)}
			break
		}
		if err != nil {
			return &CorruptionError{File: j.folder.Path(journalName), Offset: int64(offset), Cause: err}
		}
		if err := j.splitBatch(payload); err != nil {
			return &CorruptionError{File: j.folder.Path(journalName), Offset: int64(offset), Cause: err}
		}
		offset = next
	}
	return j.openFile(int64(offset))
}

// splitBatch takes the records of one batch.
func (j *Journal) splitBatch(batch []byte) error {
	for len(batch) > 0 {
		length, size := binary.Uvarint(batch)
		if size <= 0 || length > uint64(len(batch)-size) {
			return errDamaged
		}
		end := size + int(length)
		j.records = append(j.records, batch[size:end])
		batch = batch[end:]
	}
	return nil
}

// openFile opens the journal for writing and cuts it to size bytes.
func (j *Journal) openFile(size int64) error {
	file, err := j.folder.Append(journalName)
	if err != nil {
		return fmt.Errorf("open the journal: %w", err)
	}
	j.file = file
	if j.torn != nil {
		if err := file.Truncate(size); err != nil {
			return fmt.Errorf("cut the journal's last record off: %w", err)
		}
		if err := file.Sync(); err != nil {
			return fmt.Errorf("sync the journal: %w", err)
		}
	}
	if err := j.folder.SyncDir(); err != nil {
		return fmt.Errorf("sync the journal's folder: %w", err)
	}
	return nil
}

// Torn tells of an incomplete last record that was cut off, nil for none.
func (j *Journal) Torn() *TornRecord { return j.torn }

// Replay calls apply with each record that was there when the journal was
// opened, in order, and forgets them.
func (j *Journal) Replay(apply func(record []byte) error) error {
	for i, record := range j.records {
		if err := apply(record); err != nil {
			return fmt.Errorf("record %d of %s: %w", i, j.folder.Path(journalName), err)
		}
	}
	j.records = nil
	return nil
}

// Append writes records and returns after they are synced.
func (j *Journal) Append(records [][]byte) error {
	if j.failed {
		return ErrWriteFailed
	}
	if err := writeRecords(j.file, records); err != nil {
		j.failed = true
		return err
	}
	return nil
}

// Rewrite replaces all records in one step and returns after they are synced.
func (j *Journal) Rewrite(records [][]byte) error {
	if j.failed {
		return ErrWriteFailed
	}
	if err := j.replace(records); err != nil {
		j.failed = true
		return fmt.Errorf("rewrite the journal: %w", err)
	}
	return nil
}

func (j *Journal) replace(records [][]byte) error {
	file, err := j.folder.Create(journalName + temporary)
	if err != nil {
		return err
	}
	if err := writeRecords(file, records); err != nil {
		_ = file.Close()
		return err
	}
	_ = j.file.Close()
	j.file = file
	if err := j.folder.Rename(journalName+temporary, journalName); err != nil {
		return err
	}
	return j.folder.SyncDir()
}

// writeRecords writes records as one batch under one checksum, so that a crash
// in the middle of the write loses all of them or none.
func writeRecords(file File, records [][]byte) error {
	var batch []byte
	for _, record := range records {
		batch = binary.AppendUvarint(batch, uint64(len(record)))
		batch = append(batch, record...)
	}
	if _, err := file.Write(encodeRecord(batch)); err != nil {
		return fmt.Errorf("write the journal: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync the journal: %w", err)
	}
	return nil
}

// Close gives the folder back. It saves nothing.
func (j *Journal) Close() error {
	err := j.file.Close()
	if lockErr := j.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}
