package capacity

import "time"

// leaseState tells whether a holder still stands behind a lease.
type leaseState int

const (
	leaseActive leaseState = iota + 1
	// leaseExpired is not renewed; its holder may still come back.
	leaseExpired
	// leaseOrphan is being cancelled on the engine until that is confirmed.
	leaseOrphan
)

// lease is memory granted to one attempt.
type lease struct {
	request    Request
	state      leaseState
	prefilling bool
	granted    time.Time
	// expires is when an active lease expires; since is when it left the
	// active state.
	expires    time.Time
	since      time.Time
	cancelSent time.Time
}

// Core keeps the leases of one engine. It is a pure state machine and not
// safe for concurrent use.
type Core struct {
	config Config
	memory int64
	limit  int64

	leases  map[string]*lease
	queue   queue
	foreign map[string]HeldAttempt
	// freed holds when attempts gave back their memory, to tell them from
	// attempts without a lease in a list that was asked for earlier.
	freed map[string]time.Time
	// cancels holds when attempts without a lease were last cancelled.
	cancels map[string]time.Time

	long, short, foreignTokens, longPrefill, prefill int64
	orphans                                          int
	// hold is the running average of the time that leases are held.
	hold      time.Duration
	decisions []Decision
}

// NewCore returns the core for an engine with memory tokens. It grants nothing
// before SetLimit.
func NewCore(memory int64, config Config) *Core {
	return &Core{
		config:  config,
		memory:  memory,
		leases:  map[string]*lease{},
		foreign: map[string]HeldAttempt{},
		freed:   map[string]time.Time{},
		cancels: map[string]time.Time{},
	}
}

// SetLimit sets the memory that this scheduler may grant, at most what the
// engine has. What was granted before stays granted.
func (c *Core) SetLimit(limit int64, now time.Time) {
	c.limit = min(limit, c.memory)
	c.schedule(now)
}

// SetConfig replaces the configuration.
func (c *Core) SetConfig(config Config, now time.Time) {
	c.config = config
	c.schedule(now)
}

// Acquire decides on a request or queues it. The decision comes from TakeDecisions. A
// repeated request for a held lease is granted again.
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
	if _, released := c.freed[request.Attempt]; released {
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

// makeRoom drops the last of a full queue if request goes before it.
func (c *Core) makeRoom(request Request) bool {
	last := c.queue.last()
	if !takesPrecedence(request, last) {
		return false
	}
	c.queue.remove(last.Attempt)
	c.decide(last.Attempt, RefusedQueueFull)
	return true
}

// IsQueued reports whether a request waits in the queue.
func (c *Core) IsQueued(attempt string) bool { return c.queue.find(attempt) >= 0 }

// Withdraw takes a request out of the queue without a decision.
func (c *Core) Withdraw(attempt string) { c.queue.remove(attempt) }

// RefuseAll refuses all waiting requests.
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

// Renew extends the lease of an attempt and reports whether its holder has
// one. An attempt that the engine holds without a lease becomes the holder's:
// so leases pass from one scheduler to the next. The renewal carries the same
// request that the lease was granted for.
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
	c.setPrefill(held, request.PrefillTokens, prefilling)
	if !prefilling {
		c.schedule(now)
	}
	return true
}

// setPrefill follows the prefill of a lease. A segment of a group begins its
// prefill long after it was granted.
func (c *Core) setPrefill(held *lease, tokens int64, prefilling bool) {
	if prefilling && held.prefilling && held.request.PrefillTokens == tokens {
		return
	}
	c.endPrefill(held)
	if prefilling {
		held.request.PrefillTokens = tokens
		c.beginPrefill(held)
	}
}

func (c *Core) adopt(request Request, prefilling bool, now time.Time) bool {
	if _, found := c.foreign[request.Attempt]; !found {
		return false
	}
	if _, cancelled := c.cancels[request.Attempt]; cancelled {
		return false
	}
	c.dropForeign(request.Attempt)
	c.insert(request, prefilling, now)
	return true
}

