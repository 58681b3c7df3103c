package capacity

import "time"

// leaseState is the state of a lease.
type leaseState int

const (
	leaseActive leaseState = iota + 1
	// leaseExpired was not renewed in time. A renewal makes it active again.
	leaseExpired
	// leaseOrphan is final: the attempt is cancelled on the engine, and the memory
	// counts as used until the engine confirms that it is free.
	leaseOrphan
)

// lease is the engine memory granted to one attempt.
type lease struct {
	request Request
	state   leaseState
	// prefilling tells that the prompt tokens of the request count as in prefill.
	prefilling bool
	grantedAt  time.Time
	// expires is the expiry of an active lease. inactiveSince is the time at
	// which a lease became expired or, later, an orphan. cancelSentAt is the time
	// of the last cancel request for an orphan.
	expires       time.Time
	inactiveSince time.Time
	cancelSentAt  time.Time
}

// Core is the state machine for the leases of one engine. It does no I/O, takes the
// time as a parameter, and is not safe for concurrent use.
type Core struct {
	config Config
	memory int64
	limit  int64

	leases map[string]*lease
	queue  queue
	// unleased holds the attempts without a lease in the last list of the
	// engine.
	unleased map[string]HeldAttempt
	// freedAt holds, by attempt, the times at which attempts released their
	// memory. An attempt list that was requested before that time may still
	// contain the attempt, and a lease request for the attempt may arrive later.
	freedAt map[string]time.Time
	// cancelledAt holds the times of the last cancel requests for attempts
	// without a lease.
	cancelledAt map[string]time.Time

	// Sums in tokens; see the fields of Usage.
	long, short, unleasedTokens, longPrefill, prefill int64
	orphans                                           int
	// meanHoldTime is the exponential moving average of the time from the grant
	// of a lease until its memory is free.
	meanHoldTime time.Duration
	decisions    []Decision
}

// NewCore returns the core for an engine with the given memory in tokens. It grants
// nothing before the first call of SetLimit.
func NewCore(memory int64, config Config) *Core {
	return &Core{
		config:      config,
		memory:      memory,
		leases:      map[string]*lease{},
		unleased:    map[string]HeldAttempt{},
		freedAt:     map[string]time.Time{},
		cancelledAt: map[string]time.Time{},
	}
}

// SetLimit sets the memory that this scheduler may grant, in tokens, capped at the
// engine's memory. Leases granted under a higher limit stay valid.
func (c *Core) SetLimit(limit int64, now time.Time) {
	c.limit = min(limit, c.memory)
	c.schedule(now)
}

// SetConfig replaces the configuration.
func (c *Core) SetConfig(config Config, now time.Time) {
	c.config = config
	c.schedule(now)
}

// Acquire decides on a request or queues it; TakeDecisions returns the decision. A
// repeated request for an active lease renews the lease and is granted again.
func (c *Core) Acquire(request Request, now time.Time) {
	if held, found := c.leases[request.Attempt]; found {
		if held.state == leaseActive {
			held.expires = now.Add(c.config.LeaseTerm)
			c.decide(request.Attempt, Granted)
			return
		}
		c.decide(request.Attempt, RefusedReleased)
		return
	}
	if _, released := c.freedAt[request.Attempt]; released {
		c.decide(request.Attempt, RefusedReleased)
		return
	}
	switch {
	case request.Tokens > c.memory:
		c.decide(request.Attempt, RefusedTooLarge)
	case !request.LatestStart.After(now):
		c.decide(request.Attempt, RefusedDeadlineUnreachable)
	case c.queue.len() >= c.config.MaxQueue && !c.makeRoom(request):
		c.decide(request.Attempt, RefusedQueueFull)
	default:
		c.queue.add(request)
		c.schedule(now)
	}
}

// makeRoom refuses the last request of a full queue if request takes precedence over
// that one, and reports whether there is room now.
func (c *Core) makeRoom(request Request) bool {
	last := c.queue.last()
	if !takesPrecedence(request, last) {
		return false
	}
	c.queue.remove(last.Attempt)
	c.decide(last.Attempt, RefusedQueueFull)
	return true
}

