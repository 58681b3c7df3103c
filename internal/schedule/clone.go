package schedule

import (
	"maps"
	"slices"

	"godwityoke.example/godwityoke/internal/fairshare"
)

// cloner copies the objects of a scheduler, each of them once.
type cloner struct {
	servers map[*server]*server
	jobs    map[*job]*job
	vms     map[*vmEvidence]*vmEvidence
	pairs   map[*pair]*pair
	// accounts holds the copies of the teams' accounts, which Shares.Clone has made.
	accounts   map[*fairshare.Account]*fairshare.Account
	identities map[*identity]*identity
}

// clone returns a copy that shares nothing with s that either of them changes: engine models and the lists of requests
// never change.
func (s *Scheduler) clone() *Scheduler {
	c := &cloner{servers: map[*server]*server{}, jobs: map[*job]*job{}, vms: map[*vmEvidence]*vmEvidence{}, pairs: map[*pair]*pair{}, identities: map[*identity]*identity{}}
	copied := *s
	copied.fair.shares, c.accounts = s.fair.shares.Clone()
	copied.fair.identities = cloneMap(s.fair.identities, c.identity)
	copied.fair.refused.current, copied.fair.refused.older = maps.Clone(s.fair.refused.current), maps.Clone(s.fair.refused.older)
	copied.fair.requests, copied.fair.sorted, copied.fair.servers = nil, nil, map[string]int{} // buffers of a decision
	copied.servers = cloneMap(s.servers, c.server)
	copied.sortedServers = cloneSlice(s.sortedServers, c.server)
	copied.engines = cloneMap(s.engines, same)
	copied.queued = cloneSlice(s.queued, c.job)
	copied.queuedByID = cloneMap(s.queuedByID, c.job)
	copied.placed = cloneMap(s.placed, c.job)
	copied.placedByVM = cloneMap(s.placedByVM, func(jobs map[JobID]*job) map[JobID]*job { return cloneMap(jobs, c.job) })
	copied.decided = slices.Clone(s.decided)
	copied.starts = slices.Clone(s.starts)
	copied.paths = cloneMap(s.paths, func(path *pathLoss) *pathLoss {
		p := *path
		return &p
	})
	copied.lossyFrom = maps.Clone(s.lossyFrom)
	copied.slowdownChanges = slices.Clone(s.slowdownChanges)
	copied.placementRates = cloneMap(s.placementRates, func(rate *placementRate) *placementRate {
		r := *rate
		return &r
	})
	copied.vms = cloneMap(s.vms, c.vm)
	copied.succeededAt = cloneMap(s.succeededAt, same)
	copied.successes = cloneMap(s.successes, same)
	copied.credibilityChanges = slices.Clone(s.credibilityChanges)
	copied.serviceWarmUps = cloneMap(s.serviceWarmUps, same)
	copied.unlimited = cloneMap(s.unlimited, c.server)
	copied.rankings, copied.harmless, copied.harmful, copied.soonCandidates = map[rankingKey]*ranking{}, nil, nil, nil // buffers of a decision
	return &copied
}

func same[T any](v T) T { return v }

func cloneMap[K comparable, V any](m map[K]V, clone func(V) V) map[K]V {
	if m == nil {
		return nil
	}
	copied := make(map[K]V, len(m))
	for k, v := range m {
		copied[k] = clone(v)
	}
	return copied
}

func cloneSlice[T any](list []T, clone func(T) T) []T {
	if list == nil {
		return nil
	}
	copied := make([]T, len(list))
	for i := range list {
		copied[i] = clone(list[i])
	}
	return copied
}

func (c *cloner) server(srv *server) *server {
	if srv == nil {
		return nil
	}
	if copied := c.servers[srv]; copied != nil {
		return copied
	}
	copied := *srv
	c.servers[srv] = &copied
	if srv.limit != nil {
		limit := *srv.limit
		copied.limit = &limit
	}
	if srv.warmUp != nil {
		bound := *srv.warmUp
		copied.warmUp = &bound
	}
	copied.jobs = cloneMap(srv.jobs, c.job)
	copied.helping = cloneMap(srv.helping, func(h *helperJob) *helperJob { return &helperJob{job: c.job(h.job), tokens: h.tokens} })
	copied.headroom.server = c.server(srv.headroom.server)
	copied.headroom.lateRisks = cloneSlice(srv.headroom.lateRisks, func(r lateRisk) lateRisk {
		r.job = c.job(r.job)
		return r
	})
	part := func(p promptPart) promptPart {
		p.job = c.job(p.job)
		return p
	}
	copied.currentParts = cloneSlice(srv.currentParts, part)
	copied.nextParts = cloneSlice(srv.nextParts, part)
	copied.unconfirmedParts = cloneSlice(srv.unconfirmedParts, part)
	copied.lateEvents = slices.Clone(srv.lateEvents)
	copied.excludedBy = c.job(srv.excludedBy)
	if srv.accusers != nil {
		copied.accusers = make(map[*pair]bool, len(srv.accusers))
		for p, accuses := range srv.accusers {
			copied.accusers[c.pair(p)] = accuses
		}
	}
	return &copied
}

func (c *cloner) job(j *job) *job {
	if j == nil {
		return nil
	}
	if copied := c.jobs[j]; copied != nil {
		return copied
	}
	copied := *j
	c.jobs[j] = &copied
	copied.first = c.server(j.first)
	copied.helpers = cloneSlice(j.helpers, c.server)
	copied.fair.account, copied.fair.identity = c.accounts[j.fair.account], c.identity(j.fair.identity)
	return &copied
}

func (c *cloner) identity(id *identity) *identity {
	if id == nil {
		return nil
	}
	if copied := c.identities[id]; copied != nil {
		return copied
	}
	copied := *id
	c.identities[id] = &copied
	copied.first = c.job(id.first)
	return &copied
}

func (c *cloner) vm(vm *vmEvidence) *vmEvidence {
	if vm == nil {
		return nil
	}
	if copied := c.vms[vm]; copied != nil {
		return copied
	}
	copied := *vm
	c.vms[vm] = &copied
	copied.pairs = make(map[*server]*pair, len(vm.pairs))
	for srv, p := range vm.pairs {
		copied.pairs[c.server(srv)] = c.pair(p)
	}
	for i, outcomes := range vm.recent {
		if outcomes == nil {
			continue
		}
		copied.recent[i] = make(map[*server]recentOutcome, len(outcomes))
		for srv, outcome := range outcomes {
			copied.recent[i][c.server(srv)] = outcome
		}
	}
	return &copied
}

func (c *cloner) pair(p *pair) *pair {
	if p == nil {
		return nil
	}
	if copied := c.pairs[p]; copied != nil {
		return copied
	}
	copied := *p
	c.pairs[p] = &copied
	copied.vm, copied.server = c.vm(p.vm), c.server(p.server)
	return &copied
}
