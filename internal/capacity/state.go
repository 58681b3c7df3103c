package capacity

import "time"

// ServerDecision is a decision on a request to one engine.
type ServerDecision struct {
	Server string
	Decision
}

// CancelOrder asks the engine to cancel attempts and free their memory.
type CancelOrder struct {
	Engine   Engine
	Attempts []string
}

// Work is what a tick asks the shell to do.
type Work struct {
	// Lists holds the engines whose attempts are to be listed.
	Lists   []Engine
	Cancels []CancelOrder
}

// Engine is a live engine of the zone.
type Engine struct {
	Server      string
	Incarnation uint64
	// Address is "ip:port".
	Address string
	Memory  int64
	// Group names the engines that share a scheduler, so that it can choose
	// between them: those that serve the same model.
	Group string
}

// State is the control state of one VM's schedulers: the members of its zone
// and a Core for each engine that this VM schedules. It is pure and not safe
// for concurrent use.
type State struct {
	self    string
	config  Config
	members *Members
	engines map[string]*engineState
	waiting map[string]*waitingRequest
	decided []ServerDecision
}

// engineState is what one scheduler knows of its engine.
type engineState struct {
	engine Engine
	core   *Core
	// target is the memory that the shares of this VM allow, and since the
	// time from which they do.
	target   int64
	since    time.Time
	askedAt  time.Time
	listedAt time.Time
	// settled is when a former scheduler, which may not have heard yet that
	// the engine is another's, grants nothing any more.
	settled time.Time
}

// NewState returns the state of VM self at its start, where names lists the
// entry VMs of its zone.
func NewState(self string, names []string, config Config) *State {
	return &State{
		self: self, config: config, members: NewMembers(self, names, config.LeaseTerm),
		engines: map[string]*engineState{}, waiting: map[string]*waitingRequest{},
	}
}

// Members returns the members of the zone.
func (s *State) Members() *Members { return s.members }

// IsAlive reports whether a VM of the zone is alive in this VM's view.
func (s *State) IsAlive(vm string) bool {
	for _, name := range s.members.live {
		if name == vm {
			return true
		}
	}
	return false
}

// SetConfig replaces the configuration, after a change of the bundle.
func (s *State) SetConfig(config Config, now time.Time) {
	s.config = config
	for _, engine := range s.engines {
		engine.core.SetConfig(config, now)
	}
}

// Tick brings the engines up to date and returns the work that is due.
func (s *State) Tick(live []Engine, now time.Time) Work {
	s.members.Update(now)
	s.syncEngines(live, now)
	var work Work
	for server, engine := range s.engines {
		s.applyShares(server, engine, now)
		engine.core.Expire(s.IsAlive, now)
		if now.Sub(engine.askedAt) >= s.config.LeaseTerm/2 {
			engine.askedAt = now
			work.Lists = append(work.Lists, engine.engine)
		}
		if attempts := engine.core.DueCancels(now); len(attempts) > 0 {
			work.Cancels = append(work.Cancels, CancelOrder{Engine: engine.engine, Attempts: attempts})
		}
		s.collect(server, engine)
	}
	s.moveWaiting(now)
	return work
}

// syncEngines keeps a core for each live engine that this VM schedules. The
// engine of a new incarnation starts empty.
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
		s.drop(engine.Server)
		s.engines[engine.Server] = &engineState{
			engine: engine, core: NewCore(engine.Memory, s.config), settled: now.Add(settleTerms * s.config.LeaseTerm),
		}
	}
	for server := range s.engines {
		if !current[server] {
			s.drop(server)
		}
	}
}

// drop gives up an engine. Its leases pass to the next scheduler, which finds
// them on the engine and hears of them by the holders' renewals.
func (s *State) drop(server string) {
	if engine, found := s.engines[server]; found {
		engine.core.RefuseAll(RefusedNotScheduler)
		s.collect(server, engine)
		delete(s.engines, server)
	}
}

// applyShares sets the limit of an engine. A lower limit holds at once; a
// higher one only after a list of the engine's attempts that was asked for
// since the shares allow it.
func (s *State) applyShares(server string, engine *engineState, now time.Time) {
	held, total := s.members.Shares(engine.engine.Group, now)
	target := engine.engine.Memory * int64(held) / int64(total)
	if now.Before(engine.settled) {
		target = 0
	}
	if target != engine.target {
		engine.target, engine.since = target, now
	}
	if target < engine.core.limit || target > engine.core.limit && engine.listedAt.After(engine.since) {
		engine.core.SetLimit(target, now)
	}
}

