package capacity

import "time"

// schedule grants what fits, in the order of the queue. Once a long request
// has to wait, other long ones wait behind it, and short ones may go on only
// within the reserve: so neither kind starves the other.
func (c *Core) schedule(now time.Time) {
	var blocked *Request
	waiting := c.queue.requests[:0]
	full := false
	for _, request := range c.queue.requests {
		switch {
		case !request.LatestStart.After(now):
			c.decide(request.Attempt, RefusedDeadlineUnreachable)
		case !full && c.admits(request, blocked):
			c.decisions = append(c.decisions, Decision{Attempt: request.Attempt, Kind: Granted, AheadTokens: c.ahead(request)})
			c.insert(request, true, now)
		default:
			waiting = append(waiting, request)
			if request.Short {
				full = true
			} else if blocked == nil && request.Tokens <= c.limit {
				blocked = &waiting[len(waiting)-1]
			}
		}
	}
	clear(c.queue.requests[len(waiting):])
	c.queue.requests = waiting
}

// admits reports whether request may be granted now, where blocked is the
// long request that waits before it, or nil.
func (c *Core) admits(request Request, blocked *Request) bool {
	leased := c.long + c.short
	if leased+request.Tokens > c.limit || leased+c.foreignTokens+request.Tokens > c.memory {
		return false
	}
	if request.Short {
		return blocked == nil || c.short+request.Tokens <= min(c.reserve(), c.limit-blocked.Tokens)
	}
	return blocked == nil && c.admitsLong(request)
}

func (c *Core) admitsLong(request Request) bool {
	if c.longPrefill > 0 && c.longPrefill+request.PrefillTokens > c.config.MaxLongPrefillTokens {
		return false
	}
	// A request that needs part of the reserve runs as the only long one.
	return c.long == 0 || c.long+request.Tokens <= c.limit-c.reserve()
}

// reserve is the memory kept for short requests, in tokens.
func (c *Core) reserve() int64 {
	return int64(float64(c.limit) * c.config.ShortReservePercent / 100)
}
