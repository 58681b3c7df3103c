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
	partShare = 0.3
	// mixPenalty is the delay that is accepted to keep streams with different
	// pause bounds on different servers.
	mixPenalty = 60 * time.Millisecond
	// idlePenalty is the delay that is accepted to keep a server free for long
	// prompts.
	idlePenalty = 15 * time.Millisecond
	// zonePenalty is the delay that is accepted to stay in the zone, where bytes
	// are not priced.
	zonePenalty = 3 * time.Millisecond
	// leastService is the shortest time in which a request can be served; one
	// that has less left is refused.
	leastService = 60 * time.Millisecond
	// wakeInterval is how soon waiting requests are looked at again.
	wakeInterval = 5 * time.Millisecond
)

// Decide places what fits now and refuses what can't be served any more.
func (s *Scheduler) Decide(now time.Time) []Placement {
	s.output = nil
	for _, one := range s.order {
		one.roll(now)
	}
	s.sortWaiting(now)
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		switch {
		case !now.Before(j.ask.GiveUpAt.Add(-leastService)):
			s.refuse(j, s.retryAfter(), "waited too long")
		case s.place(now, j):
		default:
			kept = append(kept, j)
		}
	}
	s.waiting = kept
	return s.output
}

// Wake returns when Decide is due again, zero when nothing waits.
func (s *Scheduler) Wake(now time.Time) time.Time {
	if len(s.waiting) == 0 {
		return time.Time{}
	}
	return now.Add(wakeInterval)
}

func (s *Scheduler) refuse(j *job, after time.Duration, reason string) {
	s.output = append(s.output, Placement{ID: j.ask.ID, RetryAfter: after, Reason: reason})
}

// retryAfter is when a place can be expected for a request that came now.
func (s *Scheduler) retryAfter() time.Duration {
	return time.Duration(500+50*min(len(s.waiting), 40)) * time.Millisecond
}

// sortWaiting orders by priority; then those that can still be on time, the
// most worth for a server's time first.
func (s *Scheduler) sortWaiting(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *job) int {
		if order := cmp.Compare(a.ask.Priority, b.ask.Priority); order != 0 {
			return order
		}
		lateA, lateB := now.After(a.ask.AimAt), now.After(b.ask.AimAt)
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
		return j.ask.Worth
	}
	writing := time.Duration(j.ask.AnswerTokens) * engine.Step / time.Duration(max(engine.Slots, 1))
	return j.ask.Worth / math.Max((j.read+writing).Seconds(), 1e-3)
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
		slots := s.slots(one)
		if len(one.jobs) >= slots {
			continue
		}
		load := float64(len(one.jobs)) / float64(slots)
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
	s.assign(now, j, best, nil)
	return true
}

func (s *Scheduler) slots(one *server) int {
	return max(1, int(math.Round(float64(one.Slots)*s.share)))
}

// placeEngine looks for the fewest servers that read the prompt in time and
// within the pause bounds of the streams beside it.
func (s *Scheduler) placeEngine(now time.Time, j *job) bool {
	rooms := s.rooms(now, j)
	late := now.After(j.ask.AimAt)
	longestPart := time.Duration(float64(j.ask.AimAt.Sub(j.since)) * partShare)
	for count := 1; count <= min(len(rooms), maxHelpers+1); count++ {
		piece := j.read / time.Duration(count)
		if count == 1 && j.read > 0 && piece > longestPart && len(rooms) > 1 && !late {
			continue
		}
		chosen, readyAt := s.choose(rooms, j, count, piece)
		if chosen == nil {
			continue
		}
		if !late && readyAt.After(j.ask.AimAt) && count < min(len(rooms), maxHelpers+1) {
			continue
		}
		if piece > longestPart && count < min(len(rooms), maxHelpers+1) {
			continue
		}
		s.assign(now, j, chosen[0], chosen[1:])
		return true
	}
	return false
}

// candidate is a server that could read a piece of a prompt.
type candidate struct {
	room
	cost time.Time
}

func (s *Scheduler) rooms(now time.Time, j *job) []candidate {
	rooms := make([]candidate, 0, len(s.order))
	for _, one := range s.order {
		if !one.available(now, j) {
			continue
		}
		r := one.roomAt(now)
		cost := r.readyAt
		switch {
		case len(one.jobs) == 0 && len(one.next) == 0:
			cost = cost.Add(idlePenalty)
		case r.bound != j.ask.Pause:
			cost = cost.Add(mixPenalty)
		}
		if one.Zone != j.ask.Zone {
			cost = cost.Add(zonePenalty)
		}
		rooms = append(rooms, candidate{room: r, cost: cost})
	}
	slices.SortStableFunc(rooms, func(a, b candidate) int { return a.cost.Compare(b.cost) })
	return rooms
}

// choose returns count servers that have room for a piece each, the first one
// with a slot and the memory, and when the last of them has read it.
func (s *Scheduler) choose(rooms []candidate, j *job, count int, piece time.Duration) ([]*server, time.Time) {
	var first *server
	var chosen []*server
	readyAt := time.Time{}
	for _, c := range rooms {
		if len(chosen) == count {
			break
		}
		one := c.server
		if one.scaled(piece) > c.read {
			continue
		}
		fits := len(one.jobs) < s.slots(one) && one.used()+j.tokens <= int(memoryShare*float64(one.engine.MemoryTokens))
		switch {
		case first == nil && fits:
			first = one
			chosen = append([]*server{one}, chosen...)
		case first == nil && len(chosen) == count-1, len(one.helping) >= one.Slots/2:
			continue
		default:
			chosen = append(chosen, one)
		}
		if ready := c.readyAt.Add(one.scaled(piece) + hop/2); ready.After(readyAt) {
			readyAt = ready
		}
	}
	if first == nil || len(chosen) < count {
		return nil, time.Time{}
	}
	return chosen, readyAt
}

// assign places a request and reports it.
func (s *Scheduler) assign(now time.Time, j *job, first *server, helpers []*server) {
	s.commit(now, j, first, helpers)
	placement := Placement{ID: j.ask.ID, Server: first.ID}
	for _, helper := range helpers {
		placement.Helpers = append(placement.Helpers, Helper{Server: helper.ID})
	}
	s.output = append(s.output, placement)
}

// commit books a request on its servers.
func (s *Scheduler) commit(now time.Time, j *job, first *server, helpers []*server) {
	s.placed[j.ask.ID] = j
	j.first, j.helpers, j.sentAt = first, helpers, now
	first.jobs[j.ask.ID] = j
	if first.engine == nil {
		return
	}
	j.unread = 1 + len(helpers)
	piece := j.read / time.Duration(j.unread)
	j.expectedAt = now
	for _, one := range append([]*server{first}, helpers...) {
		if one != first {
			if one.helping == nil {
				one.helping = map[JobID]*job{}
			}
			one.helping[j.ask.ID] = j
		}
		ready := one.roomAt(now).readyAt.Add(one.scaled(piece))
		if ready.After(j.expectedAt) {
			j.expectedAt = ready
		}
		one.next = append(one.next, part{job: j, duration: piece, arrivesAt: now.Add(hop)})
		one.roll(now)
	}
}
