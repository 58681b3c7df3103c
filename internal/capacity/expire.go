package capacity

import "time"

// freedRetentionTerms is the number of lease terms for which the release of an attempt stays
// recorded, to recognise a lease request or an attempt list that arrives after the release.
const freedRetentionTerms = 4

// Expire expires leases that were not renewed within the lease term. An expired lease
// becomes an orphan after the grace period if its holder is alive or the deadline of its
// attempt has passed. Expire also deletes old records of releases.
func (c *Core) Expire(isAlive func(holder string) bool, now time.Time) {
	for _, held := range c.leases {
		if held.state == leaseActive && !now.Before(held.expires) {
			held.state = leaseExpired
			held.inactiveSince = now
		}
		if held.state == leaseExpired && c.isAbandoned(held, isAlive, now) {
			c.markOrphan(held, now)
		}
	}
	for attempt, freedAt := range c.freedAt {
		if now.Sub(freedAt) > freedRetentionTerms*c.config.LeaseTerm {
			delete(c.freedAt, attempt)
		}
	}
	c.schedule(now)
}

// isAbandoned reports whether an expired lease has to become an orphan; see Expire.
func (c *Core) isAbandoned(expired *lease, isAlive func(holder string) bool, now time.Time) bool {
	if now.Sub(expired.inactiveSince) < c.config.CancelGrace {
		return false
	}
	return isAlive(expired.request.Holder) || now.After(expired.request.Deadline)
}

// DueCancels returns the attempts to cancel on the engine now: orphans, and attempts
// without a lease that are older than Config.MaxAttemptAge. Each attempt is returned again
// after Config.CancelInterval until the engine confirms that the memory of the attempt is free.
func (c *Core) DueCancels(now time.Time) []string {
	var due []string
	for attempt, held := range c.leases {
		if held.state == leaseOrphan && now.Sub(held.cancelSentAt) >= c.config.CancelInterval {
			held.cancelSentAt = now
			due = append(due, attempt)
		}
	}
	for attempt, held := range c.unleased {
		if held.Age <= c.config.MaxAttemptAge || now.Sub(c.cancelledAt[attempt]) < c.config.CancelInterval {
			continue
		}
		c.cancelledAt[attempt] = now
		due = append(due, attempt)
	}
	return due
}

// ConfirmFreed records that the engine holds no memory for attempts any more, according to
// its reply to a cancel request. Of the leases, it frees only orphans.
func (c *Core) ConfirmFreed(attempts []string, now time.Time) {
	for _, attempt := range attempts {
		if held, found := c.leases[attempt]; found && held.state == leaseOrphan {
			c.free(attempt, now)
		}
		c.dropUnleased(attempt)
	}
	c.schedule(now)
}

// ApplyList reconciles the leases with the attempts listed by the engine. requestedAt is the
// time at which the list was requested. If a lease became an orphan before that time and its
// attempt is not listed, its memory is free. The memory of listed attempts without a lease
// counts as used.
func (c *Core) ApplyList(listed []HeldAttempt, requestedAt, now time.Time) {
	present := make(map[string]bool, len(listed))
	for _, held := range listed {
		present[held.Attempt] = true
	}
	for attempt, held := range c.leases {
		if held.state == leaseOrphan && !present[attempt] && requestedAt.After(held.inactiveSince) {
			c.free(attempt, now)
		}
	}
	c.replaceUnleased(listed, requestedAt)
	c.schedule(now)
}

// replaceUnleased replaces the attempts without a lease by those of a list. It skips attempts that
// released their memory after the list was requested.
func (c *Core) replaceUnleased(listed []HeldAttempt, requestedAt time.Time) {
	clear(c.unleased)
	c.unleasedTokens = 0
	for _, held := range listed {
		if _, leased := c.leases[held.Attempt]; leased {
			continue
		}
		if freedAt, freed := c.freedAt[held.Attempt]; freed && !requestedAt.After(freedAt) {
			continue
		}
		c.unleased[held.Attempt] = held
		c.unleasedTokens += held.Tokens
	}
	for attempt := range c.cancelledAt {
		if _, found := c.unleased[attempt]; !found {
			delete(c.cancelledAt, attempt)
		}
	}
}

func (c *Core) dropUnleased(attempt string) {
	if held, found := c.unleased[attempt]; found {
		c.unleasedTokens -= held.Tokens
		delete(c.unleased, attempt)
		delete(c.cancelledAt, attempt)
	}
}
