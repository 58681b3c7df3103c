package capacity

import "time"

// moveWaitDivisor sets how long a request stays queued for the first selected engine
// before it may move to another: the time until its latest start divided by this.
const moveWaitDivisor = 4

// queuedRequest is a request in the queue of an engine, with all its choices.
type queuedRequest struct {
	request  Request
	choices  []Choice
	server   string
	queuedAt time.Time
}

// trackQueued records a queued request, so that it can move to another engine.
func (s *State) trackQueued(request Request, choices []Choice, server string, now time.Time) {
	s.queued[request.Attempt] = &queuedRequest{request: request, choices: choices, server: server, queuedAt: now}
}

// moveQueued moves requests that have been queued for long to another engine that
// grants them immediately, preferred or not. Without these moves, a long prompt could miss
// its latest start in the queue of a busy engine while another engine is idle.
func (s *State) moveQueued(now time.Time) {
	for attempt, q := range s.queued {
		engine, found := s.engines[q.server]
		if !found || !engine.core.IsQueued(attempt) {
			delete(s.queued, attempt)
			continue
		}
		if now.Sub(q.queuedAt) < q.request.LatestStart.Sub(q.queuedAt)/moveWaitDivisor {
			continue
		}
		if next := s.bestImmediateChoice(q); next != nil {
			engine.core.Withdraw(attempt)
			delete(s.queued, attempt)
			request := q.request
			request.PrefillTokens = next.PrefillTokens
			s.engines[next.Server].core.Acquire(request, now)
			s.collectDecisions(next.Server, s.engines[next.Server])
		}
	}
}

// bestImmediateChoice returns the choice with the shortest wait among those that would
// grant the request immediately, or nil.
func (s *State) bestImmediateChoice(q *queuedRequest) *Choice {
	best := s.shortestWait(q.request, q.choices, true)
	if other := s.shortestWait(q.request, q.choices, false); other.isBetterThan(best) {
		best = other
	}
	if best.choice == nil || !best.immediate {
		return nil
	}
	return best.choice
}
