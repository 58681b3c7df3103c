package schedule

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxHelpers is the maximum number of prefill helpers of one request.
	maxHelpers = 15
	// maxPartFraction is the longest prefill of one part of a prompt, as a
	// fraction of the time from queueing to the latency target.
	maxPartFraction = 0.6
	// mixPenalty is the delay that is accepted to keep streams with strict maximum
	// gaps and others on different servers.
	mixPenalty = 60 * time.Millisecond
	// strictGap is the maximum gap below which a stream counts as strict.
	strictGap = 400 * time.Millisecond
	// rankPenalty is the delay that is accepted to use a server one position
	// earlier in the order. Strict streams fill the servers from the first one on,
	// others from the last one on, so that they share servers only under high load.
	rankPenalty = 12 * time.Millisecond
	// nearlyFullPenalty is the delay that is accepted to keep spareSlotFraction of the slots of a
	// server free. It is longer than the sum of all other penalties on a large fleet, so that the
	// spare slots are used only once all other servers are as full.
	nearlyFullPenalty = 2 * time.Second
	// spareSlotFraction is the fraction of a server's slots that other schedulers, which place
	// requests while they don't reach this one, and requests that end later at the server than here
	// may use: on a server with more requests than slots, all further ones start late.
	spareSlotFraction = 1.0 / 6
	// minPartTime is the prefill time below which a prompt is not split further.
	minPartTime = 30 * time.Millisecond
	// maxLossFraction is the maximum loss of other requests, as a fraction of
	// what the placed request gains by being on time.
	maxLossFraction = 0.5
	// costlyAfterFraction is the fraction of the time to its latency target for
	// which a request waits for a placement without loss to others.
	costlyAfterFraction = 0.1
	// costlyInterval is the interval between two searches for a placement that
	// makes other requests late.
	costlyInterval = 40 * time.Millisecond
	// soloMemoryFraction is the fraction of a server's memory up to which one
	// server holds a request alone.
	soloMemoryFraction = 0.8
	// partMemoryFraction is the fraction of a server's memory that a part of a
	// larger request may use.
	partMemoryFraction = 0.5
	// memoryBlockTokens is the unit of memory reservations in tokens.
	memoryBlockTokens = 16
	// minServiceTime is the minimum time to serve a request, without the prefill
	// of its prompt.
	minServiceTime = 60 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refused request.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// decisionInterval is the interval between decisions while requests are queued, and
	// minDecisionInterval the minimum interval, however often requests change.
	decisionInterval    = 5 * time.Millisecond
	minDecisionInterval = 2 * time.Millisecond
)

// Decide places the queued requests that fit now and refuses those that can no
// longer be served in time. It returns the placements and refusals. It does nothing within
// minDecisionInterval of a decision that left requests in the queue.
func (s *Scheduler) Decide(now time.Time) []Placement {
	s.decided = nil
	s.dropLeft()
	if s.leftQueued && now.Sub(s.decidedAt) < minDecisionInterval {
		return nil
	}
	for _, srv := range s.sortedServers {
		s.decaySlowdown(now, srv)
		srv.advanceTo(now)
	}
	s.decidedAt, s.leftQueued = now, false
	if len(s.queued) == 0 {
		s.updateRates(now, nil)
		return nil
	}
	s.now = now
	hedges := s.takeHedges()
	s.refreshWarmUps(now)
	s.refreshLoss(now)
	s.sortQueued(now)
	s.refreshHeadrooms(now)
	s.invalidateRankings()
	kept := s.queued[:0]
	queues := map[queueKey]*queue{}
	limitedAhead := map[queueKey]int{} // requests that stay queued, by service and zones
	for _, j := range s.queued {
		key := j.queueKey()
		limitKey := queueKey{service: key.service, zones: key.zones}
		q := queues[key]
		if q == nil {
			q = &queue{key: key, rate: s.placementRate(key)}
			queues[key] = q
		}
		s.explained.noteQueue(j, q)
		timeLeft := j.request.StartDeadline.Add(-j.minTotalTime()).Sub(now)
		switch {
		case timeLeft <= 0:
			s.refuse(now, j, q, "waited too long")
		case s.place(now, j):
			q.addPlacement(now)
		case s.isExcess(j):
			s.refuse(now, j, q, "enough requests with its identity are queued")
		case s.limitWait(now, j, limitedAhead[limitKey]) > timeLeft:
			s.refuseLimited(now, j, q, limitedAhead[limitKey])
		case q.waitExceeds(now, timeLeft):
			s.refuse(now, j, q, "the queue is too long")
		default:
			q.ahead++
			limitedAhead[limitKey]++
			kept = append(kept, j)
		}
	}
	s.queued, s.leftQueued = kept, len(kept) > 0
	s.updateRates(now, queues)
	s.decideHedges(now, hedges)
	return s.decided
}

