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
	temporary      = ".tmp"
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// numbered returns the numbers of the files with prefix, in ascending order of
// names.
func numbered(names []string, prefix string) ([]uint64, error) {
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

// rotate starts a new segment. With reset, the entries of earlier segments no
// longer count.
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

// dropSegments removes the oldest segments that hold no entry from keepFrom
// on. The folder is synced after each one, so that a crash leaves no hole in
// their sequence.
func (s *Store) dropSegments(keepFrom uint64) error {
	for len(s.segments) > 1 && s.segments[0].maxIndex < keepFrom {
		if err := s.dropFirst(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) dropAllButLast() error {
	for len(s.segments) > 1 {
		if err := s.dropFirst(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) dropFirst() error {
	if err := s.fs.Remove(segmentName(s.segments[0].sequence)); err != nil {
		return fmt.Errorf("drop segment: %w", err)
	}
	s.segments = s.segments[1:]
	return s.fs.SyncDir()
}

// saveSnapshot stores a snapshot in one step and removes the one before.
func (s *Store) saveSnapshot(snapshot *consensus.Snapshot) error {
	payload, err := proto.Marshal(codec.SnapshotToProto(snapshot))
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return fmt.Errorf("snapshot of %d bytes is too large", len(payload))
	}
	name := snapshotName(snapshot.Index)
	if err := s.replaceFile(name, payload); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	before := s.snapshotName
	s.snapshotName = name
	if before == "" || before == name {
		return nil
	}
	if err := s.fs.Remove(before); err != nil {
		return fmt.Errorf("drop snapshot: %w", err)
	}
	return nil
}

// replaceFile makes a file of one record appear whole or not at all.
func (s *Store) replaceFile(name string, payload []byte) error {
	file, err := s.fs.Create(name + temporary)
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
	if err := s.fs.Rename(name+temporary, name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}
