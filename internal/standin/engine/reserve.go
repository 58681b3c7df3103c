package engine

import (
	"fmt"
	"slices"
	"time"
)

// Reserve allocates memory for KV cache to be imported under the name attempt. A remote
// import leaves the KV cache on its source and allocates none. Reserve fails if the name is
// in use or too little memory is free.
func (c *Core) Reserve(attempt string, tokens int64, remote bool, now time.Time) error {
	if c.find(attempt) != nil {
		return errDuplicate
	}
	if remote {
		c.parked[attempt] = &sequence{job: Job{Attempt: attempt}, remoteTokens: tokens, addedAt: now}
		return nil
	}
	if c.usedTokens+tokens > c.limits.MemoryTokens {
		c.counters.OverCommits++
		return errNoMemory
	}
	c.allocate(tokens)
	c.parked[attempt] = &sequence{job: Job{Attempt: attempt, PromptTokens: tokens}, addedAt: now}
	return nil
}

// HeldTokens returns the length of the KV cache of an attempt, in tokens. It fails if the
// attempt is unknown or in prefill.
func (c *Core) HeldTokens(attempt string) (int64, error) {
	seq := c.find(attempt)
	if seq == nil || seq.prefillRemaining > 0 {
		return 0, fmt.Errorf("attempt %s: %w", attempt, errNotHeld)
	}
	return seq.job.PromptTokens + seq.nextToken, nil
}

// Cancel ends an attempt or an import and frees its memory. Unknown attempts are ignored.
func (c *Core) Cancel(attempt string) {
	matches := func(seq *sequence) bool { return seq.job.Attempt == attempt }
	if i := slices.IndexFunc(c.waiting, matches); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.counters.Cancelled++
	}
	if i := slices.IndexFunc(c.running, matches); i >= 0 {
		c.usedTokens -= c.running[i].job.memoryTokens()
		c.running = slices.Delete(c.running, i, i+1)
		c.counters.Cancelled++
	}
	c.release(attempt)
}

// Abandon ends an attempt whose caller has disconnected. A parked attempt stays as it is, and
// a running attempt with Job.Leak is parked with its memory.
func (c *Core) Abandon(attempt string) {
	seq := c.find(attempt)
	if seq == nil || c.parked[attempt] != nil {
		return
	}
	leak := seq.job.Leak && slices.Contains(c.running, seq)
	c.Cancel(attempt)
	if leak {
		c.allocate(seq.job.memoryTokens())
		c.parked[attempt] = seq
	}
}

// Drop discards all attempts and frees their memory, as if the engine had crashed. All later
// submits are refused.
func (c *Core) Drop() {
	c.waiting, c.running, c.usedTokens = nil, nil, 0
	clear(c.parked)
	c.limits.MaxWaiting = 0
}

// release removes a parked attempt or import and frees its memory.
func (c *Core) release(attempt string) {
	if parked := c.parked[attempt]; parked != nil {
		c.usedTokens -= parked.job.memoryTokens()
		delete(c.parked, attempt)
	}
}

// find returns the sequence of an attempt or import, or nil if it is unknown.
func (c *Core) find(attempt string) *sequence {
	if parked := c.parked[attempt]; parked != nil {
		return parked
	}
	for _, queue := range [][]*sequence{c.running, c.waiting} {
		for _, seq := range queue {
			if seq.job.Attempt == attempt {
				return seq
			}
		}
	}
	return nil
}
