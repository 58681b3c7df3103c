package schedule

import (
	"time"
)

const (
	// minSuspectServers is the number of servers that an entry VM must fail on before its
	// reports are doubted.
	minSuspectServers = 3
	// minSuspectRetries is the number of them that it must have been sent to after its
	// first failure: requests that were under way then fail together, whatever the cause.
	minSuspectRetries = 2
	// recentSpan is the time span of each of the two periods in which the last outcomes of
	// an entry VM count as recent.
	recentSpan = time.Second
	// minSuspectTime is the minimum time since its first recent failure. In less time a
	// request may be refused by several servers one after another before others answer.
	minSuspectTime = 300 * time.Millisecond
	// soundTime is how long after its last success an entry VM without failures counts as
	// one that reaches the servers.
	soundTime = 5 * time.Second
	// pendingTime is how long a request without an outcome may still show that its server
	// is reachable.
	pendingTime = 2 * time.Second
	// pairExpiry is how long a failing pair is remembered after its backoff. sweepInterval
	// is the interval at which older ones are forgotten.
	pairExpiry    = 10 * time.Second
	sweepInterval = 5 * time.Second
	// minDisproof is the minimum time from the sending of a request that did not reach a
	// server to a success of another request that shows that the server was reachable
	// meanwhile. It covers the reports' transit.
	minDisproof = 2 * transitTime
)

// pair is the evidence of one entry VM against one server, since the VM's last success on
// it.
type pair struct {
	vm     *vmEvidence
	server *server
	// failures is the number of consecutive failures, with one that takes the server out
	// by itself counted as at least ejectAfterFailures.
	failures int
	// failedAt and sequence are the time and the number of the last failure.
	failedAt time.Time
	sequence uint64
	// until is the end of the backoff, in which the VM's requests are not placed on the
	// server.
	until time.Time
	// counted is the part of the server's failureStreak that is due to this pair.
	counted int
	// unreachable and vmUnreachable are the flags of the server that are due to this pair.
	unreachable   bool
	vmUnreachable bool
}

// vmEvidence is the evidence of one entry VM with failures.
type vmEvidence struct {
	pairs map[*server]*pair
	// burstStart is the time of the first of the recent failures.
	burstStart time.Time
	// recent holds the last outcome of the VM on each server in the current period and the
	// one before it, for requests sent since burstStart, and the failures of others.
	recent      [2]map[*server]recentOutcome
	periodStart time.Time
	// counts are the numbers of the outcomes in recent.
	counts [recentKinds]int
	// suspect is set while the VM itself is most likely cut off from servers. Its reports
	// then concern no other VM.
	suspect bool
}

// recentOutcome is the last outcome of an entry VM on a server.
type recentOutcome uint8

const (
	recentSuccess recentOutcome = iota
	// recentFailure is that of a request that was sent after the first recent failure.
	recentFailure
	// earlyFailure is that of a request that was sent before.
	earlyFailure
	recentKinds
)

// CredibilityChange tells that the reports of an entry VM on servers count no longer for
// other VMs, or count again.
type CredibilityChange struct {
	// VM is the incarnation of the entry VM.
	VM       uint64
	Credible bool
	// Failing and Reached are the numbers of servers on which the VM's last recent request
	// failed and did not.
	Failing, Reached int
}

// TakeCredibilityChanges returns the changes since the last call.
func (s *Scheduler) TakeCredibilityChanges() []CredibilityChange {
	changes := s.credibilityChanges
	s.credibilityChanges = nil
	return changes
}

// recordSuccess records that a server has answered a request. Evidence of other VMs that
// fail on further servers is withdrawn: the server is reachable and they may not be.
func (s *Scheduler) recordSuccess(now time.Time, j *job) {
	srv := j.first
	s.sequence++
	s.noteServiceSuccess(now, j)
	srv.succeededAt, srv.successSequence = now, s.sequence
	srv.failureStreak, srv.unreachable, srv.vmUnreachable = 0, false, false
	if srv.outByZone {
		srv.outByZone, srv.downUntil = false, time.Time{}
	}
	for p := range srv.accusers {
		p.counted, p.unreachable, p.vmUnreachable = 0, false, false
		if len(p.vm.pairs) > 1 && p.vm != s.vms[j.request.ID.VM] {
			s.withdraw(p)
		}
	}
	s.recordReached(now, j)
}