// minTotalTime returns the minimum time in which the request can be served. A
// request with less time left is refused.
func (j *job) minTotalTime() time.Duration {
	return minServiceTime + j.prefillTime/(maxHelpers+1)
}

// NextDecisionAt returns when Decide must be called again, zero if no request is
// queued.
func (s *Scheduler) NextDecisionAt(now time.Time) time.Time {
	if s.Queued() == 0 {
		return time.Time{}
	}
	if !now.After(s.decidedAt) {
		return now.Add(decisionInterval)
	}
	return s.decidedAt.Add(minDecisionInterval) // requests have changed since
}

// refuse adds a refusal to the results of Decide.
func (s *Scheduler) refuse(now time.Time, j *job, q *queue, reason string) {
	retryAfter := q.retryAfter(now)
	if s.fair.enabled {
		retryAfter = spreadRetryAfter(now, j, q.expectedWait(now))
	}
	s.addRefusal(now, j, retryAfter, s.describeRefusal(now, j, q, reason))
}

func (s *Scheduler) addRefusal(now time.Time, j *job, retryAfter time.Duration, reason string) {
	s.decided = append(s.decided, Placement{ID: j.request.ID, RetryAfter: retryAfter, Reason: reason})
	s.recordRefusal(now, j, retryAfter)
	s.leaveQueue(j)
	s.leaveIdentity(j)
}

// refuseLimited refuses a request that the limits of all servers of its service let through too late.
func (s *Scheduler) refuseLimited(now time.Time, j *job, q *queue, ahead int) {
	wait := s.limitWait(now, j, ahead)
	reason := fmt.Sprintf("the limits that all servers have named leave no request for %d ms", wait.Milliseconds())
	if s.coldServers > 0 {
		reason = fmt.Sprintf("the warm-ups of %d servers and the limits of others leave no request for %d ms", s.coldServers, wait.Milliseconds())
	}
	retryAfter := max(wait, minRetryAfter)
	if s.fair.enabled {
		retryAfter = spreadRetryAfter(now, j, wait)
	}
	s.addRefusal(now, j, retryAfter, s.describeRefusal(now, j, q, reason))
}

// describeRefusal returns the reason with what it was decided by, for the log.
func (s *Scheduler) describeRefusal(now time.Time, j *job, q *queue, reason string) string {
	servers, available, placed, slots := 0, 0, 0, 0
	for _, srv := range s.sortedServers {
		if srv.Service == j.request.Service && srv.isInZonesOf(j) {
			servers, placed, slots = servers+1, placed+len(srv.jobs), slots+srv.slotShare
			if srv.isAvailable(now) {
				available++
			}
		}
	}
	return fmt.Sprintf("%s: queued for %d ms, %d ahead of its size, expected wait %d ms by the placements of the last %d ms, %d of %d slots taken, %d of %d servers available",
		reason, now.Sub(j.queuedAt).Milliseconds(), q.ahead, q.expectedWait(now).Milliseconds(), q.key.rateWindow().Milliseconds(), placed, slots, available, servers) +
		s.describeShare(now, j, q)
}

// queueOrder is what decides on the position of a queued request.
type queueOrder struct {
	suspect, late   bool
	weightPerSecond float64
}

