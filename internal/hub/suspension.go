package hub

import (
	"time"

	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// suspendedAfter is the time between two ticks from which on a control VM counts as having been suspended.
	suspendedAfter = time.Second
	// maxTableDoubt bounds the time for which a control VM that was suspended withholds its route table. If no other control VM
	// answers within it, the VM is cut off, and its table is the best that its entry VMs can get.
	maxTableDoubt = time.Second
)

// tableDoubt tells whether the route table in force may be outdated because this VM was suspended: the others may have
// accepted newer ones meanwhile.
type tableDoubt struct {
	// tickedAt is when the suspension was last checked.
	tickedAt time.Time
	// since is when the VM woke, zero while the table is not in doubt.
	since time.Time
}

func (d *tableDoubt) isActive() bool { return !d.since.IsZero() }

// tick returns the time since the last call. The steady clock may stand still while a VM is suspended, the time of day goes on.
func (d *tableDoubt) tick(now time.Time) time.Duration {
	last := d.tickedAt
	d.tickedAt = now
	if last.IsZero() {
		return 0
	}
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// checkSuspension withholds the route table from entry VMs once this VM has been suspended, until another control VM has told
// its version or maxTableDoubt has passed. Entry VMs keep the table that they have.
func (c *core) checkSuspension(now time.Time) {
	suspended := c.doubt.tick(now)
	switch {
	case suspended >= suspendedAfter && len(c.peers.peers) > 0 && c.tableConfirmed:
		c.doubt.since = now
		observe.Log(c.options.Logger, observe.TableDoubted).Dur("suspended", suspended).Uint64("version", c.table.GetVersion()).
			Str("leader", c.leader).Uint64("term", c.term).Send()
	case c.doubt.isActive() && now.Sub(c.doubt.since) >= maxTableDoubt:
		c.trustTable(now)
	}
}

// trustTable ends the doubt about the route table in force, and sends it to the entry VMs that don't have it.
func (c *core) trustTable(now time.Time) {
	if !c.doubt.isActive() {
		return
	}
	observe.Log(c.options.Logger, observe.TableTrusted).Uint64("version", c.table.GetVersion()).Dur("after", now.Sub(c.doubt.since)).Send()
	c.doubt.since = time.Time{}
	for s := range c.sessions {
		c.sendTable(s)
	}
}
