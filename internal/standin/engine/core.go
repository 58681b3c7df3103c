package engine

import (
	"errors"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

var (
	errTooLarge        = errors.New("the attempt needs more memory than the engine has")
	errQueueFull       = errors.New("the waiting queue is full")
	errDuplicate       = errors.New("the attempt is known already")
	errNoMemory        = errors.New("the engine has no free memory for this")
	errNotHeld         = errors.New("the attempt holds no memory")
	errContextMismatch = errors.New("the imported KV cache does not cover the prompt before the segment")
)

// Job is the work of one attempt.
type Job struct {
	Attempt  string
	Priority int
	// PromptTokens is the length of the prompt, or of the segment that this engine prefills.
	PromptTokens int64
	// AnswerTokens is the length of the complete answer, 0 for prefill only.
	AnswerTokens int64
	// ResumeFrom is the number of tokens of the answer that another engine has generated.
	// Their KV cache is computed again, as part of the prefill.
	ResumeFrom int64
	// ContextTokens is the length of the prompt before the segment. Other engines hold its
	// KV cache.
	ContextTokens int64
	// Imported names the KV cache imports that this job uses. Their memory is released when
	// the job enters the batch.
	Imported []string
	// Blocks are the hashes of the prefix blocks of the prompt.
	Blocks []uint64
	// Leak makes the job keep its memory after its end, until it is cancelled.
	Leak bool
	// Seed is the seed of the answer.Generator. It identifies the answer in Server.Runs.
	Seed uint64
}

// memoryTokens is the memory that the job holds while it is in the batch, in tokens.
func (j Job) memoryTokens() int64 { return j.PromptTokens + j.AnswerTokens }

// sequence is a job with its progress, or a reservation for imported KV cache.
type sequence struct {
	job Job
	// prefillRemaining is the number of tokens to process before the next token is generated.
	prefillRemaining int64
	cachedTokens     int64
	// remoteTokens is the length of imported KV cache that stays on another engine.
	remoteTokens int64
	// nextToken is the index of the next token of the answer.
	nextToken int64
	addedAt   time.Time
}

// Emission is one token of an answer, or the end of the answer.
type Emission struct {
	Attempt      string
	Index        int64
	End          bool
	PromptTokens int64
	CachedTokens int64
}

// Step is the result of one iteration of the batching loop.
type Step struct {
	// Duration is the simulated duration. It is 0 when the batch is empty.
	Duration time.Duration
	// Emissions are sent when the step has ended.
	Emissions []Emission
}

// Core is the state of an engine's queue, batch and memory. It neither waits nor reads the
// clock. It is not safe for concurrent use.
//
// usedTokens is always the sum of Job.memoryTokens over running and parked; waiting attempts
// hold no memory. admit and Reserve keep it within Limits.MemoryTokens, provided that a job
// names each import once.
type Core struct {
	limits Limits
	speed  Speed
	// waiting and running are ordered by descending priority, then by arrival.
	waiting []*sequence
	running []*sequence
	// parked are the attempts and imports that hold memory outside the batch, by name:
	// prefilled segments, imported KV cache and leaked attempts. A remote import is parked
	// without memory.
	parked     map[string]*sequence
	usedTokens int64
	cache      *prefixCache
	counters   Counters
	// runs counts the attempts that entered the batch, by Job.Seed.
	runs map[uint64]int64
}

// NewCore returns an idle core.
func NewCore(limits Limits, speed Speed) *Core {
	return &Core{
		limits: limits, speed: speed, parked: map[string]*sequence{},
		cache: newPrefixCache(limits.CacheBlocks), runs: map[uint64]int64{},
	}
}

// Submit queues a job. It returns an error, and nothing of the job runs, if the job exceeds
// the engine's memory, the queue is full, the attempt is known already, or the imports do not
// cover the prompt before the segment.
func (c *Core) Submit(job Job, now time.Time) error {
	if err := c.check(job); err != nil {
		c.counters.Refused++
		return err
	}
	c.counters.Submitted++
	if c.demandedTokens()+job.memoryTokens() > c.limits.MemoryTokens {
		c.counters.OverCommits++
	}
	added := &sequence{job: job, nextToken: job.ResumeFrom, addedAt: now}
	c.waiting = insertByPriority(c.waiting, added)
	c.counters.MaxWaiting = max(c.counters.MaxWaiting, int64(len(c.waiting)))
	return nil
}

func (c *Core) check(job Job) error {
	switch {
	case job.memoryTokens() > c.limits.MemoryTokens:
		return errTooLarge
	case len(c.waiting) >= c.limits.MaxWaiting:
		return errQueueFull
	case c.find(job.Attempt) != nil:
		return errDuplicate
	}
	return c.checkImports(job)
}

// checkImports checks that each import of job exists, and that the remote ones have exactly
// the length of the prompt before the segment.
func (c *Core) checkImports(job Job) error {
	var remote int64
	for _, name := range job.Imported {
		parked := c.parked[name]
		if parked == nil {
			return errNotHeld
		}
		remote += parked.remoteTokens
	}
	if remote != job.ContextTokens {
		return errContextMismatch
	}
	return nil
}

// demandedTokens returns the memory that is held plus the memory that the queued attempts need.
func (c *Core) demandedTokens() int64 {
	total := c.usedTokens
	for _, waiting := range c.waiting {
		total += waiting.job.memoryTokens()
	}
	return total
}

// insertByPriority inserts added behind the sequences of the same or a higher priority.
func insertByPriority(queue []*sequence, added *sequence) []*sequence {
	position := len(queue)
	for position > 0 && queue[position-1].job.Priority < added.job.Priority {
		position--
	}
	return slices.Insert(queue, position, added)
}

// Step runs one iteration of the batching loop: it admits queued attempts that fit, decodes
// one token of each attempt whose prefill has ended, and prefills up to one chunk.
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
	c.removeFinished()
	return step
}