// IsQueued reports whether the request of an attempt is queued.
func (c *Core) IsQueued(attempt string) bool { return c.queue.find(attempt) >= 0 }

// Withdraw removes a request from the queue without a decision.
func (c *Core) Withdraw(attempt string) { c.queue.remove(attempt) }

// RefuseAll refuses all queued requests.
func (c *Core) RefuseAll(kind DecisionKind) {
	for _, request := range c.queue.requests {
		c.decide(request.Attempt, kind)
	}
	c.queue.requests = nil
}

// TakeDecisions returns the decisions since the last call.
func (c *Core) TakeDecisions() []Decision {
	decisions := c.decisions
	c.decisions = nil
	return decisions
}

func (c *Core) decide(attempt string, kind DecisionKind) {
	c.decisions = append(c.decisions, Decision{Attempt: attempt, Kind: kind})
}

// Renew extends the lease of an attempt and reports whether the holder has the lease.
// For an attempt that the engine holds without a lease, and that is not being cancelled,
// it creates one: this is how a new scheduler learns the leases of its predecessor.
// request is the one that the lease was granted for, with the present PrefillTokens.
func (c *Core) Renew(request Request, prefilling bool, now time.Time) bool {
	held, found := c.leases[request.Attempt]
	if !found {
		return c.adopt(request, prefilling, now)
	}
	if held.state == leaseOrphan {
		return false
	}
	held.state = leaseActive
	held.expires = now.Add(c.config.LeaseTerm)
	c.updatePrefill(held, request.PrefillTokens, prefilling)
	if !prefilling {
		c.schedule(now)
	}
	return true
}

// updatePrefill updates the prefill accounting of a lease. A segment of a group starts
// its prefill long after its lease was granted.
func (c *Core) updatePrefill(held *lease, tokens int64, prefilling bool) {
	if prefilling && held.prefilling && held.request.PrefillTokens == tokens {
		return
	}
	c.endPrefill(held)
	if prefilling {
		held.request.PrefillTokens = tokens
		c.beginPrefill(held)
	}
}

// adopt creates a lease for an attempt that the engine holds without a lease; see Renew.
func (c *Core) adopt(request Request, prefilling bool, now time.Time) bool {
	if _, found := c.unleased[request.Attempt]; !found {
		return false
	}
	if _, cancelled := c.cancelledAt[request.Attempt]; cancelled {
		return false
	}
	c.dropUnleased(request.Attempt)
	c.insert(request, prefilling, now)
	return true
}

// RecordFirstToken ends the prefill of an attempt. It has no effect without a lease.
func (c *Core) RecordFirstToken(attempt string, now time.Time) {
	if held, found := c.leases[attempt]; found {
		c.endPrefill(held)
		c.schedule(now)
	}
}

// Release ends an attempt. memoryHeld tells that the engine has not confirmed that the
// memory is free. In that case the memory still counts as used, and cancel requests for
// the attempt are due until the engine confirms that the memory is free. The release of
// an attempt without a lease is recorded, so that a lease request that arrives after the
// release is refused.
func (c *Core) Release(attempt string, memoryHeld bool, now time.Time) {
	c.queue.remove(attempt)
	granted, found := c.leases[attempt]
	switch {
	case !found:
		c.freedAt[attempt] = now
		if !memoryHeld {
			c.dropUnleased(attempt)
		}
	case memoryHeld && granted.state != leaseOrphan:
		c.markOrphan(granted, now)
	case !memoryHeld:
		c.free(attempt, now)
	}
	c.schedule(now)
}

// insert adds an active lease.
func (c *Core) insert(request Request, prefilling bool, now time.Time) {
	added := &lease{request: request, state: leaseActive, grantedAt: now, expires: now.Add(c.config.LeaseTerm)}
	c.leases[request.Attempt] = added
	if request.Short {
		c.short += request.Tokens
	} else {
		c.long += request.Tokens
	}
	if prefilling {
		c.beginPrefill(added)
	}
}

