package engine

import (
	"errors"
	"fmt"
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
	// Context is the part of the prompt before the segment, whose KV cache
	// other engines hold.
	Context int64
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
	// prefillLeft is what is still to be computed before the first token.
	prefillLeft int64
	cached      int64
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

// Counters are what the engine ran.
type Counters struct {
	// Calls counts the calls for generation that arrived, refused and failed
	// ones included.
	Calls         int64 `json:"calls"`
	Submitted     int64 `json:"submitted"`
	Completed     int64 `json:"completed"`
	Cancelled     int64 `json:"cancelled"`
	Refused       int64 `json:"refused"`
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	// BusyMicros sums the durations of all steps.
	BusyMicros int64 `json:"busy_us"`
	// MemoryTokens is held now, MaxMemoryTokens the most at one time.
	MemoryTokens    int64 `json:"memory_tokens"`
	MaxMemoryTokens int64 `json:"max_memory_tokens"`
	MaxRunning      int64 `json:"max_running"`
	MaxWaiting      int64 `json:"max_waiting"`
	// OverCommits counts attempts that arrived when the memory asked for by
	// attempts running and waiting was above the capacity.
	OverCommits int64 `json:"over_commits"`
	// AfterLeaving counts attempts that arrived after leaving was announced;
	// LastAfterLeavingMillis is how long after it the last one came.
	AfterLeaving           int64 `json:"after_leaving"`
	LastAfterLeavingMillis int64 `json:"last_after_leaving_ms"`
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
	parked   map[string]*sequence
	used     int64
	cache    *prefixCache
	counters Counters
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
	if remote != job.Context {
		return errContext
	}
	return nil
}

// asked sums the memory held and waited for.
func (c *Core) asked() int64 {
	sum := c.used
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
	step.Duration = c.speed.StepBase +
		time.Duration(prefilled)*c.speed.PrefillToken +
		time.Duration(decoding)*c.speed.DecodeToken
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
		if c.used-imported+first.job.need() > c.limits.MemoryTokens {
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
		first.prefillLeft = first.job.PromptTokens + first.job.ResumeFrom - done
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
	c.used += tokens
	c.counters.MaxMemoryTokens = max(c.counters.MaxMemoryTokens, c.used)
}

// decode emits a token of each attempt that is past prefill and returns their
// number.
func (c *Core) decode(step *Step) int64 {
	var decoded int64
	for _, seq := range c.running {
		if seq.prefillLeft == 0 && seq.next < seq.job.AnswerTokens {
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
		if seq.prefillLeft == 0 {
			continue
		}
		taken := min(budget, seq.prefillLeft)
		seq.prefillLeft -= taken
		budget -= taken
		if seq.prefillLeft == 0 {
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

func (s *sequence) done() bool { return s.prefillLeft == 0 && s.next >= s.job.AnswerTokens }

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
			c.used -= seq.job.need()
		}
		return true
	})
}

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
	if c.used+tokens > c.limits.MemoryTokens {
		c.counters.OverCommits++
		return errNoMemory
	}
	c.hold(tokens)
	c.parked[attempt] = &sequence{job: Job{Attempt: attempt, PromptTokens: tokens}, since: now}
	return nil
}

// Held returns the tokens that an attempt past prefill holds.
func (c *Core) Held(attempt string) (int64, error) {
	seq := c.find(attempt)
	if seq == nil || seq.prefillLeft > 0 {
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
		c.used -= c.running[i].job.need()
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
	c.waiting, c.running, c.used = nil, nil, 0
	clear(c.parked)
	c.limits.MaxWaiting = 0
}

func (c *Core) release(attempt string) {
	if parked := c.parked[attempt]; parked != nil {
		c.used -= parked.job.need()
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

// Load returns the load at this moment.
func (c *Core) Load() backendapi.LoadReport {
	report := backendapi.LoadReport{
		UsedTokens:      c.used,
		RunningRequests: int64(len(c.running)), WaitingRequests: int64(len(c.waiting)),
	}
	for _, seq := range c.running {
		report.PrefillBacklogTokens += seq.prefillLeft
	}
	for _, seq := range c.waiting {
		report.PrefillBacklogTokens += seq.job.PromptTokens
	}
	return report
}

// Attempts lists what holds memory.
func (c *Core) Attempts(now time.Time) []backendapi.HeldAttempt {
	held := []backendapi.HeldAttempt{}
	add := func(seq *sequence) {
		held = append(held, backendapi.HeldAttempt{
			Attempt: seq.job.Attempt, Tokens: seq.job.need(), AgeMillis: now.Sub(seq.since).Milliseconds(),
		})
	}
	for _, seq := range c.running {
		add(seq)
	}
	for _, seq := range c.parked {
		add(seq)
	}
	return held
}

// Counters returns what ran so far.
func (c *Core) Counters() Counters {
	counters := c.counters
	counters.MemoryTokens = c.used
	return counters
}
