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

// Journal is an append-only file of batches of records. A batch is stored once
// it is synced. After a failed write all further writes fail with ErrWriteFailed.
// A Journal is not safe for concurrent use.
type Journal struct {
	folder FS
	lock   io.Closer
	file   File
	// records holds the records that the file held at opening, until Replay has
	// applied them all.
	records [][]byte
	torn    *TornRecord
	failed  bool
}

// OpenJournal locks the folder and reads its journal. It fails with a
// *CorruptionError if the file is corrupt, and with ErrLocked if another
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

// splitBatch appends the records of one batch to j.records.
func (j *Journal) splitBatch(batch []byte) error {
	for len(batch) > 0 {
		length, size := binary.Uvarint(batch)
		if size <= 0 || length > uint64(len(batch)-size) {
			return errCorrupt
		}
		end := size + int(length)
		j.records = append(j.records, batch[size:end])
		batch = batch[end:]
	}
	return nil
}

// openFile opens the journal for writing and syncs the batches that were read, which a
// process that failed may have left unsynced. If the file ends in a torn batch, it
// truncates the file to size bytes.
func (j *Journal) openFile(size int64) error {
	file, err := j.folder.Append(journalName)
	if err != nil {
		return fmt.Errorf("open the journal: %w", err)
	}
	j.file = file
	if j.torn != nil {
		if err := file.Truncate(size); err != nil {
			return fmt.Errorf("truncate the journal: %w", err)
		}
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync the journal: %w", err)
	}
	if err := j.folder.SyncDir(); err != nil {
		return fmt.Errorf("sync the journal's folder: %w", err)
	}
	return nil
}

// TornRecord describes the incomplete last batch that opening cut off, nil if there
// was none.
func (j *Journal) TornRecord() *TornRecord { return j.torn }

// Replay calls apply for each record that the journal held when it was opened,
// in order, and then frees these records. It stops at the first error of apply.
func (j *Journal) Replay(apply func(record []byte) error) error {
	for i, record := range j.records {
		if err := apply(record); err != nil {
			return fmt.Errorf("record %d of %s: %w", i, j.folder.Path(journalName), err)
		}
	}
	j.records = nil
	return nil
}

// Append writes records as one batch and syncs them. A crash during the call
// leaves all of the records or none.
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

// Rewrite atomically replaces all records of the journal and syncs the new ones.
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
	file, err := j.folder.Create(journalName + tempSuffix)
	if err != nil {
		return err
	}
	if err := writeRecords(file, records); err != nil {
		_ = file.Close()
		return err
	}
	_ = j.file.Close()
	j.file = file
	if err := j.folder.Rename(journalName+tempSuffix, journalName); err != nil {
		return err
	}
	return j.folder.SyncDir()
}

// writeRecords writes records as one batch under one checksum and syncs it, so
// that a crash during the write leaves all of them or none.
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

// Close closes the file and releases the lock of the folder.
func (j *Journal) Close() error {
	err := j.file.Close()
	if lockErr := j.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}
