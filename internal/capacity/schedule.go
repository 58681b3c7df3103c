package capacity

import "time"

// schedule refuses queued requests whose latest start has passed and grants those that
// fit, in queue order. After the first long request that does not fit, no other long
// request is granted, and short requests only within the reserve and the memory that
// the first long one leaves. After the first short request that does not fit, nothing
// is granted.
// So neither kind starves the other. A long request that exceeds the limit stays queued
// without blocking others.
func (c *Core) schedule(now time.Time) {
	var blocked *Request
	remaining := c.queue.requests[:0]
	shortBlocked := false
	for _, request := range c.queue.requests {
		switch {
		case !request.LatestStart.After(now):
			c.decide(request.Attempt, RefusedDeadlineUnreachable)
		case !shortBlocked && c.canGrant(request, blocked):
			c.decisions = append(c.decisions, Decision{Attempt: request.Attempt, Kind: Granted, AheadTokens: c.prefillAhead(request)})
			c.insert(request, true, now)
		default:
			remaining = append(remaining, request)
			if request.Short {
				shortBlocked = true
			} else if blocked == nil && request.Tokens <= c.limit {
				blocked = &remaining[len(remaining)-1]
			}
		}
	}
	clear(c.queue.requests[len(remaining):])
	c.queue.requests = remaining
}

// canGrant reports whether request may be granted now. blocked is the first long request
// in the queue that does not fit, or nil. The checks against limit and memory keep the
// invariant that no memory is granted twice: leases stay within the limit of this
// scheduler, and leased and unleased memory together within the engine's memory.
func (c *Core) canGrant(request Request, blocked *Request) bool {
	leased := c.long + c.short
	if leased+request.Tokens > c.limit || leased+c.unleasedTokens+request.Tokens > c.memory {
		return false
	}
	if request.Short {
		return blocked == nil || c.short+request.Tokens <= min(c.shortReserve(), c.limit-blocked.Tokens)
	}
	return blocked == nil && c.canGrantLong(request)
}

func (c *Core) canGrantLong(request Request) bool {
	if c.longPrefill > 0 && c.longPrefill+request.PrefillTokens > c.config.MaxLongPrefillTokens {
		return false
	}
	// A long request that needs a part of the reserve runs as the only long one.
	return c.long == 0 || c.long+request.Tokens <= c.limit-c.shortReserve()
}

// shortReserve returns the memory reserved for short requests, in tokens.
func (c *Core) shortReserve() int64 {
	return int64(float64(c.limit) * c.config.ShortReservePercent / 100)
}
