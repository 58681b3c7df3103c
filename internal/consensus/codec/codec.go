// Package codec converts the types of package consensus that are sent or stored to
// and from their protobuf messages. Encoding to bytes and framing are left to the
// packages that use it.
package codec

import (
	"fmt"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
)

func membershipToProto(membership *consensus.Membership) *consensuspb.Membership {
	if membership == nil {
		return nil
	}
	out := &consensuspb.Membership{}
	for _, member := range membership.Members {
		out.Members = append(out.Members, &consensuspb.Member{
			Id:      uint64(member.ID),
			Name:    member.Name,
			Address: member.Address,
			Learner: member.Learner,
		})
	}
	return out
}

func membershipFromProto(in *consensuspb.Membership) *consensus.Membership {
	if in == nil {
		return nil
	}
	members := make([]consensus.Member, 0, len(in.GetMembers()))
	for _, member := range in.GetMembers() {
		members = append(members, consensus.Member{
			ID:      consensus.MemberID(member.GetId()),
			Name:    member.GetName(),
			Address: member.GetAddress(),
			Learner: member.GetLearner(),
		})
	}
	membership := consensus.NewMembership(members...)
	return &membership
}

// EntriesToProto converts log entries for sending or storing.
func EntriesToProto(entries []consensus.Entry) []*consensuspb.Entry {
	out := make([]*consensuspb.Entry, 0, len(entries))
	for i := range entries {
		out = append(out, &consensuspb.Entry{
			Index:      entries[i].Index,
			Term:       entries[i].Term,
			Kind:       uint32(entries[i].Kind),
			Data:       entries[i].Data,
			Membership: membershipToProto(entries[i].Membership),
		})
	}
	return out
}

// EntriesFromProto is the reverse of EntriesToProto. It returns an error for an
// unknown kind of entry.
func EntriesFromProto(in []*consensuspb.Entry) ([]consensus.Entry, error) {
	if len(in) == 0 {
		return nil, nil
	}
	entries := make([]consensus.Entry, 0, len(in))
	for _, entry := range in {
		if entry.GetKind() > uint32(consensus.EntryMembership) {
			return nil, fmt.Errorf("entry %d has unknown kind %d", entry.GetIndex(), entry.GetKind())
		}
		entries = append(entries, consensus.Entry{
			Index:      entry.GetIndex(),
			Term:       entry.GetTerm(),
			Kind:       consensus.EntryKind(entry.GetKind()),
			Data:       entry.GetData(),
			Membership: membershipFromProto(entry.GetMembership()),
		})
	}
	return entries, nil
}

// HardStateToProto converts a hard state for storing.
func HardStateToProto(state consensus.HardState) *consensuspb.HardState {
	return &consensuspb.HardState{Group: state.Group, Term: state.Term, Vote: uint64(state.Vote), Commit: state.Commit}
}

// HardStateFromProto is the reverse of HardStateToProto.
func HardStateFromProto(in *consensuspb.HardState) consensus.HardState {
	return consensus.HardState{
		Group:  in.GetGroup(),
		Term:   in.GetTerm(),
		Vote:   consensus.MemberID(in.GetVote()),
		Commit: in.GetCommit(),
	}
}

// SnapshotToProto converts a snapshot for storing.
func SnapshotToProto(snapshot *consensus.Snapshot) *consensuspb.Snapshot {
	return &consensuspb.Snapshot{
		Index:      snapshot.Index,
		Term:       snapshot.Term,
		Membership: membershipToProto(&snapshot.Membership),
		Data:       snapshot.Data,
	}
}

// SnapshotFromProto is the reverse of SnapshotToProto. It returns an error if the
// membership or the index is missing.
func SnapshotFromProto(in *consensuspb.Snapshot) (*consensus.Snapshot, error) {
	membership := membershipFromProto(in.GetMembership())
	if membership == nil || in.GetIndex() == 0 {
		return nil, fmt.Errorf("snapshot at entry %d has no members or no index", in.GetIndex())
	}
	return &consensus.Snapshot{Index: in.GetIndex(), Term: in.GetTerm(), Membership: *membership, Data: in.GetData()}, nil
}

// MessageToProto converts a message for sending.
func MessageToProto(m *consensus.Message) *consensuspb.Message {
	return &consensuspb.Message{
		Kind:     uint32(m.Kind),
		Group:    m.Group,
		From:     uint64(m.From),
		To:       uint64(m.To),
		Term:     m.Term,
		Index:    m.Index,
		LogTerm:  m.LogTerm,
		Entries:  EntriesToProto(m.Entries),
		Commit:   m.Commit,
		Reject:   m.Reject,
		Hint:     m.Hint,
		Round:    m.Round,
		Transfer: m.Transfer,
		Removed:  m.Removed,
		Snapshot: chunkToProto(m.Snapshot),
	}
}

// MessageFromProto is the reverse of MessageToProto. Errors wrap
// consensus.ErrMessageRefused. It checks only what the conversion needs;
// consensus.Core.Step validates the message.
func MessageFromProto(in *consensuspb.Message) (consensus.Message, error) {
	if in.GetKind() > uint32(consensus.MessageTimeoutNow) {
		return consensus.Message{}, fmt.Errorf("%w: unknown message kind %d", consensus.ErrMessageRefused, in.GetKind())
	}
	entries, err := EntriesFromProto(in.GetEntries())
	if err != nil {
		return consensus.Message{}, fmt.Errorf("%w: %w", consensus.ErrMessageRefused, err)
	}
	chunk, err := chunkFromProto(in.GetSnapshot())
	if err != nil {
		return consensus.Message{}, err
	}
	return consensus.Message{
		Kind:     consensus.MessageKind(in.GetKind()),
		Group:    in.GetGroup(),
		From:     consensus.MemberID(in.GetFrom()),
		To:       consensus.MemberID(in.GetTo()),
		Term:     in.GetTerm(),
		Index:    in.GetIndex(),
		LogTerm:  in.GetLogTerm(),
		Entries:  entries,
		Commit:   in.GetCommit(),
		Reject:   in.GetReject(),
		Hint:     in.GetHint(),
		Round:    in.GetRound(),
		Transfer: in.GetTransfer(),
		Removed:  in.GetRemoved(),
		Snapshot: chunk,
	}, nil
}

func chunkToProto(chunk *consensus.SnapshotChunk) *consensuspb.SnapshotChunk {
	if chunk == nil {
		return nil
	}
	return &consensuspb.SnapshotChunk{
		Index:      chunk.Index,
		Term:       chunk.Term,
		Membership: membershipToProto(&chunk.Membership),
		Total:      chunk.Total,
		Offset:     chunk.Offset,
		Data:       chunk.Data,
	}
}

func chunkFromProto(in *consensuspb.SnapshotChunk) (*consensus.SnapshotChunk, error) {
	if in == nil {
		return nil, nil
	}
	membership := membershipFromProto(in.GetMembership())
	if membership == nil {
		return nil, fmt.Errorf("%w: snapshot chunk has no membership", consensus.ErrMessageRefused)
	}
	return &consensus.SnapshotChunk{
		Index:      in.GetIndex(),
		Term:       in.GetTerm(),
		Membership: *membership,
		Total:      in.GetTotal(),
		Offset:     in.GetOffset(),
		Data:       in.GetData(),
	}, nil
}
