package hub

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
)

// minSuspension is the time between two ticks from which on a process counts as having been suspended: four ticks.
const minSuspension = 4 * tickInterval

// suspensionClock notices that the process did not run for a while, by the time between two ticks. It is safe for concurrent
// use.
type suspensionClock struct {
	mu sync.Mutex
	// tickedAt is the time of the last tick, wokeAt when the last suspension ended, zero before the first one.
	tickedAt, wokeAt time.Time
	// longWokeAt is when the last suspension of suspendedAfter or longer ended, zero before the first one, and confirmedAt when
	// the last read of the route table that a control VM has answered began, or when the wait for one was given up.
	longWokeAt, confirmedAt time.Time
}

// tick returns the time since the last call, 0 at the first one.
func (c *suspensionClock) tick(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := timeBetween(c.tickedAt, now)
	c.tickedAt = now
	if passed >= minSuspension {
		c.wokeAt = now
	}
	if passed >= suspendedAfter {
		c.longWokeAt = now
	}
	return passed
}

// wasSuspended reports whether a suspension ended after since, or has just ended without a tick yet.
func (c *suspensionClock) wasSuspended(since, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wokeAt.After(since) || timeBetween(c.tickedAt, now) >= minSuspension
}

// timeBetween returns the time from last, zero for none, to now. The steady clock may stand still while a VM is suspended, the
// time of day goes on.
func timeBetween(last, now time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

const (
	// suspendedAfter is the time between two ticks from which on the route table of a control VM is in doubt.
	suspendedAfter = time.Second
	// maxTableDoubt bounds the time for which a control VM that was suspended withholds its route table. If no other control VM
	// answers within it, the VM is cut off, and its table is the best that its entry VMs can get.
	maxTableDoubt = time.Second
)

// tableDoubt tells whether the route table in force may be outdated because this VM was suspended: the others may have
// accepted newer ones meanwhile.
type tableDoubt struct {
	clock suspensionClock
	// since is when the VM woke, zero while the table is not in doubt.
	since time.Time
}

func (d *tableDoubt) isActive() bool { return !d.since.IsZero() }

// checkSuspension withholds the route table from entry VMs once this VM has been suspended, until another control VM has told
// its version or maxTableDoubt has passed. Entry VMs keep the table that they have.
func (c *core) checkSuspension(now time.Time) {
	suspended := c.doubt.clock.tick(now)
	switch {
	case suspended >= suspendedAfter && len(c.peers.peers) > 0 && c.tableConfirmed:
		c.doubt.since = now
		c.tableVersion.Store(0)
		withTable(observe.Log(c.options.Logger, observe.TableDoubted), c.table).Dur("suspended", suspended).
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
	withTable(observe.Log(c.options.Logger, observe.TableTrusted), c.table).Dur("after", now.Sub(c.doubt.since)).Send()
	c.doubt.since = time.Time{}
	c.tableVersion.Store(tableRevision(c.table))
	for s := range c.sessions {
		c.sendTable(s)
	}
}