func (c *Core) beginPrefill(held *lease) {
	held.prefilling = true
	c.prefill += held.request.PrefillTokens
	if !held.request.Short {
		c.longPrefill += held.request.PrefillTokens
	}
}

// free removes a lease whose memory the engine no longer holds.
func (c *Core) free(attempt string, now time.Time) {
	held := c.leases[attempt]
	c.endPrefill(held)
	c.recordHoldTime(now.Sub(held.grantedAt))
	if held.state == leaseOrphan {
		c.orphans--
	}
	if held.request.Short {
		c.short -= held.request.Tokens
	} else {
		c.long -= held.request.Tokens
	}
	delete(c.leases, attempt)
	c.freedAt[attempt] = now
}

func (c *Core) markOrphan(held *lease, now time.Time) {
	c.endPrefill(held)
	held.state = leaseOrphan
	held.inactiveSince = now
	c.orphans++
}

func (c *Core) endPrefill(held *lease) {
	if !held.prefilling {
		return
	}
	held.prefilling = false
	c.prefill -= held.request.PrefillTokens
	if !held.request.Short {
		c.longPrefill -= held.request.PrefillTokens
	}
}

// Usage returns the memory usage of the engine.
func (c *Core) Usage() Usage {
	return Usage{
		Memory: c.memory, Limit: c.limit, Long: c.long, Short: c.short, Unleased: c.unleasedTokens,
		LongPrefill: c.longPrefill, Prefill: c.prefill, Queued: c.queue.len(), Leases: len(c.leases), Orphans: c.orphans,
	}
}

// holdTimeDivisor sets the weight of the newest sample in meanHoldTime to 1/16.
const holdTimeDivisor = 16

func (c *Core) recordHoldTime(held time.Duration) {
	c.meanHoldTime += (held - c.meanHoldTime) / holdTimeDivisor
}

// activeLeaseTokens is the estimated cost of each lease for the wait of another
// request, in prompt tokens: an attempt in decode shares the passes of the engine. It
// also balances requests over engines that are otherwise equal.
const activeLeaseTokens = 16

// EstimateWait estimates the time until the prefill of request would end, and whether
// the request would be granted immediately. tokenTime is the prefill time per prompt
// token. For a request that would be queued, the estimate adds the prefill of the
// queued requests and, once for each queued request and for the request itself, the
// mean hold time divided by the number of leases.
func (c *Core) EstimateWait(request Request, tokenTime time.Duration) (wait time.Duration, immediate bool) {
	work := c.prefillAhead(request) + request.PrefillTokens + activeLeaseTokens*int64(len(c.leases))
	wait = time.Duration(work) * tokenTime
	if c.grantsImmediately(request) {
		return wait, true
	}
	for _, queued := range c.queue.requests {
		wait += time.Duration(queued.PrefillTokens) * tokenTime
	}
	return wait + c.meanHoldTime/time.Duration(max(len(c.leases), 1))*time.Duration(c.queue.len()+1), false
}

// longPrefillDelayTokens is the estimated delay of a short request by long requests in
// prefill, in prompt tokens. The engine prefills short prompts first, but a pass may
// also contain a part of a long prompt.
const longPrefillDelayTokens = 2048

// prefillAhead returns the number of prompt tokens that the engine prefills before
// those of request.
func (c *Core) prefillAhead(request Request) int64 {
	if !request.Short || c.longPrefill == 0 {
		return c.prefill
	}
	return c.prefill - c.longPrefill + longPrefillDelayTokens
}

// grantsImmediately reports whether request would be granted without queueing: it takes
// precedence over all queued requests, and the memory is available.
func (c *Core) grantsImmediately(request Request) bool {
	if c.queue.len() > 0 && !takesPrecedence(request, c.queue.requests[0]) {
		return false
	}
	return c.canGrant(request, nil)
}