// Acquire decides on a request, now or later, for the one of choices that is
// expected to deliver the first token earliest. It returns the chosen one, or
// "" when this VM may grant on none.
func (s *State) Acquire(request Request, choices []Choice, now time.Time) string {
	chosen := s.choose(request, choices, now)
	if chosen == nil {
		s.decided = append(s.decided, ServerDecision{Decision: Decision{Attempt: request.Attempt, Kind: RefusedNotScheduler}})
		return ""
	}
	engine := s.engines[chosen.Server]
	request.PrefillTokens = chosen.PrefillTokens
	engine.core.Acquire(request, now)
	s.collect(chosen.Server, engine)
	if engine.core.IsQueued(request.Attempt) {
		s.wait(request, choices, chosen.Server, now)
	}
	return chosen.Server
}

// choose returns the best of choices, or nil when this VM may grant on none.
func (s *State) choose(request Request, choices []Choice, now time.Time) *Choice {
	best := s.shortest(request, choices, true)
	if best.choice != nil && best.wait <= request.LatestStart.Sub(now)/2 {
		return best.choice
	}
	if other := s.shortest(request, choices, false); other.before(best) {
		return other.choice
	}
	return best.choice
}

// waitEstimate is what a request has to expect of a choice.
type waitEstimate struct {
	choice *Choice
	wait   time.Duration
	atOnce bool
}

// before reports whether o is better than other, which may be empty.
func (o waitEstimate) before(other waitEstimate) bool {
	switch {
	case o.choice == nil || other.choice == nil:
		return o.choice != nil
	case o.atOnce != other.atOnce:
		return o.atOnce
	}
	return o.wait < other.wait
}

// shortest returns the best of the choices, preferred or not.
func (s *State) shortest(request Request, choices []Choice, preferred bool) waitEstimate {
	var best waitEstimate
	for i := range choices {
		engine, found := s.engines[choices[i].Server]
		if !found || choices[i].Preferred != preferred || engine.core.limit < request.Tokens {
			continue
		}
		request.PrefillTokens = choices[i].PrefillTokens
		next := waitEstimate{choice: &choices[i]}
		next.wait, next.atOnce = engine.core.EstimateWait(request, choices[i].TokenTime)
		if next.before(best) {
			best = next
		}
	}
	return best
}

// Renew extends a lease; see Core.Renew.
func (s *State) Renew(server string, request Request, prefilling bool, now time.Time) bool {
	engine, found := s.engines[server]
	if !found {
		return false
	}
	renewed := engine.core.Renew(request, prefilling, now)
	s.collect(server, engine)
	return renewed
}

// RecordFirstToken ends the prefill of an attempt.
func (s *State) RecordFirstToken(server, attempt string, now time.Time) {
	if engine, found := s.engines[server]; found {
		engine.core.RecordFirstToken(attempt, now)
		s.collect(server, engine)
	}
}

// Release ends an attempt; see Core.Release. Without a server it ends the
// attempt on all engines.
func (s *State) Release(server, attempt string, held bool, now time.Time) {
	if server == "" {
		for name := range s.engines {
			s.Release(name, attempt, held, now)
		}
		return
	}
	if engine, found := s.engines[server]; found {
		engine.core.Release(attempt, held, now)
		s.collect(server, engine)
	}
}

// ApplyList takes the answer of an engine that was asked at askedAt.
func (s *State) ApplyList(server string, incarnation uint64, held []HeldAttempt, askedAt, now time.Time) {
	engine, found := s.engines[server]
	if !found || engine.engine.Incarnation != incarnation {
		return
	}
	engine.core.ApplyList(held, askedAt, now)
	engine.listedAt = askedAt
	s.applyShares(server, engine, now)
	s.collect(server, engine)
}

// ConfirmFreed takes the attempts that an engine has freed.
func (s *State) ConfirmFreed(server string, incarnation uint64, attempts []string, now time.Time) {
	engine, found := s.engines[server]
	if !found || engine.engine.Incarnation != incarnation {
		return
	}
	engine.core.ConfirmFreed(attempts, now)
	s.collect(server, engine)
}

// TakeDecisions returns the decisions since the last call.
func (s *State) TakeDecisions() []ServerDecision {
	decided := s.decided
	s.decided = nil
	return decided
}

// Usage returns the use of each engine that this VM schedules.
func (s *State) Usage() map[string]Usage {
	usage := make(map[string]Usage, len(s.engines))
	for server, engine := range s.engines {
		usage[server] = engine.core.Usage()
	}
	return usage
}

func (s *State) collect(server string, engine *engineState) {
	for _, decision := range engine.core.TakeDecisions() {
		s.decided = append(s.decided, ServerDecision{Server: server, Decision: decision})
	}
}
