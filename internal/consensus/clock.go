package consensus

import "time"

// clock keeps two time scales, so that a step of the clock errs on the side
// of safety. Lease ends are compared with now, where a forward step ends
// the lease early. The period in which a follower grants no votes, and election
// deadlines, are measured on monotonic, where one call adds at most maxAdvance:
// a forward step shortens the period by no more than that. Leases are shorter by
// maxAdvance (see leaseDuration), so one clock step within a lease cannot let a
// new leader be elected before the lease ends.
type clock struct {
	now time.Time
	// monotonic is the time since the core was made, without clock steps.
	monotonic time.Duration
	// maxAdvance limits what one call of advance adds to monotonic.
	maxAdvance time.Duration
}

// advance sets now and reports whether the clock went back. A step back adds
// nothing to monotonic.
func (c *clock) advance(now time.Time) (wentBack bool) {
	elapsed := now.Sub(c.now)
	c.now = now
	if elapsed < 0 {
		return true
	}
	c.monotonic += min(elapsed, c.maxAdvance)
	return false
}
