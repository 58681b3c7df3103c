package consensus

import "fmt"

// check refuses messages that are not for this member or are malformed.
func (c *Core) check(m *Message) error {
	switch {
	case m.To != c.config.ID || m.From == c.config.ID || m.From == 0:
		return fmt.Errorf("%w: from member %d to member %d", ErrMessageRefused, uint64(m.From), uint64(m.To))
	case m.Kind < MessagePreVote || m.Kind > MessageTimeoutNow:
		return fmt.Errorf("%w: unknown kind %d", ErrMessageRefused, m.Kind)
	case m.Group == 0:
		return fmt.Errorf("%w: it names no group", ErrMessageRefused)
	case c.group != 0 && m.Group != c.group:
		return fmt.Errorf("%w: it is of group %x", ErrMessageRefused, m.Group)
	case c.group == 0 && !fromLeader(m.Kind):
		return fmt.Errorf("%w: this member has no group yet", ErrMessageRefused)
	case m.Term == 0 || m.Term > c.term+maxTermJump:
		return fmt.Errorf("%w: term %d in term %d", ErrMessageRefused, m.Term, c.term)
	case isResponse(m.Kind) && !c.knows(m.From):
		return fmt.Errorf("%w: response of member %d, which is not in the group", ErrMessageRefused, uint64(m.From))
	}
	if err := checkEntries(m); err != nil {
		return err
	}
	return c.checkChunk(m)
}

// maxTermJump bounds how far one message raises the term, so that none can use
// up the range of terms.
const maxTermJump = 1 << 40

func (c *Core) knows(id MemberID) bool {
	_, found := c.membership.Find(id)
	return found
}

func isResponse(kind MessageKind) bool {
	switch kind {
	case MessagePreVoteResponse, MessageVoteResponse, MessageAppendResponse, MessageHeartbeatResponse, MessageSnapshotResponse:
		return true
	}
	return false
}

func fromLeader(kind MessageKind) bool {
	return kind == MessageAppend || kind == MessageHeartbeat || kind == MessageSnapshot
}

func checkEntries(m *Message) error {
	if len(m.Entries) > 0 && m.Kind != MessageAppend {
		return fmt.Errorf("%w: entries in a message of kind %d", ErrMessageRefused, m.Kind)
	}
	index, term := m.Index, m.LogTerm
	for i := range m.Entries {
		entry := &m.Entries[i]
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d after entry %d of term %d in term %d",
				ErrMessageRefused, entry.Index, entry.Term, index, term, m.Term)
		}
		if (entry.Kind == EntryMembership) != (entry.Membership != nil) || entry.Kind > EntryMembership {
			return fmt.Errorf("%w: entry %d has kind %d", ErrMessageRefused, entry.Index, entry.Kind)
		}
		index, term = entry.Index, entry.Term
	}
	return nil
}

func (c *Core) checkChunk(m *Message) error {
	chunk := m.Snapshot
	if (m.Kind == MessageSnapshot) != (chunk != nil) {
		return fmt.Errorf("%w: kind %d and a snapshot do not fit", ErrMessageRefused, m.Kind)
	}
	if chunk == nil {
		return nil
	}
	if chunk.Total > c.config.MaxSnapshotBytes {
		return fmt.Errorf("%w: snapshot of %d bytes, at most %d are taken", ErrMessageRefused, chunk.Total, c.config.MaxSnapshotBytes)
	}
	if chunk.Offset > chunk.Total || uint64(len(chunk.Data)) > chunk.Total-chunk.Offset {
		return fmt.Errorf("%w: snapshot data beyond its end", ErrMessageRefused)
	}
	if chunk.Index == 0 || chunk.Term > m.Term || len(chunk.Membership.Members) == 0 {
		return fmt.Errorf("%w: snapshot of entry %d, term %d", ErrMessageRefused, chunk.Index, chunk.Term)
	}
	return nil
}
