package consensus

import (
	"errors"
	"time"
)

// ErrAlreadyBootstrapped is returned by Bootstrap at a member that has a group or
// log entries.
var ErrAlreadyBootstrapped = errors.New("this member already has a group")

// Bootstrap makes this member a founding member of a new group. All founding
// members must call it with the same group and membership, so that each holds
// the same first entry, which is therefore committed from the start.
func (c *Core) Bootstrap(group uint64, membership Membership, now time.Time) error {
	c.advanceClock(now)
	if c.group != 0 || c.log.lastIndex() != 0 {
		return ErrAlreadyBootstrapped
	}
	c.group = group
	c.term = 1
	c.log.append(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &membership})
	c.log.commit = 1
	c.updateMembership()
	return nil
}
