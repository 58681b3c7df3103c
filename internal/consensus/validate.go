package consensus

import "fmt"

// validate returns an error for a message that is malformed or not addressed to
// this member. A member without a group takes its group from the first message
// of a leader.
func (c *Core) validate(m *Message) error {
	switch {
	case m.To != c.config.ID || m.From == c.config.ID || m.From == 0:
		return fmt.Errorf("%w: from member %d to member %d", ErrMessageRefused, uint64(m.From), uint64(m.To))
	case m.Kind < MessagePreVote || m.Kind > MessageTimeoutNow:
		return fmt.Errorf("%w: unknown kind %d", ErrMessageRefused, m.Kind)
	case m.Group == 0:
		return fmt.Errorf("%w: no group", ErrMessageRefused)
	case c.group != 0 && m.Group != c.group:
		return fmt.Errorf("%w: sent in group %x", ErrMessageRefused, m.Group)
	case c.group == 0 && !isLeaderMessage(m.Kind):
		return fmt.Errorf("%w: this member has no group yet", ErrMessageRefused)
	case m.Term == 0 || m.Term > c.term+maxTermJump:
		return fmt.Errorf("%w: term %d while this member is in term %d", ErrMessageRefused, m.Term, c.term)
	case isResponse(m.Kind) && !c.isMember(m.From):
		return fmt.Errorf("%w: response from member %d, which is not in the group", ErrMessageRefused, uint64(m.From))
	}
	if err := validateEntries(m); err != nil {
		return err
	}
	return c.validateChunk(m)
}

// maxTermJump limits by how much one message can raise the term, so that a
// malformed message cannot exhaust the range of terms.
const maxTermJump = 1 << 40

func (c *Core) isMember(id MemberID) bool {
	_, found := c.membership.Find(id)
	return found
}

func isResponse(kind MessageKind) bool {
	switch kind {
	case MessagePreVoteResponse, MessageVoteResponse, MessageAppendResponse, MessageHeartbeatResponse,
		MessageSnapshotResponse:
		return true
	}
	return false
}

func isLeaderMessage(kind MessageKind) bool {
	return kind == MessageAppend || kind == MessageHeartbeat || kind == MessageSnapshot
}

// validateEntries checks that the entries of an append are consecutive, follow
// the entry at m.Index, and have terms that do not decrease.
func validateEntries(m *Message) error {
	if len(m.Entries) > 0 && m.Kind != MessageAppend {
		return fmt.Errorf("%w: entries in a message of kind %d", ErrMessageRefused, m.Kind)
	}
	index, term := m.Index, m.LogTerm
	for i := range m.Entries {
		entry := &m.Entries[i]
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d after entry %d of term %d in a message of term %d",
				ErrMessageRefused, entry.Index, entry.Term, index, term, m.Term)
		}
		if (entry.Kind == EntryMembership) != (entry.Membership != nil) || entry.Kind > EntryMembership {
			return fmt.Errorf("%w: entry %d has kind %d, which is unknown or contradicts its membership field",
				ErrMessageRefused, entry.Index, entry.Kind)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}

func (c *Core) validateChunk(m *Message) error {
	chunk := m.Snapshot
	if (m.Kind == MessageSnapshot) != (chunk != nil) {
		return fmt.Errorf("%w: snapshot chunk missing or unexpected in a message of kind %d", ErrMessageRefused, m.Kind)
	}
	if chunk == nil {
		return nil
	}
	if chunk.Total > c.config.MaxSnapshotBytes {
		return fmt.Errorf("%w: snapshot of %d bytes, limit %d", ErrMessageRefused, chunk.Total, c.config.MaxSnapshotBytes)
	}
	if chunk.Offset > chunk.Total || uint64(len(chunk.Data)) > chunk.Total-chunk.Offset {
		return fmt.Errorf("%w: snapshot chunk extends beyond the end of the snapshot", ErrMessageRefused)
	}
	if chunk.Index == 0 || chunk.Term > m.Term || len(chunk.Membership.Members) == 0 {
		return fmt.Errorf("%w: invalid snapshot metadata: entry %d of term %d, or no members",
			ErrMessageRefused, chunk.Index, chunk.Term)
	}
	return nil
}
