package schedule

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

const (
	// warmUpLeaderPart is the part of the bound of a server's warm-up to which the leader plans. Schedulers with a share
	// divide the rest.
	warmUpLeaderPart = 0.5
	// warmUpLateness is the longest time from a placement to the arrival of its request: 250 ms to connect, and the trips
	// between VMs. What arrives within a second was placed within that much more.
	warmUpLateness = 300 * time.Millisecond
	warmUpWindow   = time.Second + warmUpLateness
	// warmUpShareInterval is the least time between two placements by a scheduler with a share. It is longer than
	// warmUpWindow, so that such a scheduler adds at most one request to a window, also if it was restarted.
	warmUpShareInterval = 1500 * time.Millisecond
	// warmUpExcess bounds the probability that more schedulers have a share of a server than the bound leaves room for.
	warmUpExcess = 1e-7
	// warmUpGroups is the number of groups that draw shares: the control VMs without a leader, and the entry VMs.
	warmUpGroups = 2
)

// WarmUpBounds bound what all VMs together send to a server during its warm-up: in any second Ratio times the rate that
// its service states, plus Allowance requests. Both are 0 if there is no bound.
type WarmUpBounds struct {
	Ratio     float64
	Allowance float64
}

// warmUpPlan divides the bound of a server between the leader and the schedulers with a share.
type warmUpPlan struct {
	// leaderRate is the rate of the leader in requests a second.
	leaderRate float64
	// meanShares is the mean number of schedulers with a share.
	meanShares float64
}

// plan returns the plan for a server that takes perSecond requests a second. A token bucket with one token at most lets
// 1 + rate * warmUpWindow requests into a window, a scheduler with a share one.
func (b WarmUpBounds) plan(perSecond float64) warmUpPlan {
	bound, window := b.Ratio*perSecond+b.Allowance, warmUpWindow.Seconds()
	if bound < 1 {
		return warmUpPlan{}
	}
	single := 1 / warmUpShareInterval.Seconds() // at this rate no window has two requests
	plan := warmUpPlan{leaderRate: math.Min(perSecond, math.Max(single, (warmUpLeaderPart*bound-1)/window))}
	planned := 1.0
	if plan.leaderRate > single {
		planned += plan.leaderRate * window
	}
	plan.meanShares = meanShares(int(bound - planned))
	return plan
}

// meanShares returns the mean of a sum of independent draws with which the sum exceeds most with a probability of at most
// warmUpExcess: the probability of most+1 successes is at most mean^(most+1) / (most+1)!.
func meanShares(most int) float64 {
	if most < 1 {
		return 0
	}
	logFactorial, _ := math.Lgamma(float64(most + 2))
	return math.Exp((logFactorial + math.Log(warmUpExcess)) / float64(most+1))
}

// warmUp limits the requests that this scheduler places on a server during its warm-up. The bucket is also kept before and
// after, since a server may become cold at any moment: what it was sent just before counts.
type warmUp struct {
	// until is the end of the warm-up, unknownUntil that of a server whose start was not announced, and suspectedUntil that of
	// one that may have started again; zero for none.
	until, unknownUntil, suspectedUntil time.Time
	// perSecond is the rate at which tokens are added, 0 if this scheduler has no share. The bucket holds one token at most.
	perSecond float64
	tokens    float64
	updatedAt time.Time
	// leads is set if this scheduler is the leader's.
	leads bool
	// reportedCold, since and placed are for TakeWarmUpChanges.
	reportedCold bool
	since        time.Time
	placed       int
}

// advanceTo adds the tokens up to now. A bucket that was not used for shareIdleTime begins anew: this VM may not have run, and
// others have placed requests instead.
func (w *warmUp) advanceTo(now time.Time) {
	elapsed := now.Sub(w.updatedAt)
	if elapsed <= 0 {
		return
	}
	if elapsed < shareIdleTime {
		w.tokens = math.Min(1, w.tokens+elapsed.Seconds()*w.perSecond)
	} else {
		w.tokens = math.Min(0, w.tokens)
	}
	w.updatedAt = now
}

func (w *warmUp) has(now time.Time) bool {
	w.advanceTo(now)
	return w.tokens >= 1
}

// take counts a placement. The bucket owes at most what it adds in a second, since older requests don't count.
func (w *warmUp) take(now time.Time) {
	w.advanceTo(now)
	w.tokens = math.Max(w.tokens-1, -math.Max(1, w.perSecond))
	w.placed++
}

// setRate sets the rate from now on. What others have sent since is not known, so nothing that was saved up stays: the bucket
// of a new leader owes one request, which covers a short time in which two VMs consider themselves the leader.
func (w *warmUp) setRate(now time.Time, perSecond float64, leads bool) {
	began := leads && !w.leads
	w.leads = leads
	if w.perSecond == perSecond && !w.updatedAt.IsZero() && !began {
		return
	}
	w.advanceTo(now)
	w.perSecond, w.tokens = perSecond, math.Min(w.tokens, 0)
	if leads {
		w.tokens = math.Min(w.tokens, -1)
	}
}

