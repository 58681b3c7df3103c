package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxHelpers is the most servers that may help one request.
	maxHelpers = 15
	// partShare is the longest part of a prompt that one server reads, as a part
	// of the time in which the answer must begin.
	partShare = 0.6
	// mixPenalty is the delay that is accepted to keep streams with different
	// pause bounds on different servers.
	mixPenalty = 60 * time.Millisecond
	// mixBound parts streams with strict pause bounds from others.
	mixBound = 400 * time.Millisecond
	// rankPenalty is the delay that is accepted to take a server one place
	// earlier in the order: strict streams fill the servers from the first on,
	// others from the last on, so that both keep apart as long as there is room.
	rankPenalty = 12 * time.Millisecond
	// shortestPart is the reading below which a prompt is not split further.
	shortestPart = 30 * time.Millisecond
	// harmShare is the part of what a request gains that others may lose to it.
	harmShare = 0.5
	// harmAfter is the part of its time that a request waits for a place without
	// harm to others before it takes one with.
	harmAfter = 0.1
	// costlyInterval is how often such a place is looked for.
	costlyInterval = 40 * time.Millisecond
	// soloShare is the part of a server's memory up to which a request is held
	// by one server.
	soloShare = 0.8
	// partMemoryShare is the part of a server's memory that a piece of a larger
	// one may take.
	partMemoryShare = 0.5
	// memoryBlock is the unit in tokens in which memory is reserved.
	memoryBlock = 16
	// shortestService is the shortest time in which a request is served, beside
	// the reading of its prompt.
	shortestService = 60 * time.Millisecond
	// shortestRetry and longestRetry bound when a refused request may come back.
	shortestRetry = 300 * time.Millisecond
	longestRetry  = 4 * time.Second
	// wakeInterval is how soon waiting requests are looked at again.
	wakeInterval = 5 * time.Millisecond
)

// Decide places what fits now and refuses what can't be served any more.
func (s *Scheduler) Decide(now time.Time) []Placement {
	s.output = nil
	for _, one := range s.order {
		one.roll(now)
	}
	if len(s.waiting) == 0 {
		s.followQueues(now, nil)
		return nil
	}
	s.now = now
	s.sortWaiting(now)
	s.refreshRooms(now)
	s.forgetRankings()
	kept := s.waiting[:0]
	queues := map[queueKey]*queue{}
	for _, j := range s.waiting {
		key := j.queueKey()
		q := queues[key]
		if q == nil {
			q = &queue{key: key, rate: s.throughput(key)}
			queues[key] = q
		}
		left := j.ask.StartDeadline.Add(-j.leastService()).Sub(now)
		switch {
		case left <= 0:
			s.refuse(j, q.retryAfter(now), "waited too long")
		case s.place(now, j):
			q.rate.add(now)
		case q.tooLong(now, left):
			s.refuse(j, q.retryAfter(now), "the queue is too long")
		default:
			q.ahead++
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	s.followQueues(now, queues)
	return s.output
}

// leastService is the shortest time in which the request can be served: one that
// has less left is refused.
func (j *job) leastService() time.Duration {
	return shortestService + j.read/(maxHelpers+1)
}

// NextDecisionAt returns when Decide is due again, zero when nothing waits.
func (s *Scheduler) NextDecisionAt(now time.Time) time.Time {
	if len(s.waiting) == 0 {
		return time.Time{}
	}
	return now.Add(wakeInterval)
}

func (s *Scheduler) refuse(j *job, after time.Duration, reason string) {
	s.output = append(s.output, Placement{ID: j.ask.ID, RetryAfter: after, Reason: reason})
}

// sortWaiting orders by priority; then those that can still be on time, the
// most worth for a server's time first.
func (s *Scheduler) sortWaiting(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *job) int {
		if order := cmp.Compare(a.ask.Priority, b.ask.Priority); order != 0 {
			return order
		}
		lateA, lateB := now.After(a.ask.TargetAt), now.After(b.ask.TargetAt)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return cmp.Compare(s.density(b), s.density(a))
	})
}

// density is the worth of a request for the server time that it takes.
func (s *Scheduler) density(j *job) float64 {
	engine := s.engines[j.ask.Service]
	if engine == nil {
		return j.ask.Weight
	}
	writing := time.Duration(j.ask.AnswerTokens) * engine.StepTime / time.Duration(max(engine.Slots, 1))
	return j.ask.Weight / math.Max((j.read+writing).Seconds(), 1e-3)
}

// place puts a request on servers if it fits now.
func (s *Scheduler) place(now time.Time, j *job) bool {
	if s.engines[j.ask.Service] == nil {
		return s.placePlain(now, j)
	}
	return s.placeEngine(now, j)
}

