package storage

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
)

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// fileNumbers returns the numbers in the names of the files with prefix, in the
// order of names. Numbers in names have a fixed width, so sorted names give
// sorted numbers.
func fileNumbers(names []string, prefix string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		digits, found := strings.CutPrefix(name, prefix)
		if !found {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(digits, "%d", &number); err != nil || name != fmt.Sprintf("%s%020d", prefix, number) {
			return nil, fmt.Errorf("unexpected file %s in the data folder", name)
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// rotate starts a new segment and syncs its header. With reset, the header marks
// all entries of earlier segments as discarded.
func (s *Store) rotate(reset bool) error {
	sequence := uint64(1)
	if len(s.segments) > 0 {
		sequence = s.segments[len(s.segments)-1].sequence + 1
	}
	file, err := s.fs.Create(segmentName(sequence))
	if err != nil {
		return fmt.Errorf("new segment: %w", err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = file
	s.segments = append(s.segments, segment{sequence: sequence})
	s.segmentBytes = 0
	header := &consensuspb.Batch{
		HardState: codec.HardStateToProto(s.hardState),
		Segment:   &consensuspb.Segment{Version: formatVersion, Sequence: sequence, Reset_: reset},
	}
	if err := s.appendBatch(header); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// removeSegmentsBefore removes the oldest segments as long as they hold no entry
// with index keepFrom or higher. The last segment always stays.
func (s *Store) removeSegmentsBefore(keepFrom uint64) error {
	for len(s.segments) > 1 && s.segments[0].maxIndex < keepFrom {
		if err := s.removeFirstSegment(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) removeAllButLastSegment() error {
	for len(s.segments) > 1 {
		if err := s.removeFirstSegment(); err != nil {
			return err
		}
	}
	return nil
}

// removeFirstSegment removes the oldest segment and syncs the folder, so that a
// crash between removals leaves no gap in the sequence numbers.
func (s *Store) removeFirstSegment() error {
	if err := s.fs.Remove(segmentName(s.segments[0].sequence)); err != nil {
		return fmt.Errorf("remove segment: %w", err)
	}
	s.segments = s.segments[1:]
	return s.fs.SyncDir()
}

// saveSnapshot atomically writes a snapshot and then removes the previous one.
func (s *Store) saveSnapshot(snapshot *consensus.Snapshot) error {
	payload, err := proto.Marshal(codec.SnapshotToProto(snapshot))
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return fmt.Errorf("snapshot of %d bytes is too large", len(payload))
	}
	name := snapshotName(snapshot.Index)
	if err := s.writeFileAtomically(name, payload); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	previous := s.snapshotName
	s.snapshotName = name
	if previous == "" || previous == name {
		return nil
	}
	if err := s.fs.Remove(previous); err != nil {
		return fmt.Errorf("remove snapshot: %w", err)
	}
	return nil
}

// writeFileAtomically writes a file of one record. After a crash the file holds
// the whole record, or its previous content if there was any. The file is synced
// before it gets its name.
func (s *Store) writeFileAtomically(name string, payload []byte) error {
	file, err := s.fs.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	_, err = file.Write(encodeRecord(payload))
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}