// RecordFirstToken ends the prefill of an attempt.
func (c *Core) RecordFirstToken(attempt string, now time.Time) {
	if held, found := c.leases[attempt]; found {
		c.endPrefill(held)
		c.schedule(now)
	}
}

// Release ends an attempt. With held, the engine has not confirmed that it
// freed the memory: the memory stays counted and the attempt is cancelled
// until that is confirmed. A release of an unknown attempt is remembered, so
// that a request which it has overtaken is refused.
func (c *Core) Release(attempt string, held bool, now time.Time) {
	c.queue.remove(attempt)
	granted, found := c.leases[attempt]
	switch {
	case !found:
		c.freed[attempt] = now
		if !held {
			c.dropForeign(attempt)
		}
	case held && granted.state != leaseOrphan:
		c.orphan(granted, now)
	case !held:
		c.free(attempt, now)
	}
	c.schedule(now)
}

// insert adds a lease.
func (c *Core) insert(request Request, prefilling bool, now time.Time) {
	added := &lease{request: request, state: leaseActive, granted: now, expires: now.Add(c.config.LeaseTerm)}
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

// free removes a lease and returns its memory.
func (c *Core) free(attempt string, now time.Time) {
	held := c.leases[attempt]
	c.endPrefill(held)
	c.learnHold(now.Sub(held.granted))
	if held.state == leaseOrphan {
		c.orphans--
	}
	if held.request.Short {
		c.short -= held.request.Tokens
	} else {
		c.long -= held.request.Tokens
	}
	delete(c.leases, attempt)
	c.freed[attempt] = now
}

func (c *Core) orphan(held *lease, now time.Time) {
	c.endPrefill(held)
	held.state = leaseOrphan
	held.since = now
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

// Usage returns how the memory is used.
func (c *Core) Usage() Usage {
	return Usage{
		Memory: c.memory, Limit: c.limit, Long: c.long, Short: c.short, Unleased: c.foreignTokens,
		LongPrefill: c.longPrefill, Prefill: c.prefill, Queued: c.queue.len(), Leases: len(c.leases), Orphans: c.orphans,
	}
}

// holdWeight is the weight of the newest lease in the average, as a divisor.
const holdWeight = 16

func (c *Core) learnHold(held time.Duration) {
	c.hold += (held - c.hold) / holdWeight
}

// leaseTokens is what a lease past its prefill adds to the wait of others, in
// prompt tokens: it shares the engine's steps. It also spreads requests over
// engines that are alike.
const leaseTokens = 16

// EstimateWait estimates how long request would wait for the prefill ahead and for its
// own, and whether it would be granted at once.
func (c *Core) EstimateWait(request Request, tokenTime time.Duration) (wait time.Duration, atOnce bool) {
	work := c.ahead(request) + request.PrefillTokens + leaseTokens*int64(len(c.leases))
	wait = time.Duration(work) * tokenTime
	if c.admitsFirst(request) {
		return wait, true
	}
	for _, ahead := range c.queue.requests {
		wait += time.Duration(ahead.PrefillTokens) * tokenTime
	}
	return wait + c.hold/time.Duration(max(len(c.leases), 1))*time.Duration(c.queue.len()+1), false
}

// longStepTokens is what a long prefill adds to the wait of a short request, in
// prompt tokens: the engine puts short ones first, but shares its steps.
const longStepTokens = 2048

// ahead returns the prefill that the engine does before that of request.
func (c *Core) ahead(request Request) int64 {
	if !request.Short || c.longPrefill == 0 {
		return c.prefill
	}
	return c.prefill - c.longPrefill + longStepTokens
}

// admitsFirst reports whether request would be granted at once: those that
// wait and go before it leave room.
func (c *Core) admitsFirst(request Request) bool {
	if c.queue.len() > 0 && !takesPrecedence(request, c.queue.requests[0]) {
		return false
	}
	return c.admits(request, nil)
}
