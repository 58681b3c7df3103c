package consensus

import (
	"errors"
	"time"
)

// ErrAlreadyBootstrapped refuses to form a group twice.
var ErrAlreadyBootstrapped = errors.New("this member already has a group")

// Bootstrap makes this member a founder of a group. All founders must call it with
// the same arguments: each then holds the same first entry.
func (c *Core) Bootstrap(group uint64, membership Membership, now time.Time) error {
	c.observe(now)
	if c.group != 0 || c.log.last() != 0 {
		return ErrAlreadyBootstrapped
	}
	c.group = group
	c.term = 1
	c.log.append(Entry{Index: 1, Term: 1, Kind: EntryMembership, Membership: &membership})
	c.log.commit = 1
	c.updateMembership()
	return nil
}