// recordReached records that the entry VM of a request reaches its server.
func (s *Scheduler) recordReached(now time.Time, j *job) {
	vm := s.vms[j.request.ID.VM]
	if vm == nil {
		return
	}
	if p := vm.pairs[j.first]; p != nil && !j.sentAt.Before(p.failedAt) {
		s.drop(p)
	}
	if !j.sentAt.Before(vm.burstStart) {
		vm.note(now, j.first, recentSuccess)
		s.trust(now, j.request.ID.VM, vm)
	}
}

// recordFailure records that a server did not answer a request. It keeps the requests of
// the entry VM away from the server for a backoff, and those of all VMs if the VM is
// credible.
func (s *Scheduler) recordFailure(now time.Time, j *job, outcome Outcome) {
	srv, id := j.first, j.request.ID.VM
	if s.servers[srv.ID] != srv {
		return // it was removed
	}
	s.sequence++
	s.sweep(now)
	vm := s.vms[id]
	if vm == nil {
		vm = &vmEvidence{pairs: map[*server]*pair{}}
		s.vms[id] = vm
	}
	p := vm.pairs[srv]
	if p == nil {
		p = &pair{vm: vm, server: srv}
		vm.pairs[srv] = p
	}
	p.failures = nextFailureStreak(p.failures, outcome)
	p.failedAt, p.sequence = now, s.sequence
	if backoff := backoffAfter(p.failures); backoff > 0 {
		p.until = now.Add(backoff)
	}
	vm.noteFailure(now, srv, j.sentAt)
	s.doubt(now, j.request, vm)
	if len(vm.pairs) == 2 { // the first one may have been disproved while it was the only one
		for _, other := range vm.pairs {
			if other.server.successSequence > other.sequence {
				s.withdraw(other)
			}
		}
	}
	reachedMeanwhile := outcome == OutcomeUnreachable && srv.succeededAt.Sub(j.sentAt) >= minDisproof
	if vm.suspect || reachedMeanwhile {
		return
	}
	s.accuse(now, p, outcome)
	if outcome == OutcomeUnreachable {
		s.checkZone(now, srv.Zone, j.request.Zone)
	}
}

// accuse takes a failure of a credible entry VM into account for all VMs.
func (s *Scheduler) accuse(now time.Time, p *pair, outcome Outcome) {
	srv := p.server
	before := srv.failureStreak
	srv.recordFailure(now, outcome)
	if srv.accusers == nil {
		srv.accusers = map[*pair]bool{}
	}
	srv.accusers[p] = true
	p.counted += srv.failureStreak - before
	p.unreachable = p.unreachable || outcome != OutcomeFailed
	if outcome == OutcomeUnreachable {
		p.vmUnreachable, srv.vmUnreachable, srv.outByZone = true, true, false
	}
}

// withdraw removes a pair's evidence against the server for all VMs. The pair itself
// stays, with its backoff.
func (s *Scheduler) withdraw(p *pair) {
	srv := p.server
	if !srv.accusers[p] {
		return
	}
	delete(srv.accusers, p)
	p.counted, p.unreachable, p.vmUnreachable = 0, false, false
	if !srv.outByZone {
		srv.resetFailures()
	}
}

// drop forgets a pair.
func (s *Scheduler) drop(p *pair) {
	s.withdraw(p)
	delete(p.vm.pairs, p.server)
}

// sweep forgets pairs that have not failed for a while, and entry VMs without any.
func (s *Scheduler) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for id, vm := range s.vms {
		for _, p := range vm.pairs {
			if now.Sub(p.failedAt) >= pairExpiry && now.Sub(p.until) >= pairExpiry {
				s.drop(p)
			}
		}
		if len(vm.pairs) > 0 {
			continue
		}
		delete(s.vms, id)
		if vm.suspect {
			vm.suspect = false
			s.addCredibilityChange(now, id, vm)
		}
	}
}

// forgetVM forgets the evidence of an entry VM that is gone.
func (s *Scheduler) forgetVM(id uint64) {
	delete(s.succeededAt, id)
	vm := s.vms[id]
	if vm == nil {
		return
	}
	for _, p := range vm.pairs {
		s.drop(p)
	}
	delete(s.vms, id)
	s.recheckZones()
}