// placePlain takes the server with the smallest part of its slots in use.
func (s *Scheduler) placePlain(now time.Time, j *job) bool {
	var best *server
	bestLoad := math.Inf(1)
	for _, one := range s.order {
		if !one.available(now, j) {
			continue
		}
		if len(one.jobs) >= one.share {
			continue
		}
		load := float64(len(one.jobs)) / float64(one.share)
		if one.Zone != j.ask.Zone {
			load += 0.01
		}
		if load < bestLoad {
			best, bestLoad = one, load
		}
	}
	if best == nil {
		return false
	}
	s.assign(now, j, choice{first: best})
	return true
}

// placeEngine takes the fewest servers that read the prompt in time without
// making any other request late. Where there are none, it weighs what others
// would lose against what this one gains; and where the request can't be in
// time at all, it takes the fewest that can read it without harm.
func (s *Scheduler) placeEngine(now time.Time, j *job) bool {
	ranked := s.rank(j)
	if ranked.failed > 0 && j.read >= ranked.failed && now.Before(j.costlyAt) {
		return false
	}
	candidates := s.candidates(ranked, j)
	plan := planMemory(s.engines[j.ask.Service].MemoryTokens, j.tokens)
	longestPart := time.Duration(float64(j.ask.TargetAt.Sub(j.since)) * partShare)
	most := min(len(candidates), maxHelpers+1, 1+plan.holders+int(j.read/shortestPart))
	fewest := max(1+plan.holders, min(most, int((j.read+longestPart-1)/max(longestPart, 1))))
	var late choice
	for count := fewest; count <= most; count++ {
		chosen, found := s.choose(candidates, plan, count, j.read/time.Duration(count), 0)
		if !found || chosen.readyAt.After(j.ask.StartDeadline) {
			continue
		}
		if !chosen.readyAt.After(j.ask.TargetAt) {
			s.assign(now, j, chosen)
			return true
		}
		if late.first == nil {
			late = chosen
		}
	}
	if costly := s.chooseCostly(now, j, candidates, plan, fewest, most); costly.first != nil {
		s.assign(now, j, costly)
		return true
	}
	if late.first == nil && (ranked.failed == 0 || j.read < ranked.failed) {
		ranked.failed = j.read
	}
	if late.first == nil || now.Before(j.ask.TargetAt.Add(-piecesOf(j, late))) {
		return false
	}
	s.assign(now, j, late)
	return true
}

// chooseCostly returns the servers on which a request that has waited for a
// while is in time with the least loss to others, well below what it gains.
func (s *Scheduler) chooseCostly(now time.Time, j *job, candidates []candidate, plan memoryPlan, fewest, most int) choice {
	if now.Sub(j.since) < time.Duration(float64(j.ask.TargetAt.Sub(j.since))*harmAfter) || now.Before(j.costlyAt) {
		return choice{}
	}
	j.costlyAt = now.Add(costlyInterval)
	best := choice{}
	for count := fewest; count <= most; count++ {
		piece := j.read / time.Duration(count)
		chosen, found := s.choose(byLoss(candidates, piece), plan, count, piece, j.ask.Weight*lateLoss*harmShare)
		if found && !chosen.readyAt.After(j.ask.TargetAt) && (best.first == nil || chosen.loss < best.loss) {
			best = chosen
		}
	}
	return best
}

// piecesOf is how long the servers of a choice read.
func piecesOf(j *job, c choice) time.Duration {
	return j.read / time.Duration(1+len(c.helpers))
}

// candidate is a server that could read a piece of a prompt.
type candidate struct {
	*room
	// cost is when it would be ready, with the penalties of the choice.
	cost time.Time
}

// refreshRooms computes what every model server could read now.
func (s *Scheduler) refreshRooms(now time.Time) {
	for _, one := range s.order {
		if one.engine != nil {
			one.room = one.roomAt(now)
		}
	}
}

// ranking lists the servers of one service from the best to the worst, for
// requests with a strict pause bound or for others.
type ranking struct {
	candidates []candidate
	// failed is the shortest reading that found no place since the last one did;
	// longer ones need not be tried.
	failed time.Duration
}

// rankingKey names a ranking.
type rankingKey struct {
	service string
	strict  bool
}