// sortQueued orders the queued requests by priority. Within a priority, those of entry
// VMs that are most likely cut off come last, because their attempts mostly hold slots in
// vain. Of the others, requests past their latency target come last. Otherwise requests with a higher weight per
// second of server time come first. While requests of several teams wait, their fair shares decide, too (sortByShares).
func (s *Scheduler) sortQueued(now time.Time) {
	if s.sortByShares(now) {
		return
	}
	for _, j := range s.queued {
		j.order = queueOrder{suspect: s.isSuspect(j), late: now.After(j.request.TargetAt), weightPerSecond: s.weightPerSecond(j)}
	}
	slices.SortStableFunc(s.queued, func(a, b *job) int {
		if order := cmp.Compare(a.request.Priority, b.request.Priority); order != 0 {
			return order
		}
		if order := compareBool(a.order.suspect, b.order.suspect); order != 0 {
			return order
		}
		if order := compareBool(a.order.late, b.order.late); order != 0 {
			return order
		}
		return cmp.Compare(b.order.weightPerSecond, a.order.weightPerSecond)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// weightPerSecond returns the weight of a request per second of server time.
func (s *Scheduler) weightPerSecond(j *job) float64 {
	if s.engines[j.request.Service] == nil {
		return j.request.Weight
	}
	return j.request.Weight / s.serverTime(j)
}

// place places a request if it fits now and reports whether it did.
func (s *Scheduler) place(now time.Time, j *job) bool {
	s.markExcluded(j)
	j.barred = s.barServers(now, j)
	s.noteCandidates(now, j)
	if s.placeUnmarked(now, j) {
		return true
	}
	if j.barred == 0 || !s.vms[j.request.ID.VM].suspect {
		return false
	}
	// The servers that the VM reaches have no capacity.
	s.unbarServers(j)
	j.barred = 0
	return s.placeUnmarked(now, j)
}

// placeUnmarked places a request on servers that are not marked for it.
func (s *Scheduler) placeUnmarked(now time.Time, j *job) bool {
	if s.engines[j.request.Service] == nil {
		return s.placePlain(now, j)
	}
	return s.placeEngine(now, j)
}

// placePlain places a request of a plain service on the server with the smallest
// fraction of its slots in use. Servers in the entry VM's zone are preferred if
// the fractions are almost equal.
func (s *Scheduler) placePlain(now time.Time, j *job) bool {
	var best *server
	bestLoad := math.Inf(1)
	for _, srv := range s.sortedServers {
		if !srv.canRun(now, j) {
			continue
		}
		if len(srv.jobs) >= srv.slotShare {
			continue
		}
		load := float64(len(srv.jobs)) / float64(srv.slotShare)
		if srv.Zone != j.request.Zone {
			load += 0.01
		}
		if s.isLossy(j.request.Zone, srv) {
			load += lossLoadPenalty
		}
		if srv.cold {
			load++ // after all warm servers with a free slot
		}
		if load < bestLoad {
			best, bestLoad = srv, load
		}
	}
	if best == nil {
		return false
	}
	s.assign(now, j, selection{first: best})
	return true
}

// placeEngine places a request on the smallest number of model engines that
// prefill the prompt by the latency target without making another request late.
// If no such servers exist, it allows other requests to become late if they lose
// much less than this request gains. Otherwise the request stays queued until it
// can no longer be on time, and is then placed on the smallest number of servers
// that prefill the prompt by its start deadline without loss to others.
func (s *Scheduler) placeEngine(now time.Time, j *job) bool {
	ranked := s.rank(j)
	if ranked.minFailed > 0 && j.prefillTime >= ranked.minFailed && now.Before(j.nextCostlyAt) {
		return false
	}
	candidates := ranked.candidates
	plan := planMemory(s.engines[j.request.Service].MemoryTokens, j.tokens)
	maxPart := time.Duration(float64(j.request.TargetAt.Sub(j.queuedAt)) * maxPartFraction)
	maxCount := min(len(candidates), maxHelpers+1, 1+plan.holders+int(j.prefillTime/minPartTime))
	minCount := max(1+plan.holders, min(maxCount, int((j.prefillTime+maxPart-1)/max(maxPart, 1))))
	var lateSelection selection
	for count := minCount; count <= maxCount; count++ {
		selected, found := s.selectServers(j, candidates, plan, count, j.prefillTime/time.Duration(count), 0)
		if !found || selected.readyAt.After(j.request.StartDeadline) {
			continue
		}
		if !selected.readyAt.After(j.request.TargetAt) {
			s.assign(now, j, selected)
			return true
		}
		if lateSelection.first == nil {
			lateSelection = selected
		}
	}
	if s.coldServers > 0 {
		if selected, found := s.selectInTime(j, candidates, plan, minCount, maxCount); found {
			s.assign(now, j, selected)
			return true
		}
	}
	if costly := s.selectCostly(now, j, candidates, plan, minCount, maxCount); costly.first != nil {
		s.assign(now, j, costly)
		return true
	}
	// A request that excludes most servers, or all in some zones, tells nothing about the next requests.
	excludesMost := len(j.request.AllowedZones) > 0 || 2*(len(j.request.Excluded)+j.barred) >= len(candidates)
	if lateSelection.first == nil && !excludesMost && (ranked.minFailed == 0 || j.prefillTime < ranked.minFailed) {
		ranked.minFailed = j.prefillTime
	}
	if lateSelection.first == nil || now.Before(j.request.TargetAt.Add(-partTimeOf(j, lateSelection))) {
		return false
	}
	s.assign(now, j, lateSelection)
	return true
}

// selectCostly returns the servers on which a request is on time with the least
// loss to others, bounded by maxLossFraction. It returns no servers before the
// request has been queued for a while (costlyAfterFraction) and until the next
// search is due.
func (s *Scheduler) selectCostly(now time.Time, j *job, candidates []candidate, plan memoryPlan,
	minCount, maxCount int) selection {
	if now.Sub(j.queuedAt) < time.Duration(float64(j.request.TargetAt.Sub(j.queuedAt))*costlyAfterFraction) ||
		now.Before(j.nextCostlyAt) {
		return selection{}
	}
	j.nextCostlyAt = now.Add(costlyInterval)
	best := selection{}
	budget := j.request.Weight * lateLossFraction * maxLossFraction
	for count := minCount; count <= maxCount; count++ {
		partTime := j.prefillTime / time.Duration(count)
		selected, found := s.selectServers(j, s.affordable(candidates, partTime, budget), plan, count, partTime, budget)
		if found && !selected.readyAt.After(j.request.TargetAt) && (best.first == nil || selected.loss < best.loss) {
			best = selected
		}
	}
	return best
}

// partTimeOf returns the prefill time of one server of the selection.
func partTimeOf(j *job, sel selection) time.Duration {
	return j.prefillTime / time.Duration(1+len(sel.helpers))
}

// candidate is a server that could prefill a part of a prompt.
type candidate struct {
	*headroom
	// cost is the estimated end of the server's next pass, plus rankPenalty for
	// each position in the order and mixPenalty where it applies.
	cost time.Time
	// loss is the loss of other requests, set by affordable.
	loss float64
}

// refreshHeadrooms updates the prefill capacity of every model engine that has changed.
func (s *Scheduler) refreshHeadrooms(now time.Time) {
	for _, srv := range s.sortedServers {
		if srv.engine != nil {
			srv.refreshHeadroom(now, s.maxPass())
		}
	}
}

// ranking lists the servers of one service from the best to the worst, either
// for requests with a strict maximum gap or for others.
type ranking struct {
	candidates []candidate
	// minFailed is the shortest prefill time of a request that did not fit since
	// the ranking was filled, 0 if all fitted. Requests with at least this prefill
	// time are not tried until their next costly search is due.
	minFailed time.Duration
}

// rankingKey identifies a ranking.
type rankingKey struct {
	service string
	strict  bool
	// lossyFrom is the zone of the requests' entry VMs if a path from there is lossy.
	lossyFrom string
}

// rank returns the ranking for a request. It is computed on first use in a
// decision and after each placement.
func (s *Scheduler) rank(j *job) *ranking {
	key := rankingKey{service: j.request.Service, strict: j.request.MaxGap < strictGap}
	if s.lossyFrom[j.request.Zone] {
		key.lossyFrom = j.request.Zone
	}
	r := s.rankings[key]
	if r == nil {
		r = &ranking{}
		s.rankings[key] = r
	}
	if len(r.candidates) == 0 {
		s.fillRanking(r, key)
	}
	return r
}

// fillRanking ranks the available servers of a service by cost.
func (s *Scheduler) fillRanking(r *ranking, key rankingKey) {
	r.minFailed = 0
	for i, srv := range s.sortedServers {
		if srv.Service != key.service || !srv.isAvailable(s.now) {
			continue
		}
		position := i
		if !key.strict {
			position = len(s.sortedServers) - 1 - i
		}
		cost := srv.headroom.readyAt.Add(time.Duration(position) * rankPenalty)
		if s.isLossy(key.lossyFrom, srv) {
			cost = cost.Add(lossPenalty)
		}
		if s.hasOnlySpareSlots(srv) {
			cost = cost.Add(nearlyFullPenalty)
		}
		if len(srv.jobs) > 0 && key.strict != (srv.headroom.maxGap < strictGap) {
			cost = cost.Add(mixPenalty)
		}
		if srv.cold {
			cost = cost.Add(s.coldPenalty())
		}
		r.candidates = append(r.candidates, candidate{headroom: &srv.headroom, cost: cost})
	}
	slices.SortFunc(r.candidates, func(a, b candidate) int { return a.cost.Compare(b.cost) })
}

// hasOnlySpareSlots reports whether a model engine has only its spare slots left. A scheduler that has
// a share of the slots leaves the others free anyway.
func (s *Scheduler) hasOnlySpareSlots(srv *server) bool {
	if !s.hasTightGaps || s.fraction < 1 || srv.engine == nil {
		return false
	}
	spare := int(float64(srv.slotShare) * spareSlotFraction)
	return len(srv.jobs) >= srv.slotShare-spare
}

// invalidateRankings invalidates all rankings, so that rank computes them again.
func (s *Scheduler) invalidateRankings() {
	for _, r := range s.rankings {
		r.candidates = r.candidates[:0]
	}
}

// markExcluded marks the servers that the request excludes. A mark of another request is overwritten, so that the marks
// hold until the next call.
func (s *Scheduler) markExcluded(j *job) {
	for _, id := range j.request.Excluded {
		if srv := s.servers[id]; srv != nil {
			srv.excludedBy = j
		}
	}
}

// selection is a selection of servers for a request. first is nil in an empty one.
type selection struct {
	first   *server
	helpers []Helper
	// readyAt is the estimated time at which the last of the servers has prefilled
	// its part and sent the result.
	readyAt time.Time
	// partTime is the prefill time of one part, without the servers' slowdown.
	partTime time.Duration
	// loss is the weight that other requests lose by becoming late.
	loss float64
}

// affordable returns the candidates that may prefill a part of the given duration without
// a loss of other requests over budget, sorted by that loss. The result is valid until the
// next call.
func (s *Scheduler) affordable(candidates []candidate, partTime time.Duration, budget float64) []candidate {
	harmless, harmful := s.harmless[:0], s.harmful[:0]
	for i := range candidates {
		c := candidates[i]
		prefill := c.server.scaled(partTime)
		if prefill <= c.maxHarmless {
			harmless = append(harmless, c)
			continue
		}
		if prefill > c.maxPrefill {
			continue
		}
		if c.loss = c.lossOf(prefill); c.loss <= budget {
			harmful = append(harmful, c)
		}
	}
	slices.SortStableFunc(harmful, func(a, b candidate) int { return cmp.Compare(a.loss, b.loss) })
	harmless = append(harmless, harmful...)
	s.harmless, s.harmful = harmless, harmful
	return harmless
}

// selectServers selects count servers with the capacity to prefill one part each.
// The first server also needs a slot, and the servers that hold a part of the
// request's memory need that much free memory. Servers that markExcluded has marked
// for the request are skipped. The loss of other requests is at most budget. It
// returns false if there are not enough such servers.
func (s *Scheduler) selectServers(j *job, candidates []candidate, plan memoryPlan, count int,
	partTime time.Duration, budget float64) (selection, bool) {
	result := selection{partTime: partTime}
	holders := 0
	for i := range candidates {
		c := &candidates[i]
		srv := c.server
		prefill := srv.scaled(partTime)
		if srv.isBarred(j) || prefill > c.maxPrefill || budget == 0 && prefill > c.maxHarmless {
			continue
		}
		loss := 0.0
		if prefill > c.maxHarmless {
			if loss = c.lossOf(prefill); result.loss+loss > budget {
				continue
			}
		}
		switch {
		case result.first == nil && len(srv.jobs) < srv.slotShare && c.freeTokens >= plan.first:
			result.first = srv
		case len(result.helpers) == count-1 || !srv.canHelp():
			continue
		case holders < plan.holders && c.freeTokens >= plan.perHolder:
			holders++
			result.helpers = append(result.helpers, Helper{Server: srv.ID, ReserveTokens: plan.perHolder})
		case count-1-len(result.helpers) > plan.holders-holders:
			result.helpers = append(result.helpers, Helper{Server: srv.ID})
		default:
			continue
		}
		result.loss += loss
		if ready := c.readyAt.Add(prefill + transitTime/2); ready.After(result.readyAt) {
			result.readyAt = ready
		}
		if result.first != nil && len(result.helpers) == count-1 {
			return result, true
		}
	}
	return selection{}, false
}

// assign commits a request to the selected servers and adds the placement to the
// results of Decide.
func (s *Scheduler) assign(now time.Time, j *job, sel selection) {
	j.late = now.After(j.request.TargetAt) || sel.readyAt.After(j.request.TargetAt) // not placed yet: no server knows it
	if sel.loss > 0 {
		sel.first.headroom.markLate(sel.first.scaled(sel.partTime))
		for _, helper := range sel.helpers {
			srv := s.servers[helper.Server]
			srv.headroom.markLate(srv.scaled(sel.partTime))
		}
	}
	s.chargeShare(now, j)
	s.leaveQueue(j)
	s.commit(now, j, sel.first, sel.helpers)
	sel.first.countWarmUp(now, false)
	s.invalidateRankings()
	s.decided = append(s.decided, Placement{ID: j.request.ID, Server: sel.first.ID, Helpers: sel.helpers})
}

// commit records a request on its servers and in their estimates.
func (s *Scheduler) commit(now time.Time, j *job, first *server, helpers []Helper) {
	s.placed[j.request.ID] = j
	byVM := s.placedByVM[j.request.ID.VM]
	if byVM == nil {
		byVM = map[JobID]*job{}
		s.placedByVM[j.request.ID.VM] = byVM
	}
	byVM[j.request.ID] = j
	j.first, j.sentAt, j.firstTokens = first, now, j.tokens
	first.jobs[j.request.ID] = j
	if first.limit != nil {
		first.limit.take(now)
	}
	if first.engine == nil {
		return
	}
	prefillServers := []*server{first}
	for _, helper := range helpers {
		srv := s.servers[helper.Server]
		if srv == nil {
			continue
		}
		j.helpers = append(j.helpers, srv)
		srv.countWarmUp(now, false)
		srv.helping[j.request.ID] = &helperJob{job: j, tokens: helper.ReserveTokens}
		j.firstTokens -= helper.ReserveTokens
		prefillServers = append(prefillServers, srv)
	}
	j.unfinishedParts = len(prefillServers)
	partTime := j.prefillTime / time.Duration(j.unfinishedParts)
	j.expectedAt = now
	for _, srv := range prefillServers {
		srv.headroom = srv.headroomAt(now, s.maxPass())
		if ready := srv.headroom.readyAt.Add(srv.scaled(partTime)); ready.After(j.expectedAt) {
			j.expectedAt = ready
		}
		srv.prefillPlaced += partTime
		srv.nextParts = append(srv.nextParts, promptPart{job: j, duration: partTime, arrivesAt: now.Add(transitTime)})
		srv.advanceTo(now)
		srv.headroom = srv.headroomAt(now, s.maxPass())
	}
	j.prefillPlacedBefore = first.prefillPlaced
}
