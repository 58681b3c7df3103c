package capacity

import "time"

// moveDivisor is the part, as a divisor, of the time until its latest start
// that a request waits for the engine that was chosen first.
const moveDivisor = 4

// waitingRequest is a request in the queue of an engine.
type waitingRequest struct {
	request Request
	choices []Choice
	server  string
	asked   time.Time
}

// wait remembers a request that was neither granted nor refused at once.
func (s *State) wait(request Request, choices []Choice, server string, now time.Time) {
	s.waiting[request.Attempt] = &waitingRequest{request: request, choices: choices, server: server, asked: now}
}

// moveWaiting moves requests that have waited long for one engine to another
// that grants at once, preferred or not: so a long prompt does not miss its
// time in the queue of a busy engine beside an idle one.
func (s *State) moveWaiting(now time.Time) {
	for attempt, w := range s.waiting {
		engine, found := s.engines[w.server]
		if !found || !engine.core.IsQueued(attempt) {
			delete(s.waiting, attempt)
			continue
		}
		if now.Sub(w.asked) < w.request.LatestStart.Sub(w.asked)/moveDivisor {
			continue
		}
		if next := s.grantsNow(w); next != nil {
			engine.core.Withdraw(attempt)
			delete(s.waiting, attempt)
			request := w.request
			request.PrefillTokens = next.PrefillTokens
			s.engines[next.Server].core.Acquire(request, now)
			s.collect(next.Server, s.engines[next.Server])
		}
	}
}

// grantsNow returns the choice with the shortest wait among those that grant
// at once, or nil.
func (s *State) grantsNow(w *waitingRequest) *Choice {
	best := s.shortest(w.request, w.choices, true)
	if other := s.shortest(w.request, w.choices, false); other.before(best) {
		best = other
	}
	if best.choice == nil || !best.atOnce {
		return nil
	}
	return best.choice
}