// forgetServer forgets the evidence against a server that is removed.
func (s *Scheduler) forgetServer(srv *server) {
	for _, vm := range s.vms {
		if p := vm.pairs[srv]; p != nil {
			s.drop(p)
		}
		vm.forget(srv)
	}
}

// doubt decides, after a failure, whether the entry VM becomes suspect. It does when its
// recent requests fail on several servers, and those sent after the first failure on far
// more than they reach or still may reach, while other VMs may reach the service. The
// requests of a VM that meets dead servers are placed on others by then.
func (s *Scheduler) doubt(now time.Time, request PlacementRequest, vm *vmEvidence) {
	reached, retried := vm.counts[recentSuccess], vm.counts[recentFailure]
	failing := retried + vm.counts[earlyFailure]
	id := request.ID.VM
	if vm.suspect {
		if !s.othersMayReach(now, request, vm) {
			vm.suspect = false
			s.addCredibilityChange(now, id, vm)
		}
		return
	}
	if failing < minSuspectServers || retried < minSuspectRetries || retried <= 2*reached ||
		s.hasOtherVMs(now, id) && now.Sub(vm.burstStart) < minSuspectTime ||
		retried <= 2*reached+s.pendingServers(now, id, vm) || !s.othersMayReach(now, request, vm) {
		return
	}
	vm.suspect = true
	for _, p := range vm.pairs {
		s.withdraw(p)
	}
	s.recheckZones()
	s.addCredibilityChange(now, id, vm)
}

// trust decides, after a success, whether a suspect entry VM is credible again. It is when
// it reaches several servers, and far more than it fails on.
func (s *Scheduler) trust(now time.Time, id uint64, vm *vmEvidence) {
	reached := vm.counts[recentSuccess]
	failing := vm.counts[recentFailure] + vm.counts[earlyFailure]
	if vm.suspect && reached >= min(minSuspectServers, len(s.servers)) && reached >= 2*failing && reached > len(vm.pairs) {
		vm.suspect = false
		s.addCredibilityChange(now, id, vm)
	}
}

func (s *Scheduler) addCredibilityChange(now time.Time, id uint64, vm *vmEvidence) {
	vm.expire(now)
	s.credibilityChanges = append(s.credibilityChanges, CredibilityChange{
		VM: id, Credible: !vm.suspect, Failing: vm.counts[recentFailure] + vm.counts[earlyFailure], Reached: vm.counts[recentSuccess],
	})
}

// hasOtherVMs tells whether another entry VM has placed requests, evidence or a success
// within soundTime.
func (s *Scheduler) hasOtherVMs(now time.Time, id uint64) bool {
	placed, failed := len(s.placedByVM), len(s.vms)
	if s.placedByVM[id] != nil {
		placed--
	}
	if s.vms[id] != nil {
		failed--
	}
	if placed+failed > 0 {
		return true
	}
	for other, succeededAt := range s.succeededAt {
		if other != id && now.Sub(succeededAt) < soundTime {
			return true
		}
	}
	return false
}

// serviceSuccess is when the last request that a service has answered was sent, and the
// last one of another entry VM.
type serviceSuccess struct {
	vm          uint64
	last, other time.Time
}

func (s *Scheduler) noteServiceSuccess(now time.Time, j *job) {
	id := j.request.ID.VM
	s.succeededAt[id] = now
	success := s.successes[j.request.Service]
	switch {
	case j.sentAt.After(success.last):
		if id != success.vm {
			success.vm, success.other = id, success.last
		}
		success.last = j.sentAt
	case id != success.vm && j.sentAt.After(success.other):
		success.other = j.sentAt
	}
	s.successes[j.request.Service] = success
}

// othersMayReach tells whether other entry VMs may reach servers of the request's service:
// one has done so with a request sent since the recent failures of the request's VM began,
// or has no failures itself, or there is none that could tell. If all VMs fail, the servers
// do.
func (s *Scheduler) othersMayReach(now time.Time, request PlacementRequest, vm *vmEvidence) bool {
	id, success := request.ID.VM, s.successes[request.Service]
	last := success.last
	if success.vm == id {
		last = success.other
	}
	if last.After(vm.burstStart) || !s.hasOtherVMs(now, id) {
		return true
	}
	for other, succeededAt := range s.succeededAt {
		if evidence := s.vms[other]; other != id && now.Sub(succeededAt) < soundTime && (evidence == nil || len(evidence.pairs) == 0) {
			return true
		}
	}
	return false
}

