package capacity

import "time"

// ServerDecision is a decision on a lease request, with the ID of the engine that the
// decision is for. Server is empty if no engine was selected.
type ServerDecision struct {
	Server string
	Decision
}

// CancelOrder lists attempts that an engine is to cancel, to free their memory.
type CancelOrder struct {
	Engine   Engine
	Attempts []string
}

// Work is the I/O that the caller of Tick has to do.
type Work struct {
	// Lists holds the engines to request an attempt list from. The answer is
	// passed to State.ApplyList.
	Lists []Engine
	// Cancels holds the cancel requests to send. The attempts that the engine
	// confirms are passed to State.ConfirmFreed.
	Cancels []CancelOrder
}

// Engine is a live engine of the zone.
type Engine struct {
	Server      string
	Incarnation uint64
	// Address is "ip:port".
	Address string
	// Memory is the memory of the engine in tokens.
	Memory int64
	// Group is the name of the group that the engine belongs to. The engines of
	// a group serve the same model and share a scheduler, which selects one of
	// them for each request.
	Group string
}

// State is the scheduler state of one entry VM: the members of its zone and a Core for
// each engine that this VM schedules. It does no I/O, takes the time as a parameter,
// and is not safe for concurrent use.
type State struct {
	self    string
	config  Config
	members *Members
	// engines holds the scheduled engines by server ID, queued the queued requests
	// by attempt.
	engines   map[string]*engineState
	queued    map[string]*queuedRequest
	decisions []ServerDecision
}

// engineState is the state of one scheduled engine.
type engineState struct {
	engine Engine
	core   *Core
	// targetLimit is the memory that this VM may grant by its shares, in
	// tokens. targetSince is the time of the last change of targetLimit.
	targetLimit int64
	targetSince time.Time
	// listRequestedAt is the time of the last list request. listedAt is the time
	// at which the last applied list was requested.
	listRequestedAt time.Time
	listedAt        time.Time
	// grantsFrom is the time before which nothing is granted. Until then a
	// former scheduler may not have noticed that the engine was reassigned.
	grantsFrom time.Time
}

// NewState returns the initial state of VM self. names lists the entry VMs of its zone,
// including self.
func NewState(self string, names []string, config Config) *State {
	return &State{
		self: self, config: config, members: NewMembers(self, names, config.LeaseTerm),
		engines: map[string]*engineState{}, queued: map[string]*queuedRequest{},
	}
}

// Members returns the membership state of the zone.
func (s *State) Members() *Members { return s.members }

// IsAlive reports whether this VM considers a VM of the zone alive.
func (s *State) IsAlive(vm string) bool {
	for _, name := range s.members.live {
		if name == vm {
			return true
		}
	}
	return false
}

// SetConfig replaces the configuration of all engines.
func (s *State) SetConfig(config Config, now time.Time) {
	s.config = config
	for _, engine := range s.engines {
		engine.core.SetConfig(config, now)
	}
}

// Tick updates the members, the scheduled engines, their limits and leases, and returns
// the I/O that is due. It is called periodically.
func (s *State) Tick(live []Engine, now time.Time) Work {
	s.members.Update(now)
	s.syncEngines(live, now)
	var work Work
	for server, engine := range s.engines {
		s.applyShares(server, engine, now)
		engine.core.Expire(s.IsAlive, now)
		if now.Sub(engine.listRequestedAt) >= s.config.LeaseTerm/2 {
			engine.listRequestedAt = now
			work.Lists = append(work.Lists, engine.engine)
		}
		if attempts := engine.core.DueCancels(now); len(attempts) > 0 {
			work.Cancels = append(work.Cancels, CancelOrder{Engine: engine.engine, Attempts: attempts})
		}
		s.collectDecisions(server, engine)
	}
	s.moveQueued(now)
	return work
}

// syncEngines keeps a Core for each live engine that this VM schedules. An engine whose
// incarnation or another field has changed starts with an empty Core.
func (s *State) syncEngines(live []Engine, now time.Time) {
	current := make(map[string]bool, len(live))
	for _, engine := range live {
		if s.members.SchedulerOf(engine.Group) != s.self {
			continue
		}
		current[engine.Server] = true
		if known, found := s.engines[engine.Server]; found && known.engine == engine {
			continue
		}
		s.dropEngine(engine.Server)
		s.engines[engine.Server] = &engineState{
			engine: engine, core: NewCore(engine.Memory, s.config), grantsFrom: now.Add(settleTerms * s.config.LeaseTerm),
		}
	}
	for server := range s.engines {
		if !current[server] {
			s.dropEngine(server)
		}
	}
}

// dropEngine removes an engine and refuses its queued requests. The next scheduler
// learns the leases from the engine's attempt list and the holders' renewals.
func (s *State) dropEngine(server string) {
	if engine, found := s.engines[server]; found {
		engine.core.RefuseAll(RefusedNotScheduler)
		s.collectDecisions(server, engine)
		delete(s.engines, server)
	}
}

// applyShares sets the limit of an engine from the shares of this VM. A lower limit
// applies immediately. A higher limit applies only after an attempt list that was
// requested after the shares changed: otherwise the scheduler could grant memory that
// the engine holds for leases of another scheduler.
func (s *State) applyShares(server string, engine *engineState, now time.Time) {
	held, total := s.members.Shares(engine.engine.Group, now)
	target := engine.engine.Memory * int64(held) / int64(total)
	if now.Before(engine.grantsFrom) {
		target = 0
	}
	if target != engine.targetLimit {
		engine.targetLimit, engine.targetSince = target, now
	}
	if target < engine.core.limit || target > engine.core.limit && engine.listedAt.After(engine.targetSince) {
		engine.core.SetLimit(target, now)
	}
}

