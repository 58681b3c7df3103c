package schedule

import (
	"math"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

// minFreeFraction is the fraction of the slots of a service that stays free beside hedges. Callers arrive in bursts, and a
// slot that a hedge holds must not keep a first attempt waiting.
const minFreeFraction = 0.1

// ServerTime returns the time for which a request occupies a server: the prefill of its prompt and its share of the decode
// steps of a full server.
func ServerTime(engine *routes.Engine, promptTokens, answerTokens int) time.Duration {
	return prefillTimeOf(engine, promptTokens) + time.Duration(answerTokens)*engine.StepTime/time.Duration(max(engine.Slots, 1))
}

// takeHedges removes the hedges from the queue and returns them.
func (s *Scheduler) takeHedges() []*job {
	var hedges []*job
	for _, j := range s.queued {
		if j.request.Hedge {
			hedges = append(hedges, j)
		}
	}
	if len(hedges) > 0 {
		s.queued = slices.DeleteFunc(s.queued, func(j *job) bool { return j.request.Hedge })
	}
	return hedges
}

// decideHedges places or refuses each of the hedges, once the other requests are placed or stay queued.
func (s *Scheduler) decideHedges(now time.Time, hedges []*job) {
	for _, j := range hedges {
		if reason := s.placeHedge(now, j); reason != "" {
			s.leaveQueue(j)
			s.decided = append(s.decided, Placement{ID: j.request.ID, RetryAfter: minRetryAfter, Reason: reason})
		}
	}
}

// placeHedge places a hedge on one server that serves it at once without making another request late, or returns the reason
// why there is none.
func (s *Scheduler) placeHedge(now time.Time, j *job) (reason string) {
	switch {
	case slices.ContainsFunc(s.queued, func(other *job) bool { return other.request.Service == j.request.Service }):
		return "requests of the service are queued"
	case s.isSuspect(j):
		return "the entry VM is most likely cut off"
	case s.isNearlyFull(now, j):
		return "too few slots of the service are free"
	}
	s.markExcluded(j)
	j.barred = s.barServers(now, j)
	s.noteCandidates(now, j)
	selected := s.selectForHedge(now, j)
	if selected.first == nil {
		return "no server in another zone takes the request at once without loss to others"
	}
	s.assign(now, j, selected)
	return ""
}

// isNearlyFull reports whether a further request would leave less than minFreeFraction of the slots free on the warm servers
// of the service in the zones of the request. First attempts are placed on those.
func (s *Scheduler) isNearlyFull(now time.Time, j *job) bool {
	placed, slots := 0, 0
	for _, srv := range s.sortedServers {
		if srv.Service == j.request.Service && srv.isInZonesOf(j) && !srv.cold && srv.isReachable(now) {
			placed, slots = placed+len(srv.jobs), slots+srv.slotShare
		}
	}
	return float64(slots-placed-1) < minFreeFraction*float64(slots)
}

// mayHedge reports whether the server takes hedges, and has a slot for the one of j.
func (srv *server) mayHedge(now time.Time, j *job) bool {
	return srv.canRun(now, j) && !srv.Limited && !srv.unreachable && !now.Before(srv.ColdUntil) && len(srv.jobs) < srv.slotShare
}

// selectForHedge returns the server for a hedge, and no server if there is none.
func (s *Scheduler) selectForHedge(now time.Time, j *job) selection {
	engine := s.engines[j.request.Service]
	if engine == nil {
		return s.selectPlainForHedge(now, j)
	}
	plan := planMemory(engine.MemoryTokens, j.tokens)
	if plan.holders > 0 {
		return selection{}
	}
	for _, c := range s.rank(j).candidates {
		prefill := c.server.scaled(j.prefillTime)
		readyAt := c.readyAt.Add(prefill + transitTime/2)
		if prefill <= c.maxHarmless && c.freeTokens >= plan.first && !readyAt.After(j.request.StartDeadline) && c.server.mayHedge(now, j) {
			return selection{first: c.server, readyAt: readyAt, partTime: j.prefillTime}
		}
	}
	return selection{}
}

func (s *Scheduler) selectPlainForHedge(now time.Time, j *job) (best selection) {
	if !now.Before(j.request.StartDeadline) {
		return selection{}
	}
	leastLoad := math.Inf(1)
	for _, srv := range s.sortedServers {
		if !srv.mayHedge(now, j) {
			continue
		}
		if load := float64(len(srv.jobs)) / float64(srv.slotShare); load < leastLoad {
			best.first, leastLoad = srv, load
		}
	}
	return best
}