// pendingServers returns the number of servers that the entry VM may still turn out to
// reach, besides those that it has reached recently.
func (s *Scheduler) pendingServers(now time.Time, id uint64, vm *vmEvidence) int {
	pending := map[*server]bool{}
	for _, j := range s.placedByVM[id] {
		if j.decoding || now.Sub(j.sentAt) >= pendingTime || vm.pairs[j.first] != nil {
			continue
		}
		if outcome, found := vm.recentOutcome(j.first); !found || outcome != recentSuccess {
			pending[j.first] = true
		}
	}
	return len(pending)
}

// noteFailure notes a failure of a request sent at sentAt. The first recent one begins a
// burst.
func (vm *vmEvidence) noteFailure(now time.Time, srv *server, sentAt time.Time) {
	vm.expire(now)
	outcome := recentFailure
	if vm.counts[recentFailure]+vm.counts[earlyFailure] == 0 {
		vm.burstStart = now
		clear(vm.recent[0])
		clear(vm.recent[1])
		vm.counts = [recentKinds]int{}
	}
	if sentAt.Before(vm.burstStart) {
		outcome = earlyFailure
	}
	vm.note(now, srv, outcome)
}

// note notes the last outcome on a server.
func (vm *vmEvidence) note(now time.Time, srv *server, outcome recentOutcome) {
	vm.expire(now)
	vm.forget(srv)
	if vm.recent[0] == nil {
		vm.recent[0] = map[*server]recentOutcome{}
	}
	vm.recent[0][srv] = outcome
	vm.counts[outcome]++
}

// recentOutcome returns the last outcome on a server, if it is recent.
func (vm *vmEvidence) recentOutcome(srv *server) (outcome recentOutcome, found bool) {
	for _, period := range vm.recent {
		if outcome, found = period[srv]; found {
			return outcome, true
		}
	}
	return 0, false
}

// forget removes the last outcome on a server.
func (vm *vmEvidence) forget(srv *server) {
	for _, period := range vm.recent {
		if outcome, found := period[srv]; found {
			delete(period, srv)
			vm.counts[outcome]--
		}
	}
}

// expire removes outcomes that are not recent any more.
func (vm *vmEvidence) expire(now time.Time) {
	for range vm.recent {
		if now.Sub(vm.periodStart) < recentSpan {
			return
		}
		for _, outcome := range vm.recent[1] {
			vm.counts[outcome]--
		}
		clear(vm.recent[1])
		vm.recent[0], vm.recent[1] = vm.recent[1], vm.recent[0]
		if vm.periodStart = vm.periodStart.Add(recentSpan); now.Sub(vm.periodStart) >= 2*recentSpan {
			vm.periodStart = now.Add(-recentSpan)
		}
	}
}

// barServers marks the servers on which the entry VM of the request is in backoff, as
// markExcluded does, and returns their number. It marks none if the request could then run
// on no available server: the VM may have paths to servers that its reports don't show.
func (s *Scheduler) barServers(now time.Time, j *job) int {
	vm := s.vms[j.request.ID.VM]
	if vm == nil {
		return 0
	}
	barred := 0
	for srv, p := range vm.pairs {
		if now.Before(p.until) && srv.Service == j.request.Service && srv.excludedBy != j {
			srv.excludedBy = j
			barred++
		}
	}
	if barred == 0 {
		return 0
	}
	for _, srv := range s.sortedServers {
		if srv.canRun(now, j) {
			return barred
		}
	}
	s.unbarServers(j)
	return 0
}

// unbarServers removes the marks of barServers.
func (s *Scheduler) unbarServers(j *job) {
	for srv := range s.vms[j.request.ID.VM].pairs {
		if srv.excludedBy == j {
			srv.excludedBy = nil
		}
	}
	s.markExcluded(j)
}

// isSuspect reports whether the entry VM of the request is suspect.
func (s *Scheduler) isSuspect(j *job) bool {
	vm := s.vms[j.request.ID.VM]
	return vm != nil && vm.suspect
}
