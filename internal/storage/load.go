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
	errNoIdentity       = errors.New("the folder holds a log but no identity")
	errNoLog            = errors.New("the folder holds an identity but no log")
	errSegmentGap       = errors.New("a segment of the log is missing before this one")
	errEntryGap         = errors.New("entries of the log are missing here")
	errCommittedMissing = errors.New("entries that were committed are missing at the end of the log")
	errNotSingleRecord  = errors.New("the file is not one whole record")
)

// load reads the folder and syncs what it read, since a process that failed or was
// killed may have left data that is readable but not synced. On first use the identity
// is written last, so the member of a folder without an identity has acknowledged
// nothing.
func (s *Store) load() (*LoadedState, error) {
	if err := s.fs.SyncDir(); err != nil {
		return nil, err
	}
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
		if !strings.HasSuffix(name, tempSuffix) {
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
	payload, err := s.readSingleRecord(identityName)
	if err != nil {
		return 0, err
	}
	var identity consensuspb.Identity
	if err := proto.Unmarshal(payload, &identity); err != nil || identity.GetMember() == 0 {
		return 0, &CorruptionError{File: s.fs.Path(identityName), Cause: errNotSingleRecord}
	}
	if identity.GetVersion() != formatVersion {
		return 0, fmt.Errorf("%s has format %d, this program reads %d", s.fs.Path(identityName), identity.GetVersion(), formatVersion)
	}
	return consensus.MemberID(identity.GetMember()), nil
}

// readSingleRecord returns the payload of a file that holds exactly one record.
func (s *Store) readSingleRecord(name string) ([]byte, error) {
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return nil, err
	}
	payload, next, err := decodeRecord(data, 0)
	if err != nil {
		return nil, &CorruptionError{File: s.fs.Path(name), Cause: err}
	}
	if next != len(data) {
		return nil, &CorruptionError{File: s.fs.Path(name), Offset: int64(next), Cause: errNotSingleRecord}
	}
	return payload, nil
}

// initialise sets up an unused folder: it writes the first segment and then the
// identity. It overwrites a first segment without entries, which an interrupted
// earlier call may have left. Any other segment or snapshot is an error, because
// the identity that belongs to it is lost.
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
	if err := s.writeFileAtomically(identityName, payload); err != nil {
		return nil, fmt.Errorf("identity: %w", err)
	}
	return &LoadedState{Member: member, IsNew: true}, nil
}

// isUnusedSegment reports whether a segment holds no record but its header, which
// may be torn. It returns false if the file can't be read.
func (s *Store) isUnusedSegment(name string) bool {
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return false
	}
	_, next, err := decodeRecord(data, 0)
	return errors.Is(err, errTorn) || err == nil && next == len(data)
}

// newMemberID returns a random id. Zero is no member, so it is never returned.
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

// loadSnapshot reads the snapshot with the highest index and removes the others,
// which a crash between writing a snapshot and removing its predecessor leaves.
func (s *Store) loadSnapshot(names []string, loaded *LoadedState) error {
	indexes, err := fileNumbers(names, snapshotPrefix)
	if err != nil || len(indexes) == 0 {
		return err
	}
	s.snapshotName = snapshotName(indexes[len(indexes)-1])
	payload, err := s.readSingleRecord(s.snapshotName)
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
			return fmt.Errorf("remove snapshot: %w", err)
		}
	}
	return nil
}

// finishLoad checks that the log continues the snapshot without a gap and holds
// all committed entries. If a crash interrupted saveReceivedSnapshot after the
// snapshot was written, it completes the call by emptying the log.
func (s *Store) finishLoad(loaded *LoadedState) error {
	stored := &loaded.Stored
	s.hardState = stored.HardState
	var snapshotIndex, snapshotTerm uint64
	if stored.Snapshot != nil {
		snapshotIndex, snapshotTerm = stored.Snapshot.Index, stored.Snapshot.Term
	}
	lastPath := s.fs.Path(segmentName(s.segments[len(s.segments)-1].sequence))
	if entries := stored.Entries; len(entries) > 0 {
		if entries[0].Index > snapshotIndex+1 {
			return &CorruptionError{File: s.fs.Path(segmentName(s.segments[0].sequence)), Cause: errEntryGap}
		}
		if isReplacedBySnapshot(entries, snapshotIndex, snapshotTerm) {
			stored.Entries = nil
			return s.resetLog()
		}
	}
	lastIndex := snapshotIndex
	if len(stored.Entries) > 0 {
		lastIndex = max(lastIndex, stored.Entries[len(stored.Entries)-1].Index)
	}
	if stored.HardState.Commit > lastIndex {
		return &CorruptionError{File: lastPath, Offset: int64(s.segmentBytes), Cause: errCommittedMissing}
	}
	return nil
}

// isReplacedBySnapshot reports whether the entries end before the snapshot, or
// hold another term at its index, so that the snapshot replaces the whole log.
func isReplacedBySnapshot(entries []consensus.Entry, index, term uint64) bool {
	if entries[len(entries)-1].Index < index {
		return true
	}
	if index < entries[0].Index {
		return false
	}
	return entries[index-entries[0].Index].Term != term
}

// resetLog empties the log.
func (s *Store) resetLog() error {
	if err := s.rotate(true); err != nil {
		return err
	}
	return s.removeAllButLastSegment()
}
