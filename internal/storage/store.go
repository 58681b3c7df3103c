// Package storage persists the state of one member of the control group in its
// data folder: the member's identity, the replicated log in segment files, and
// a snapshot. It also has a Journal, a synced file of records for other stores.
// All records carry checksums, and a save returns after its data is synced.
// The package doesn't interpret commands or decide what to keep; consensus does.
package storage

import (
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
)

// ErrWriteFailed is returned, or wrapped, by every write after a failed write or
// sync. The content of the disk is then unknown until it is read at a restart.
var ErrWriteFailed = errors.New("an earlier write to the data folder failed")

const (
	formatVersion = 1
	// defaultSegmentBytes is the default of Store.maxSegmentBytes.
	defaultSegmentBytes = 4 << 20
	lockName            = "lock"
	identityName        = "identity"
)

// TornRecord describes an incomplete last record that was cut off when its file
// was opened. A crash during a write leaves such a record; it was never
// acknowledged.
type TornRecord struct {
	// File is the path of the file.
	File string
	// Offset is the length of the file in bytes after truncation.
	Offset int64
	// Bytes is the number of bytes that were cut off.
	Bytes int64
}

// LoadedState is the state that Open read from a data folder.
type LoadedState struct {
	// Member is the member whose state the folder holds.
	Member consensus.MemberID
	// IsNew is true if the folder was unused and Open created its identity.
	IsNew  bool
	Stored consensus.StoredState
	// TornRecord is nil if no record had to be cut off.
	TornRecord *TornRecord
}

// Store is one open data folder. It is not safe for concurrent use.
type Store struct {
	fs   FS
	lock io.Closer
	// segments lists the segments on disk by sequence number. file is the last of
	// them, open for writing, and segmentBytes its length.
	segments     []segment
	file         File
	segmentBytes int
	// maxSegmentBytes is the length in bytes from which the open segment is
	// followed by a new one.
	maxSegmentBytes int
	hardState       consensus.HardState
	// snapshotName is the file of the stored snapshot, "" if there is none.
	snapshotName string
	// writeErr is returned by Save after a failed write or after Close.
	writeErr error
}

// segment describes one segment file.
type segment struct {
	sequence uint64
	// maxIndex is the highest index of its entries, 0 if it holds none.
	maxIndex uint64
}

// Open locks the folder and reads it. It fails with a *CorruptionError if the
// data is corrupt, and with ErrLocked if another process uses the folder.
func Open(folder FS) (*Store, *LoadedState, error) {
	lock, err := folder.Lock(lockName)
	if err != nil {
		return nil, nil, err
	}
	store := &Store{fs: folder, lock: lock, maxSegmentBytes: defaultSegmentBytes}
	loaded, err := store.load()
	if err != nil {
		_ = store.Close()
		return nil, nil, err
	}
	return store, loaded, nil
}

// Close closes the files and releases the lock of the folder. Later calls of
// Save fail.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.writeErr == nil {
		s.writeErr = fmt.Errorf("%w: the store is closed", ErrWriteFailed)
	}
	return errors.Join(err, s.lock.Close())
}

// Save stores a write and syncs it. After an error, further calls fail with
// ErrWriteFailed.
func (s *Store) Save(write *consensus.Write) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if err := s.save(write); err != nil {
		s.writeErr = fmt.Errorf("%w: %w", ErrWriteFailed, err)
		return err
	}
	return nil
}

// save writes the batch before the snapshot, and removes segments after the
// snapshot that covers them is synced. A crash in between leaves a state that
// load accepts.
func (s *Store) save(write *consensus.Write) error {
	s.hardState = write.HardState
	if write.Reset {
		return s.saveReceivedSnapshot(write)
	}
	if err := s.appendBatch(&consensuspb.Batch{
		HardState: codec.HardStateToProto(write.HardState),
		Entries:   codec.EntriesToProto(write.Entries),
	}); err != nil {
		return err
	}
	if write.Snapshot != nil {
		if err := s.saveSnapshot(write.Snapshot); err != nil {
			return err
		}
		if err := s.rotate(false); err != nil {
			return err
		}
		return s.removeSegmentsBefore(write.KeepFrom)
	}
	if s.segmentBytes >= s.maxSegmentBytes {
		return s.rotate(false)
	}
	return nil
}

// saveReceivedSnapshot replaces the whole log by a snapshot that the leader sent.
// The snapshot is written first: after a crash, load empties a log that ends
// before the snapshot or contradicts it.
func (s *Store) saveReceivedSnapshot(write *consensus.Write) error {
	if err := s.saveSnapshot(write.Snapshot); err != nil {
		return err
	}
	if err := s.rotate(true); err != nil {
		return err
	}
	if err := s.removeAllButLastSegment(); err != nil {
		return err
	}
	if len(write.Entries) == 0 {
		return nil
	}
	return s.appendBatch(&consensuspb.Batch{
		HardState: codec.HardStateToProto(write.HardState),
		Entries:   codec.EntriesToProto(write.Entries),
	})
}

// appendBatch writes one record to the open segment and syncs it.
func (s *Store) appendBatch(batch *consensuspb.Batch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return fmt.Errorf("encode log record: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return fmt.Errorf("log record of %d bytes is too large", len(payload))
	}
	last := &s.segments[len(s.segments)-1]
	record := encodeRecord(payload)
	if _, err := s.file.Write(record); err != nil {
		return fmt.Errorf("write %s: %w", s.fs.Path(segmentName(last.sequence)), err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", s.fs.Path(segmentName(last.sequence)), err)
	}
	s.segmentBytes += len(record)
	for _, entry := range batch.GetEntries() {
		last.maxIndex = max(last.maxIndex, entry.GetIndex())
	}
	return nil
}
