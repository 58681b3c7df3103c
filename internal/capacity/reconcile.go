package capacity

import "time"

// freedMemory is how many terms a released attempt is remembered, so that a
// request or a list that it has overtaken is recognised.
const freedMemory = 4

// Expire moves leases along that were not renewed: they expire after their
// term. They are cancelled after the grace if alive tells that their holder
// is, and after their deadline otherwise. It forgets old releases.
func (c *Core) Expire(alive func(holder string) bool, now time.Time) {
	for _, held := range c.leases {
		if held.state == leaseActive && !now.Before(held.expires) {
			held.state = leaseExpired
			held.since = now
		}
		if held.state == leaseExpired && c.abandoned(held, alive, now) {
			c.orphan(held, now)
		}
	}
	for attempt, at := range c.freed {
		if now.Sub(at) > freedMemory*c.config.LeaseTerm {
			delete(c.freed, attempt)
		}
	}
	c.schedule(now)
}

func (c *Core) abandoned(expired *lease, alive func(holder string) bool, now time.Time) bool {
	if now.Sub(expired.since) < c.config.CancelGrace {
		return false
	}
	return alive(expired.request.Holder) || now.After(expired.request.Deadline)
}

// DueCancels returns the attempts to cancel on the engine now: orphans, and
// attempts without a lease that are older than any admitted request may be.
// Each is returned again after Config.CancelInterval until it is confirmed.
func (c *Core) DueCancels(now time.Time) []string {
	var due []string
	for attempt, held := range c.leases {
		if held.state == leaseOrphan && now.Sub(held.cancelSent) >= c.config.CancelInterval {
			held.cancelSent = now
			due = append(due, attempt)
		}
	}
	for attempt, held := range c.foreign {
		if held.Age <= c.config.MaxAttemptAge || now.Sub(c.cancels[attempt]) < c.config.CancelInterval {
			continue
		}
		c.cancels[attempt] = now
		due = append(due, attempt)
	}
	return due
}

// ConfirmFreed tells that the engine holds no memory for attempts any more. It is
// called with the reply to a cancel order.
func (c *Core) ConfirmFreed(attempts []string, now time.Time) {
	for _, attempt := range attempts {
		if held, found := c.leases[attempt]; found && held.state == leaseOrphan {
			c.free(attempt, now)
		}
		c.dropForeign(attempt)
	}
	c.schedule(now)
}

// ApplyList compares the leases with what the engine holds. AskedAt is when the
// list was asked for. Orphans that the engine does not list are free; what it
// lists without a lease counts as used.
func (c *Core) ApplyList(listed []HeldAttempt, askedAt, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, held := range listed {
		present[held.Attempt] = true
	}
	for attempt, held := range c.leases {
		if held.state == leaseOrphan && !present[attempt] && askedAt.After(held.since) {
			c.free(attempt, now)
		}
	}
	c.replaceForeign(listed, askedAt)
	c.schedule(now)
}

func (c *Core) replaceForeign(listed []HeldAttempt, askedAt time.Time) {
	clear(c.foreign)
	c.foreignTokens = 0
	for _, held := range listed {
		if _, leased := c.leases[held.Attempt]; leased {
			continue
		}
		if at, freed := c.freed[held.Attempt]; freed && !askedAt.After(at) {
			continue
		}
		c.foreign[held.Attempt] = held
		c.foreignTokens += held.Tokens
	}
	for attempt := range c.cancels {
		if _, found := c.foreign[attempt]; !found {
			delete(c.cancels, attempt)
		}
	}
}

func (c *Core) dropForeign(attempt string) {
	if held, found := c.foreign[attempt]; found {
		c.foreignTokens -= held.Tokens
		delete(c.foreign, attempt)
		delete(c.cancels, attempt)
	}
}
