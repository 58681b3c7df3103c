package engine

import (
	"fmt"
	"slices"
	"time"
)

// Reserve holds memory for KV cache to be imported. A remote import leaves the
// KV cache where it is and holds none.
func (c *Core) Reserve(attempt string, tokens int64, remote bool, now time.Time) error {
	if c.find(attempt) != nil {
		return errDuplicate
	}
	if remote {
		c.parked[attempt] = &sequence{job: Job{Attempt: attempt}, remote: tokens, since: now}
		return nil
	}
	if c.usedTokens+tokens > c.limits.MemoryTokens {
		c.counters.OverCommits++
		return errNoMemory
	}
	c.hold(tokens)
	c.parked[attempt] = &sequence{job: Job{Attempt: attempt, PromptTokens: tokens}, since: now}
	return nil
}

// HeldTokens returns the tokens that an attempt past prefill holds.
func (c *Core) HeldTokens(attempt string) (int64, error) {
	seq := c.find(attempt)
	if seq == nil || seq.prefillRemaining > 0 {
		return 0, fmt.Errorf("attempt %s: %w", attempt, errNotHeld)
	}
	return seq.job.PromptTokens + seq.next, nil
}

// Cancel ends an attempt and frees its memory. Unknown attempts are ignored.
func (c *Core) Cancel(attempt string) {
	same := func(seq *sequence) bool { return seq.job.Attempt == attempt }
	if i := slices.IndexFunc(c.waiting, same); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.counters.Cancelled++
	}
	if i := slices.IndexFunc(c.running, same); i >= 0 {
		c.usedTokens -= c.running[i].job.need()
		c.running = slices.Delete(c.running, i, i+1)
		c.counters.Cancelled++
	}
	c.release(attempt)
}

// Abandon ends an attempt whose caller has gone. A leaking one keeps its
// memory.
func (c *Core) Abandon(attempt string) {
	seq := c.find(attempt)
	if seq == nil || c.parked[attempt] != nil {
		return
	}
	leak := seq.job.Leak && slices.Contains(c.running, seq)
	c.Cancel(attempt)
	if leak {
		c.hold(seq.job.need())
		c.parked[attempt] = seq
	}
}

// Drop forgets all attempts, as the death of the engine does. Nothing is
// admitted any more.
func (c *Core) Drop() {
	c.waiting, c.running, c.usedTokens = nil, nil, 0
	clear(c.parked)
	c.limits.MaxWaiting = 0
}

func (c *Core) release(attempt string) {
	if parked := c.parked[attempt]; parked != nil {
		c.usedTokens -= parked.job.need()
		delete(c.parked, attempt)
	}
}

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