// serviceWarmUp is what the route table states about the warm-ups of a service.
type serviceWarmUp struct {
	perSecond float64
	duration  time.Duration
}

// SetWarmUpBounds sets the bounds on requests to servers in their warm-up. It must be called before the first server is set.
func (s *Scheduler) SetWarmUpBounds(bounds WarmUpBounds) {
	s.warmUpBounds = bounds
}

// SetWarmUpShare sets which part of the bounds this scheduler may use: 1 on the leader of the control group only, otherwise
// one divided by the number of schedulers in its group, which are the control VMs or the entry VMs. Such a scheduler has a
// share of some of the servers, chosen at random by the seed, which must differ between VMs. A fraction of 0 means no share.
func (s *Scheduler) SetWarmUpShare(now time.Time, fraction float64, leads bool, seed uint64) {
	if leads {
		fraction = 1
	}
	share := warmUpShare{fraction: fraction, leads: leads, seed: seed}
	if s.warmUpShare == share {
		return
	}
	s.warmUpShare = share
	s.resetWarmUps(now)
}

// warmUpShare is the part of the bounds that a scheduler may use.
type warmUpShare struct {
	fraction float64
	leads    bool
	seed     uint64
}

// LimitsWarmUp reports whether the servers of a service take fewer requests during their warm-up.
func (s *Scheduler) LimitsWarmUp(service string) bool {
	return s.warmUpBounds != WarmUpBounds{} && s.serviceWarmUps[service].perSecond > 0
}

// setServiceWarmUps uses what a route table states about warm-ups.
func (s *Scheduler) setServiceWarmUps(now time.Time, table *routes.Table) {
	clear(s.serviceWarmUps)
	for i := range table.Services {
		if service := &table.Services[i]; service.ColdPerSecond > 0 {
			s.serviceWarmUps[service.Name] = serviceWarmUp{perSecond: service.ColdPerSecond, duration: service.ColdTime}
		}
	}
	for _, srv := range s.sortedServers {
		srv.ColdPerSecond = s.serviceWarmUps[srv.Service].perSecond
	}
	s.resetWarmUps(now)
}

func (s *Scheduler) resetWarmUps(now time.Time) {
	for _, srv := range s.sortedServers {
		s.resetWarmUp(now, srv)
	}
}

// resetWarmUp updates the limit of a server's warm-up after a change of its rate or of the scheduler's share.
func (s *Scheduler) resetWarmUp(now time.Time, srv *server) {
	if srv.ColdPerSecond <= 0 || s.warmUpBounds == (WarmUpBounds{}) {
		srv.warmUp, srv.cold = nil, false
		return
	}
	if srv.warmUp == nil {
		srv.warmUp = &warmUp{until: srv.ColdUntil}
	}
	plan := s.warmUpBounds.plan(srv.ColdPerSecond)
	if s.warmUpShare.leads {
		srv.warmUp.setRate(now, plan.leaderRate, true)
		return
	}
	rate := 0.0
	h := fnv.New64a()
	_, _ = h.Write([]byte(srv.ID)) // never fails
	// A stream of the generator other than that of slotShareOf, so that the draws are independent.
	if rand.New(rand.NewPCG(h.Sum64()+1, s.warmUpShare.seed)).Float64() < plan.meanShares/warmUpGroups*s.warmUpShare.fraction {
		rate = 1 / warmUpShareInterval.Seconds()
	}
	srv.warmUp.setRate(now, rate, false)
}

// updateWarmUp updates the warm-up of a server after an announcement or another update of it, so that suspectedUntil stays.
// isNew is set if the server was not known before.
// Announcements arrive late or get lost, so a server also counts as cold for the time that its service states after its
// start or, if it didn't announce that, after it became known.
func (s *Scheduler) updateWarmUp(now time.Time, srv *server, isNew bool) {
	duration := time.Duration(0)
	if stated := s.serviceWarmUps[srv.Service]; stated.perSecond > 0 {
		duration = stated.duration
		if srv.ColdPerSecond <= 0 {
			srv.ColdPerSecond = stated.perSecond
		}
	}
	s.resetWarmUp(now, srv)
	w := srv.warmUp
	if w == nil {
		return
	}
	w.advanceTo(now)
	w.until = srv.ColdUntil
	switch age := now.Sub(srv.StartedAt); {
	case srv.StartedAt.IsZero() && isNew:
		w.unknownUntil = now.Add(duration)
	case !srv.StartedAt.IsZero() && age > -duration && age < duration: // otherwise the clock of the server is wrong
		w.until = later(w.until, srv.StartedAt.Add(duration))
	}
	w.until = later(w.until, w.unknownUntil)
	srv.cold = w.isCold(now)
}

// suspectWarmUp lets a server that was unresponsive or refused a connection count as cold for the duration of a warm-up: its
// process may be another one when it takes requests again.
func (s *Scheduler) suspectWarmUp(now time.Time, srv *server, outcome Outcome) {
	if srv.warmUp != nil && outcome == OutcomeStalled {
		srv.warmUp.suspectedUntil = now.Add(s.serviceWarmUps[srv.Service].duration)
	}
}

