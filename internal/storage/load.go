package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
)

var (
	errNoIdentity  = errors.New("the folder holds a log but no identity")
	errNoLog       = errors.New("the folder holds an identity but no log")
	errSegmentGap  = errors.New("a segment of the log is missing before this one")
	errEntryGap    = errors.New("entries of the log are missing here")
	errCommitLost  = errors.New("entries that were committed are missing at the end of the log")
	errNotOneWhole = errors.New("the file is not one whole record")
)

// load reads the folder. The identity is written last on first use, so a
// folder without one has acknowledged nothing.
func (s *Store) load() (*LoadedState, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	slices.Sort(names)
	if names, err = s.removeTemporary(names); err != nil {
		return nil, err
	}
	member, err := s.loadIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		return s.initialise(names)
	}
	if err != nil {
		return nil, err
	}
	loaded := &LoadedState{Member: member}
	if err := s.loadSnapshot(names, loaded); err != nil {
		return nil, err
	}
	if err := s.loadSegments(names, loaded); err != nil {
		return nil, err
	}
	return loaded, s.finishLoad(loaded)
}

func (s *Store) removeTemporary(names []string) ([]string, error) {
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			kept = append(kept, name)
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return nil, fmt.Errorf("data folder: %w", err)
		}
	}
	return kept, nil
}

func (s *Store) loadIdentity() (consensus.MemberID, error) {
	payload, err := s.readWhole(identityName)
	if err != nil {
		return 0, err
	}
	var identity consensuspb.Identity
	if err := proto.Unmarshal(payload, &identity); err != nil || identity.GetMember() == 0 {
		return 0, &CorruptionError{File: s.fs.Path(identityName), Cause: errNotOneWhole}
	}
	if identity.GetVersion() != formatVersion {
		return 0, fmt.Errorf("%s has format %d, this program reads %d", s.fs.Path(identityName), identity.GetVersion(), formatVersion)
	}
	return consensus.MemberID(identity.GetMember()), nil
}

// readWhole returns the payload of a file of one record.
func (s *Store) readWhole(name string) ([]byte, error) {
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return nil, err
	}
	payload, next, err := decodeRecord(data, 0)
	if err != nil {
		return nil, &CorruptionError{File: s.fs.Path(name), Cause: err}
	}
	if next != len(data) {
		return nil, &CorruptionError{File: s.fs.Path(name), Offset: int64(next), Cause: errNotOneWhole}
	}
	return payload, nil
}

// initialise makes the first segment, and then the identity, of an unused
// folder. A first segment may be left from an interrupted attempt.
func (s *Store) initialise(names []string) (*LoadedState, error) {
	for _, name := range names {
		if name == segmentName(1) && s.isUnusedSegment(name) {
			continue
		}
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return nil, &CorruptionError{File: s.fs.Path(name), Cause: errNoIdentity}
		}
	}
	if err := s.rotate(false); err != nil {
		return nil, err
	}
	member, err := newMemberID()
	if err != nil {
		return nil, err
	}
	payload, err := proto.Marshal(&consensuspb.Identity{Version: formatVersion, Member: uint64(member)})
	if err != nil {
		return nil, fmt.Errorf("encode identity: %w", err)
	}
	if err := s.replaceFile(identityName, payload); err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return &LoadedState{Member: member, IsNew: true}, nil
}

func (s *Store) isUnusedSegment(name string) bool {
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return false
	}
	_, next, err := decodeRecord(data, 0)
	return errors.Is(err, errTorn) || err == nil && next == len(data)
}

func newMemberID() (consensus.MemberID, error) {
	var bytes [8]byte
	for {
		if _, err := rand.Read(bytes[:]); err != nil {
			return 0, fmt.Errorf("member id: %w", err)
		}
		if id := binary.LittleEndian.Uint64(bytes[:]); id != 0 {
			return consensus.MemberID(id), nil
		}
	}
}

// loadSnapshot reads the newest snapshot and removes older ones.
func (s *Store) loadSnapshot(names []string, loaded *LoadedState) error {
	indexes, err := numbered(names, snapshotPrefix)
	if err != nil || len(indexes) == 0 {
		return err
	}
	s.snapshotName = snapshotName(indexes[len(indexes)-1])
	payload, err := s.readWhole(s.snapshotName)
	if err != nil {
		return err
	}
	var stored consensuspb.Snapshot
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return &CorruptionError{File: s.fs.Path(s.snapshotName), Cause: err}
	}
	snapshot, err := codec.SnapshotFromProto(&stored)
	if err != nil {
		return &CorruptionError{File: s.fs.Path(s.snapshotName), Cause: err}
	}
	loaded.Stored.Snapshot = snapshot
	for _, index := range indexes[:len(indexes)-1] {
		if err := s.fs.Remove(snapshotName(index)); err != nil {
			return fmt.Errorf("drop snapshot: %w", err)
		}
	}
	return nil
}

// finishLoad checks that the log joins the snapshot, and starts an empty log
// after a snapshot whose arrival a crash interrupted.
func (s *Store) finishLoad(loaded *LoadedState) error {
	stored := &loaded.Stored
	s.hardState = stored.HardState
	var start, startTerm uint64
	if stored.Snapshot != nil {
		start, startTerm = stored.Snapshot.Index, stored.Snapshot.Term
	}
	last := s.fs.Path(segmentName(s.segments[len(s.segments)-1].sequence))
	if entries := stored.Entries; len(entries) > 0 {
		if entries[0].Index > start+1 {
			return &CorruptionError{File: s.fs.Path(segmentName(s.segments[0].sequence)), Cause: errEntryGap}
		}
		if replacedBySnapshot(entries, start, startTerm) {
			stored.Entries = nil
			return s.resetLog()
		}
	}
	end := start
	if len(stored.Entries) > 0 {
		end = max(end, stored.Entries[len(stored.Entries)-1].Index)
	}
	if stored.HardState.Commit > end {
		return &CorruptionError{File: last, Offset: int64(s.segmentBytes), Cause: errCommitLost}
	}
	return nil
}

// replacedBySnapshot tells whether the entries end before the snapshot, or
// contradict it.
func replacedBySnapshot(entries []consensus.Entry, index, term uint64) bool {
	if entries[len(entries)-1].Index < index {
		return true
	}
	if index < entries[0].Index {
		return false
	}
	return entries[index-entries[0].Index].Term != term
}

func (s *Store) resetLog() error {
	if err := s.rotate(true); err != nil {
		return err
	}
	return s.dropAllButLast()
}