// Acquire requests a lease on the best of choices: the one with the earliest expected
// first token, with precedence for preferred ones. TakeDecisions returns the decision,
// immediately or later. Acquire returns the selected engine, or "" with a
// RefusedNotScheduler decision if this VM cannot grant the request on any.
func (s *State) Acquire(request Request, choices []Choice, now time.Time) string {
	selected := s.choose(request, choices, now)
	if selected == nil {
		s.decisions = append(s.decisions, ServerDecision{Decision: Decision{Attempt: request.Attempt, Kind: RefusedNotScheduler}})
		return ""
	}
	engine := s.engines[selected.Server]
	request.PrefillTokens = selected.PrefillTokens
	engine.core.Acquire(request, now)
	s.collectDecisions(selected.Server, engine)
	if engine.core.IsQueued(request.Attempt) {
		s.trackQueued(request, choices, selected.Server, now)
	}
	return selected.Server
}

// choose returns the best of choices, or nil if this VM cannot grant the request on any.
// A preferred choice is used if its wait is at most half of the time until the latest
// start.
func (s *State) choose(request Request, choices []Choice, now time.Time) *Choice {
	best := s.shortestWait(request, choices, true)
	if best.choice != nil && best.wait <= request.LatestStart.Sub(now)/2 {
		return best.choice
	}
	if other := s.shortestWait(request, choices, false); other.isBetterThan(best) {
		return other.choice
	}
	return best.choice
}

// waitEstimate is the expected wait of a request on one engine. A nil choice means that
// no engine is available.
type waitEstimate struct {
	choice    *Choice
	wait      time.Duration
	immediate bool
}

// isBetterThan reports whether e is better than other. An immediate grant is better
// than any queued one; otherwise the shorter wait is better.
func (e waitEstimate) isBetterThan(other waitEstimate) bool {
	switch {
	case e.choice == nil || other.choice == nil:
		return e.choice != nil
	case e.immediate != other.immediate:
		return e.immediate
	}
	return e.wait < other.wait
}

// shortestWait returns the best estimate among the preferred or among the other choices.
// Engines whose limit is less than the memory of the request are skipped.
func (s *State) shortestWait(request Request, choices []Choice, preferred bool) waitEstimate {
	var best waitEstimate
	for i := range choices {
		engine, found := s.engines[choices[i].Server]
		if !found || choices[i].Preferred != preferred || engine.core.limit < request.Tokens {
			continue
		}
		request.PrefillTokens = choices[i].PrefillTokens
		next := waitEstimate{choice: &choices[i]}
		next.wait, next.immediate = engine.core.EstimateWait(request, choices[i].TokenTime)
		if next.isBetterThan(best) {
			best = next
		}
	}
	return best
}

// Renew extends a lease; see Core.Renew. It returns false for an engine that this VM does
// not schedule.
func (s *State) Renew(server string, request Request, prefilling bool, now time.Time) bool {
	engine, found := s.engines[server]
	if !found {
		return false
	}
	renewed := engine.core.Renew(request, prefilling, now)
	s.collectDecisions(server, engine)
	return renewed
}

// RecordFirstToken ends the prefill of an attempt; see Core.RecordFirstToken.
func (s *State) RecordFirstToken(server, attempt string, now time.Time) {
	if engine, found := s.engines[server]; found {
		engine.core.RecordFirstToken(attempt, now)
		s.collectDecisions(server, engine)
	}
}

// Release ends an attempt; see Core.Release. With an empty server it ends the attempt on
// all engines.
func (s *State) Release(server, attempt string, memoryHeld bool, now time.Time) {
	if server == "" {
		for name := range s.engines {
			s.Release(name, attempt, memoryHeld, now)
		}
		return
	}
	if engine, found := s.engines[server]; found {
		engine.core.Release(attempt, memoryHeld, now)
		s.collectDecisions(server, engine)
	}
}

// ApplyList applies the attempt list of an engine that was requested at requestedAt. A list
// of another incarnation is discarded.
func (s *State) ApplyList(server string, incarnation uint64, held []HeldAttempt, requestedAt, now time.Time) {
	engine, found := s.engines[server]
	if !found || engine.engine.Incarnation != incarnation {
		return
	}
	engine.core.ApplyList(held, requestedAt, now)
	engine.listedAt = requestedAt
	s.applyShares(server, engine, now)
	s.collectDecisions(server, engine)
}

// ConfirmFreed records that an engine holds no memory for attempts any more. A
// confirmation of another incarnation is discarded.
func (s *State) ConfirmFreed(server string, incarnation uint64, attempts []string, now time.Time) {
	engine, found := s.engines[server]
	if !found || engine.engine.Incarnation != incarnation {
		return
	}
	engine.core.ConfirmFreed(attempts, now)
	s.collectDecisions(server, engine)
}

// TakeDecisions returns the decisions since the last call.
func (s *State) TakeDecisions() []ServerDecision {
	decided := s.decisions
	s.decisions = nil
	return decided
}

// Usage returns the memory usage of each engine that this VM schedules, by server ID.
func (s *State) Usage() map[string]Usage {
	usage := make(map[string]Usage, len(s.engines))
	for server, engine := range s.engines {
		usage[server] = engine.core.Usage()
	}
	return usage
}

// collectDecisions moves the decisions of an engine's Core to those of s.
func (s *State) collectDecisions(server string, engine *engineState) {
	for _, decision := range engine.core.TakeDecisions() {
		s.decisions = append(s.decisions, ServerDecision{Server: server, Decision: decision})
	}
}