// rank returns the ranking for a request, made when first needed in a decision.
func (s *Scheduler) rank(j *job) *ranking {
	key := rankingKey{service: j.ask.Service, strict: j.ask.MaxGap < mixBound}
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

func (s *Scheduler) fillRanking(r *ranking, key rankingKey) {
	r.failed = 0
	for i, one := range s.order {
		if one.Service != key.service || !one.takesNew(s.now) {
			continue
		}
		place := i
		if !key.strict {
			place = len(s.order) - 1 - i
		}
		cost := one.room.readyAt.Add(time.Duration(place) * rankPenalty)
		if len(one.jobs) > 0 && key.strict != (one.room.bound < mixBound) {
			cost = cost.Add(mixPenalty)
		}
		r.candidates = append(r.candidates, candidate{room: &one.room, cost: cost})
	}
	slices.SortFunc(r.candidates, func(a, b candidate) int { return a.cost.Compare(b.cost) })
}

// forgetRankings makes the next request rank the servers anew.
func (s *Scheduler) forgetRankings() {
	for _, r := range s.rankings {
		r.candidates = r.candidates[:0]
	}
}

// candidates returns the ranked servers without those that failed the request.
func (s *Scheduler) candidates(r *ranking, j *job) []candidate {
	if len(j.ask.Excluded) == 0 {
		return r.candidates
	}
	return slices.DeleteFunc(slices.Clone(r.candidates), func(c candidate) bool {
		return slices.Contains(j.ask.Excluded, c.server.ID)
	})
}

// choice is a set of servers for a request.
type choice struct {
	first   *server
	helpers []Helper
	// readyAt is when the last of them has read its piece.
	readyAt time.Time
	piece   time.Duration
	// loss is the worth of other requests that this makes late.
	loss float64
}

// byLoss orders servers by what others lose there.
func byLoss(candidates []candidate, piece time.Duration) []candidate {
	ordered := slices.Clone(candidates)
	slices.SortStableFunc(ordered, func(a, b candidate) int {
		return cmp.Compare(a.lossOf(a.server.scaled(piece)), b.lossOf(b.server.scaled(piece)))
	})
	return ordered
}

// choose returns count servers that have room for a piece each, the first one
// with a slot, and those that hold a part of the context with the memory.
// The loss of the requests beside it stays within budget.
func (s *Scheduler) choose(candidates []candidate, plan memoryPlan, count int, piece time.Duration, budget float64) (choice, bool) {
	result := choice{piece: piece}
	holders := 0
	for i := range candidates {
		c := &candidates[i]
		one := c.server
		reading := one.scaled(piece)
		if reading > c.longest || budget == 0 && reading > c.harmless {
			continue
		}
		loss := 0.0
		if reading > c.harmless {
			if loss = c.lossOf(reading); result.loss+loss > budget {
				continue
			}
		}
		switch {
		case result.first == nil && len(one.jobs) < one.share && c.free >= plan.first:
			result.first = one
		case len(result.helpers) == count-1 || len(one.helping) >= one.Slots/2:
			continue
		case holders < plan.holders && c.free >= plan.each:
			holders++
			result.helpers = append(result.helpers, Helper{Server: one.ID, ReserveTokens: plan.each})
		case count-1-len(result.helpers) > plan.holders-holders:
			result.helpers = append(result.helpers, Helper{Server: one.ID})
		default:
			continue
		}
		result.loss += loss
		if ready := c.readyAt.Add(reading + hop/2); ready.After(result.readyAt) {
			result.readyAt = ready
		}
		if result.first != nil && len(result.helpers) == count-1 {
			return result, true
		}
	}
	return choice{}, false
}

// assign places a request and reports it.
func (s *Scheduler) assign(now time.Time, j *job, c choice) {
	j.late = now.After(j.ask.TargetAt) || c.readyAt.After(j.ask.TargetAt)
	if c.loss > 0 {
		c.first.room.accept(c.first.scaled(c.piece))
		for _, helper := range c.helpers {
			one := s.servers[helper.Server]
			one.room.accept(one.scaled(c.piece))
		}
	}
	s.commit(now, j, c.first, c.helpers)
	s.forgetRankings()
	s.output = append(s.output, Placement{ID: j.ask.ID, Server: c.first.ID, Helpers: c.helpers})
}

// commit books a request on its servers.
func (s *Scheduler) commit(now time.Time, j *job, first *server, helpers []Helper) {
	s.placed[j.ask.ID] = j
	j.first, j.sentAt, j.firstTokens = first, now, j.tokens
	first.jobs[j.ask.ID] = j
	if first.engine == nil {
		return
	}
	readers := []*server{first}
	for _, helper := range helpers {
		one := s.servers[helper.Server]
		if one == nil {
			continue
		}
		j.helpers = append(j.helpers, one)
		one.helping[j.ask.ID] = &help{job: j, tokens: helper.ReserveTokens}
		j.firstTokens -= helper.ReserveTokens
		readers = append(readers, one)
	}
	j.unread = len(readers)
	piece := j.read / time.Duration(j.unread)
	j.expectedAt = now
	for _, one := range readers {
		one.room = one.roomAt(now)
		if ready := one.room.readyAt.Add(one.scaled(piece)); ready.After(j.expectedAt) {
			j.expectedAt = ready
		}
		one.next = append(one.next, part{job: j, duration: piece, arrivesAt: now.Add(hop)})
		one.roll(now)
		one.room = one.roomAt(now)
	}
}