func (w *warmUp) isCold(now time.Time) bool {
	return now.Before(w.until) || now.Before(w.suspectedUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refreshWarmUps records which servers are cold.
func (s *Scheduler) refreshWarmUps(now time.Time) {
	s.coldServers = 0
	for _, srv := range s.sortedServers {
		if srv.warmUp == nil {
			continue
		}
		srv.warmUp.advanceTo(now)
		if srv.cold = srv.warmUp.isCold(now); srv.cold {
			s.coldServers++
		}
	}
}

// takesCold reports whether the warm-up of the server, if any, leaves room for a request.
func (srv *server) takesCold(now time.Time) bool { return !srv.cold || srv.warmUp.has(now) }

// countWarmUp counts a placement on the server. One that another scheduler made some time ago doesn't count.
func (srv *server) countWarmUp(now time.Time, isOld bool) {
	if srv.warmUp != nil && !isOld {
		srv.warmUp.take(now)
	}
}

// coldPenalty is what is added to the cost of a cold server, so that all servers that are as soon ready rank before it.
func (s *Scheduler) coldPenalty() time.Duration {
	return time.Duration(len(s.sortedServers))*rankPenalty + mixPenalty
}

// inTime returns the candidates that prefill a part of the given duration by the target time. The order of the candidates
// prefers warm servers, even if only cold ones are in time. The result is valid until the next call.
func (s *Scheduler) inTime(candidates []candidate, partTime time.Duration, target time.Time) []candidate {
	result := s.soonCandidates[:0]
	for _, c := range candidates {
		if !c.readyAt.Add(c.server.scaled(partTime) + transitTime/2).After(target) {
			result = append(result, c)
		}
	}
	s.soonCandidates = result
	return result
}

// selectInTime returns servers that prefill a prompt by the latency target without loss to others, cold ones where the warm
// ones that rank before them are too late.
func (s *Scheduler) selectInTime(j *job, candidates []candidate, plan memoryPlan, minCount, maxCount int) (selection, bool) {
	for count := minCount; count <= maxCount; count++ {
		partTime := j.prefillTime / time.Duration(count)
		soon := s.inTime(candidates, partTime, j.request.TargetAt)
		if selected, found := s.selectServers(j, soon, plan, count, partTime, 0); found {
			return selected, true
		}
	}
	return selection{}, false
}

// limitOf returns the tokens and the rate of what limits the requests to a server, and false if nothing does.
func (srv *server) limitOf(now time.Time) (tokens, perSecond float64, limited bool) {
	if srv.limit != nil {
		srv.limit.advanceTo(now)
		tokens, perSecond, limited = srv.limit.tokens, srv.limit.perSecond, true
	}
	if srv.cold {
		w := srv.warmUp
		w.advanceTo(now)
		if !limited {
			return w.tokens, w.perSecond, true
		}
		tokens, perSecond = math.Min(tokens, w.tokens), math.Min(perSecond, w.perSecond)
	}
	return tokens, perSecond, limited
}

// hasUnlimited reports whether the server that limitWait last found without a limit still has none: a queue of many requests
// must not look at all servers for each.
func (s *Scheduler) hasUnlimited(now time.Time, j *job) bool {
	srv := s.unlimited[j.request.Service]
	if srv == nil || s.servers[srv.ID] != srv || srv.Service != j.request.Service || !srv.isReachable(now) || srv.isBarred(j) {
		return false
	}
	_, _, limited := srv.limitOf(now)
	return !limited
}

// freesAt returns when the server takes any number of requests again, zero if that is not known.
func (srv *server) freesAt() time.Time {
	if srv.limit != nil || !srv.cold {
		return time.Time{}
	}
	return later(srv.warmUp.until, srv.warmUp.suspectedUntil)
}

// WarmUpChange is the begin or the end of a server's warm-up.
type WarmUpChange struct {
	Server  string
	Service string
	// Cold is set at the begin.
	Cold bool
	// Left is the time until the end, or the duration of the warm-up that has ended.
	Left time.Duration
	// PerSecond is what the server takes, Planned the rate at which this scheduler places requests on it.
	PerSecond, Planned float64
	// Placed is the number of requests that this scheduler placed or adopted during a warm-up that has ended.
	Placed int
}

// TakeWarmUpChanges returns the warm-ups that have begun or ended since the last call, and the number of cold servers.
func (s *Scheduler) TakeWarmUpChanges(now time.Time) (changes []WarmUpChange, cold int) {
	s.refreshWarmUps(now)
	for _, srv := range s.sortedServers {
		w := srv.warmUp
		if w == nil || w.reportedCold == srv.cold {
			continue
		}
		change := WarmUpChange{Server: srv.ID, Service: srv.Service, Cold: srv.cold, PerSecond: srv.ColdPerSecond, Planned: w.perSecond}
		if w.reportedCold = srv.cold; srv.cold {
			w.since, w.placed, change.Left = now, 0, later(w.until, w.suspectedUntil).Sub(now)
		} else {
			change.Left, change.Placed = now.Sub(w.since), w.placed
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b WarmUpChange) int { return cmp.Compare(a.Server, b.Server) })
	return changes, s.coldServers
}
