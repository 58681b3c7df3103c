package engine

import (
	"errors"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

var (
	errTooLarge  = errors.New("the attempt needs more memory than the engine has")
	errQueueFull = errors.New("the waiting queue is full")
	errDuplicate = errors.New("the attempt is known already")
	errNoMemory  = errors.New("the engine has no free memory for this")
	errNotHeld   = errors.New("the attempt holds no memory")
	errContext   = errors.New("the imported KV cache does not cover the prompt before the segment")
)

// Job is one attempt handed to the core.
type Job struct {
	Attempt  string
	Priority int
	// PromptTokens is the prompt, or the segment of it, that this engine holds.
	PromptTokens int64
	// AnswerTokens is the length of the whole answer, 0 for prefill only.
	AnswerTokens int64
	// ResumeFrom is the number of tokens that were generated elsewhere.
	ResumeFrom int64
	// ContextTokens is the part of the prompt before the segment, whose KV cache
	// other engines hold.
	ContextTokens int64
	// Imported names the imports of KV cache that this job takes over.
	Imported []string
	// Blocks are the prefix-cache blocks of the prompt.
	Blocks []uint64
	// Leak keeps the memory after the end.
	Leak bool
	// Seed identifies the prompt in the record of what ran.
	Seed uint64
}

// need is the memory that the job holds, in tokens.
func (j Job) need() int64 { return j.PromptTokens + j.AnswerTokens }

// sequence is a job with its progress.
type sequence struct {
	job Job
	// prefillRemaining is what is still to be computed before the first token.
	prefillRemaining int64
	cached           int64
	// remote is the length of KV cache that stays on another engine.
	remote int64
	// next is the index of the next token.
	next  int64
	since time.Time
}

// Emission is one token, or the end, of an attempt.
type Emission struct {
	Attempt      string
	Index        int64
	End          bool
	PromptTokens int64
	CachedTokens int64
}

// Step is the result of one batch step.
type Step struct {
	// Duration is how long the step takes. It is 0 when nothing is to do.
	Duration time.Duration
	// Emissions leave the engine when the step is over.
	Emissions []Emission
}

// Core is the state of an engine's batch. It is pure: it neither waits nor
// reads the clock. It is not safe for concurrent use.
type Core struct {
	limits Limits
	speed  Speed
	// waiting and running are ordered by priority, then arrival.
	waiting []*sequence
	running []*sequence
	// parked holds memory without running: prefilled segments, imported KV
	// cache and leaks.
	parked     map[string]*sequence
	usedTokens int64
	cache      *prefixCache
	counters   Counters
	// ran counts the attempts that entered the batch, by Job.Seed.
	ran map[uint64]int64
}

// NewCore returns an idle core.
func NewCore(limits Limits, speed Speed) *Core {
	return &Core{
		limits: limits, speed: speed, parked: map[string]*sequence{},
		cache: newPrefixCache(limits.CacheBlocks), ran: map[uint64]int64{},
	}
}

// Submit queues a job. An error means that nothing of it will run.
func (c *Core) Submit(job Job, now time.Time) error {
	if err := c.check(job); err != nil {
		c.counters.Refused++
		return err
	}
	c.counters.Submitted++
	if c.asked()+job.need() > c.limits.MemoryTokens {
		c.counters.OverCommits++
	}
	added := &sequence{job: job, next: job.ResumeFrom, since: now}
	c.waiting = insertByPriority(c.waiting, added)
	c.counters.MaxWaiting = max(c.counters.MaxWaiting, int64(len(c.waiting)))
	return nil
}

func (c *Core) check(job Job) error {
	switch {
	case job.need() > c.limits.MemoryTokens:
		return errTooLarge
	case len(c.waiting) >= c.limits.MaxWaiting:
		return errQueueFull
	case c.find(job.Attempt) != nil:
		return errDuplicate
	}
	return c.checkImports(job)
}

func (c *Core) checkImports(job Job) error {
	var remote int64
	for _, name := range job.Imported {
		parked := c.parked[name]
		if parked == nil {
			return errNotHeld
		}
		remote += parked.remote
	}
	if remote != job.ContextTokens {
		return errContext
	}
	return nil
}

// asked sums the memory held and waited for.
func (c *Core) asked() int64 {
	sum := c.usedTokens
	for _, waiting := range c.waiting {
		sum += waiting.job.need()
	}
	return sum
}

func insertByPriority(queue []*sequence, added *sequence) []*sequence {
	at := len(queue)
	for at > 0 && queue[at-1].job.Priority < added.job.Priority {
		at--
	}
	return slices.Insert(queue, at, added)
}

// Step runs one batch step: it admits waiting attempts that fit, computes one
// chunk of prefill and one token of each attempt that is past prefill.
func (c *Core) Step() Step {
	c.admit()
	if len(c.running) == 0 {
		return Step{}
	}
	var step Step
	decoding, prefilled := c.decode(&step), c.prefill(&step)
	step.Duration = c.speed.StepTime +
		time.Duration(prefilled)*c.speed.PrefillTimePerToken +
		time.Duration(decoding)*c.speed.DecodeTimePerToken
	c.counters.PrefillTokens += prefilled
	c.counters.DecodeTokens += decoding
	c.counters.BusyMicros += step.Duration.Microseconds()
	c.retire()
	return step
}

// admit moves waiting attempts into the batch, in order, while memory lasts.
func (c *Core) admit() {
	for len(c.waiting) > 0 && len(c.running) < c.limits.MaxRunning {
		first := c.waiting[0]
		imported := c.importedTokens(first.job)
		if c.usedTokens-imported+first.job.need() > c.limits.MemoryTokens {
			return
		}
		c.waiting = c.waiting[1:]
		for _, name := range first.job.Imported {
			c.release(name)
		}
		c.hold(first.job.need())
		hits := c.cache.lookup(first.job.Blocks)
		first.cached = min(hits*backendapi.BlockTokens, max(first.job.PromptTokens-1, 0))
		done := max(first.cached, min(imported, first.job.PromptTokens))
		first.prefillRemaining = first.job.PromptTokens + first.job.ResumeFrom - done
		c.counters.CachedTokens += first.cached
		c.ran[first.job.Seed]++
		c.running = insertByPriority(c.running, first)
	}
	c.counters.MaxRunning = max(c.counters.MaxRunning, int64(len(c.running)))
}

// importedTokens returns the memory that the job's imports hold here.
func (c *Core) importedTokens(job Job) int64 {
	var tokens int64
	for _, name := range job.Imported {
		if parked := c.parked[name]; parked != nil {
			tokens += parked.job.need()
		}
	}
	return tokens
}

func (c *Core) hold(tokens int64) {
	c.usedTokens += tokens
	c.counters.MaxMemoryTokens = max(c.counters.MaxMemoryTokens, c.usedTokens)
}

// decode emits a token of each attempt that is past prefill and returns their
// number.
func (c *Core) decode(step *Step) int64 {
	var decoded int64
	for _, seq := range c.running {
		if seq.prefillRemaining == 0 && seq.next < seq.job.AnswerTokens {
			c.emit(seq, step)
			decoded++
		}
	}
	return decoded
}

// prefill computes up to a chunk of prompt tokens in order of priority and
// returns their number. The step that ends an attempt's prefill emits its
// first token.
func (c *Core) prefill(step *Step) int64 {
	budget := c.speed.ChunkTokens
	for _, seq := range c.running {
		if seq.prefillRemaining == 0 {
			continue
		}
		taken := min(budget, seq.prefillRemaining)
		seq.prefillRemaining -= taken
		budget -= taken
		if seq.prefillRemaining == 0 {
			c.cache.store(seq.job.Blocks)
			c.emit(seq, step)
		}
		if budget == 0 {
			break
		}
	}
	return c.speed.ChunkTokens - budget
}

func (c *Core) emit(seq *sequence, step *Step) {
	if seq.next < seq.job.AnswerTokens {
		step.Emissions = append(step.Emissions, Emission{Attempt: seq.job.Attempt, Index: seq.next})
		seq.next++
	}
	if seq.next >= seq.job.AnswerTokens {
		step.Emissions = append(step.Emissions, Emission{
			Attempt: seq.job.Attempt, Index: seq.next, End: true,
			PromptTokens: seq.job.PromptTokens, CachedTokens: seq.cached,
		})
	}
}

func (s *sequence) done() bool { return s.prefillRemaining == 0 && s.next >= s.job.AnswerTokens }

// retire takes attempts that have ended out of the batch. Prefilled segments
// and leaks keep their memory.
func (c *Core) retire() {
	c.running = slices.DeleteFunc(c.running, func(seq *sequence) bool {
		if !seq.done() {
			return false
		}
		c.counters.Completed++
		if seq.job.Leak || seq.job.AnswerTokens == 0 {
			c.parked[seq.job.Attempt] = seq
		} else {
			c.usedTokens -= seq.job.need()
		}
		return true
	})
}