// admit moves queued attempts into the batch, in order, until the first that does not fit in
// memory. The memory of the imports of an attempt counts as free for it.
func (c *Core) admit() {
	for len(c.waiting) > 0 && len(c.running) < c.limits.MaxRunning {
		first := c.waiting[0]
		imported := c.importedTokens(first.job)
		if c.usedTokens-imported+first.job.memoryTokens() > c.limits.MemoryTokens {
			return
		}
		c.waiting = c.waiting[1:]
		for _, name := range first.job.Imported {
			c.release(name)
		}
		c.allocate(first.job.memoryTokens())
		hits := c.cache.lookup(first.job.Blocks)
		first.cachedTokens = min(hits*backendapi.BlockTokens, max(first.job.PromptTokens-1, 0))
		done := max(first.cachedTokens, min(imported, first.job.PromptTokens))
		first.prefillRemaining = first.job.PromptTokens + first.job.ResumeFrom - done
		c.counters.CachedTokens += first.cachedTokens
		c.runs[first.job.Seed]++
		c.running = insertByPriority(c.running, first)
	}
	c.counters.MaxRunning = max(c.counters.MaxRunning, int64(len(c.running)))
}

// importedTokens returns the memory, in tokens, that the imports of job hold on this engine.
func (c *Core) importedTokens(job Job) int64 {
	var tokens int64
	for _, name := range job.Imported {
		if parked := c.parked[name]; parked != nil {
			tokens += parked.job.memoryTokens()
		}
	}
	return tokens
}

func (c *Core) allocate(tokens int64) {
	c.usedTokens += tokens
	c.counters.MaxMemoryTokens = max(c.counters.MaxMemoryTokens, c.usedTokens)
}

// decode emits one token of each attempt whose prefill has ended, and returns the number of
// these attempts.
func (c *Core) decode(step *Step) int64 {
	var decoded int64
	for _, seq := range c.running {
		if seq.prefillRemaining == 0 && seq.nextToken < seq.job.AnswerTokens {
			c.emit(seq, step)
			decoded++
		}
	}
	return decoded
}

// prefill processes up to one chunk of prompt tokens, in order of priority, and returns their
// number. The step that ends the prefill of an attempt emits the first token of the attempt.
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

// emit adds the next token of seq to step, and the end of the answer after the last token.
func (c *Core) emit(seq *sequence, step *Step) {
	if seq.nextToken < seq.job.AnswerTokens {
		step.Emissions = append(step.Emissions, Emission{Attempt: seq.job.Attempt, Index: seq.nextToken})
		seq.nextToken++
	}
	if seq.nextToken >= seq.job.AnswerTokens {
		step.Emissions = append(step.Emissions, Emission{
			Attempt: seq.job.Attempt, Index: seq.nextToken, End: true,
			PromptTokens: seq.job.PromptTokens, CachedTokens: seq.cachedTokens,
		})
	}
}

func (s *sequence) isDone() bool { return s.prefillRemaining == 0 && s.nextToken >= s.job.AnswerTokens }

// removeFinished removes attempts that have ended from the batch and frees their memory. Prefill-only
// and leaked attempts are parked and keep their memory.
func (c *Core) removeFinished() {
	c.running = slices.DeleteFunc(c.running, func(seq *sequence) bool {
		if !seq.isDone() {
			return false
		}
		c.counters.Completed++
		if seq.job.Leak || seq.job.AnswerTokens == 0 {
			c.parked[seq.job.Attempt] = seq
		} else {
			c.usedTokens -= seq.job.memoryTokens()
		}
		return true
	})
}
