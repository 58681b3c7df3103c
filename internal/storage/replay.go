package storage

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
)

// loadSegments replays all segments and opens the last one for writing.
func (s *Store) loadSegments(names []string, loaded *LoadedState) error {
	sequences, err := fileNumbers(names, segmentPrefix)
	if err != nil {
		return err
	}
	if len(sequences) == 0 {
		return &CorruptionError{File: s.fs.Path(identityName), Cause: errNoLog}
	}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return &CorruptionError{File: s.fs.Path(segmentName(sequence)), Cause: errSegmentGap}
		}
		last := i == len(sequences)-1
		if err := s.loadSegment(sequence, last, loaded); err != nil {
			return err
		}
	}
	return s.openLast(loaded)
}

// loadSegment replays one segment. Only the last segment may end in a torn
// record: the store starts a segment after all writes to the previous segment are
// synced.
func (s *Store) loadSegment(sequence uint64, last bool, loaded *LoadedState) error {
	name := segmentName(sequence)
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return err
	}
	s.segments = append(s.segments, segment{sequence: sequence})
	offset := 0
	for offset < len(data) {
		payload, next, err := decodeRecord(data, offset)
		if last && errors.Is(err, errTorn) {
			loaded.TornRecord = &TornRecord{File: s.fs.Path(name), Offset: int64(offset), Bytes: int64(len(data) - offset)}
			break
		}
		if err == nil {
			err = s.replay(payload, offset == 0, loaded)
		}
		if err != nil {
			return &CorruptionError{File: s.fs.Path(name), Offset: int64(offset), Cause: err}
		}
		offset = next
	}
	if offset == 0 && !last {
		return &CorruptionError{File: s.fs.Path(name), Cause: errTorn}
	}
	s.segmentBytes = offset
	return nil
}

// replay applies one record of a segment to loaded. The first record of a
// segment is its header.
func (s *Store) replay(payload []byte, first bool, loaded *LoadedState) error {
	var batch consensuspb.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return err
	}
	current := &s.segments[len(s.segments)-1]
	header := batch.GetSegment()
	switch {
	case first != (header != nil):
		return errors.New("a segment header must be the first record of a segment, and only the first")
	case header != nil && header.GetVersion() != formatVersion:
		return fmt.Errorf("the segment has format %d, this program reads %d", header.GetVersion(), formatVersion)
	case header != nil && header.GetSequence() != current.sequence:
		return fmt.Errorf("the segment header has another sequence number than the file name: %d", header.GetSequence())
	case header.GetReset_():
		loaded.Stored.Entries = nil
	}
	entries, err := codec.EntriesFromProto(batch.GetEntries())
	if err != nil {
		return err
	}
	loaded.Stored.HardState = codec.HardStateFromProto(batch.GetHardState())
	for _, entry := range entries {
		current.maxIndex = max(current.maxIndex, entry.Index)
		if loaded.Stored.Entries, err = replayEntry(loaded.Stored.Entries, entry); err != nil {
			return err
		}
	}
	return nil
}

// replayEntry adds entry to entries. It replaces the stored entries from its
// index on, as a follower does when a new leader overwrites uncommitted entries.
func replayEntry(entries []consensus.Entry, entry consensus.Entry) ([]consensus.Entry, error) {
	if len(entries) == 0 || entry.Index <= entries[0].Index {
		return append(entries[:0], entry), nil
	}
	first := entries[0].Index
	if entry.Index > first+uint64(len(entries)) {
		return nil, errEntryGap
	}
	return append(entries[:entry.Index-first], entry), nil
}

// openLast opens the last segment for writing, truncates a torn record at its end and
// syncs the rest. Earlier segments were synced before the last one was created. A last segment whose header is torn holds no entries and is overwritten.
// If it is the only segment, the torn header is corruption instead: initialise
// writes the identity after that header is synced, so the header was lost later.
func (s *Store) openLast(loaded *LoadedState) error {
	last := s.segments[len(s.segments)-1].sequence
	if s.segmentBytes == 0 {
		if len(s.segments) == 1 {
			return &CorruptionError{File: s.fs.Path(segmentName(last)), Cause: errTorn}
		}
		s.segments = s.segments[:len(s.segments)-1]
		s.hardState = loaded.Stored.HardState
		return s.rotate(false)
	}
	file, err := s.fs.Append(segmentName(last))
	if err != nil {
		return err
	}
	s.file = file
	if loaded.TornRecord != nil {
		if err := file.Truncate(loaded.TornRecord.Offset); err != nil {
			return fmt.Errorf("truncate torn record: %w", err)
		}
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", s.fs.Path(segmentName(last)), err)
	}
	return nil
}
