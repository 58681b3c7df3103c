package consensus

import "time"

// clock turns the times given to the core into two scales. Lease ends are
// compared with now itself, where a jump ahead ends the lease. Promises run on
// patience, where a jump ahead counts for no more than maxAdvance. Leases are
// shorter by as much, so that one step of a clock within a lease does no harm.
type clock struct {
	now      time.Time
	patience time.Duration
	// maxAdvance bounds what one call adds to patience.
	maxAdvance time.Duration
}

// advance takes the time of a call and tells whether the clock went back.
func (c *clock) advance(now time.Time) (wentBack bool) {
	elapsed := now.Sub(c.now)
	c.now = now
	if elapsed < 0 {
		return true
	}
	c.patience += min(elapsed, c.maxAdvance)
	return false
}
