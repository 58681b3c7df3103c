// Package storage keeps the state of one member of the control group in its
// data folder: its identity, the replicated log in segments, and a snapshot.
// All records carry checksums, and nothing counts as saved before it is synced.
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

// ErrWriteFailed is wrapped by every call after a failed write or sync: what is on
// disk is then unknown, and only a restart tells.
var ErrWriteFailed = errors.New("an earlier write to the data folder failed")

const (
	formatVersion = 1
	// defaultSegmentBytes is the size after which a new segment begins.
	defaultSegmentBytes = 4 << 20
	lockName            = "lock"
	identityName        = "identity"
)

// TornRecord tells of an incomplete last record that was cut off. It was never
// acknowledged.
type TornRecord struct {
	File string
	// Offset is where the file was cut, Bytes what was cut off.
	Offset int64
	Bytes  int64
}

// LoadedState is what Open found.
type LoadedState struct {
	// Member is the identity of the folder, made when IsNew is set.
	Member consensus.MemberID
	IsNew  bool
	Stored consensus.StoredState
	// Torn is nil when no record had to be cut off.
	Torn *TornRecord
}

// Store is one open data folder. It is not safe for concurrent use.
type Store struct {
	fs   FS
	lock io.Closer
	// segments are those on disk, the last one is open for writing.
	segments     []segment
	file         File
	segmentBytes int
	// maxSegmentBytes is defaultSegmentBytes but in tests.
	maxSegmentBytes int
	hardState       consensus.HardState
	snapshotName    string
	failed          error
}

// segment describes one segment file.
type segment struct {
	sequence uint64
	// maxIndex is the highest entry in it, 0 when it holds none.
	maxIndex uint64
}

// Open locks the folder and reads it. It fails with a *CorruptionError where the
// data is damaged, and with ErrLocked when another process uses the folder.
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

// Close gives the folder back. It saves nothing.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.failed == nil {
		s.failed = fmt.Errorf("%w: the store is closed", ErrWriteFailed)
	}
	return errors.Join(err, s.lock.Close())
}

// Save stores a write and returns once it is synced. After an error the store
// takes nothing more.
func (s *Store) Save(write *consensus.Write) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.save(write); err != nil {
		s.failed = fmt.Errorf("%w: %w", ErrWriteFailed, err)
		return err
	}
	return nil
}

func (s *Store) save(write *consensus.Write) error {
	s.hardState = write.HardState
	if write.Reset {
		return s.saveReset(write)
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
		return s.dropSegments(write.KeepFrom)
	}
	if s.segmentBytes >= s.maxSegmentBytes {
		return s.rotate(false)
	}
	return nil
}

// saveReset stores a received snapshot in place of the whole log.
func (s *Store) saveReset(write *consensus.Write) error {
	if err := s.saveSnapshot(write.Snapshot); err != nil {
		return err
	}
	if err := s.rotate(true); err != nil {
		return err
	}
	if err := s.dropAllButLast(); err != nil {
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
