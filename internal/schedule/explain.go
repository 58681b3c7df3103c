package schedule

import (
	"fmt"
	"slices"
	"time"
)

// Explanation tells where a request would be placed now, and why. It holds figures and text for operators; times are in
// milliseconds from the time of the explanation.
type Explanation struct {
	// Server is the server on which the request would be placed, empty if it would be refused or queued.
	Server  string   `json:"server,omitempty"`
	Helpers []string `json:"helpers,omitempty"`
	// Refusal is the reason of a refusal, with its RetryAfterMs; it is empty if the request would be placed or queued.
	Refusal      string `json:"refusal,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	// Queued is set if the request would wait for a server.
	Queued bool  `json:"queued"`
	Queue  Queue `json:"queue"`
	// Candidates are the servers of the service by id, empty if the request would be refused before any is looked at.
	Candidates []Candidate `json:"candidates"`
}

// Queue is the queue of the service of an explained request.
type Queue struct {
	// Waiting is the number of requests of the service that wait, Ahead that of those which are looked at before the request
	// and have about its size.
	Waiting        int   `json:"waiting"`
	Ahead          int   `json:"ahead"`
	ExpectedWaitMs int64 `json:"expected_wait_ms"`
	// SlotsTaken and Slots are those of all servers of the service.
	SlotsTaken int `json:"slots_taken"`
	Slots      int `json:"slots"`
}

// Candidate is a server that was looked at for an explained request.
type Candidate struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	Taken  int    `json:"slots_taken"`
	Slots  int    `json:"slots"`
	// ReadyMs is the time until the server would have prefilled the whole prompt by the estimate, of a model server.
	ReadyMs int64 `json:"ready_ms,omitempty"`
	// ColdMs is the time until the end of the warm-up of the server.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// Role is "first" for the server that would run the request, "helper" for one that would prefill a part of its prompt.
	Role string `json:"role,omitempty"`
	// PassedOver is the reason why the server would get no part of the request.
	PassedOver string `json:"passed_over,omitempty"`
}

// explanation collects what is explained of one request in a decision.
type explanation struct {
	job        *job
	candidates []Candidate
	queue      *queue
	ahead      int
}

// Explain returns where the request would be placed now. It makes the decision on a copy of the scheduler, which itself does
// not change. The copy takes time in proportion to all servers and requests. The sequence number of the request is ignored.
func (s *Scheduler) Explain(now time.Time, request PlacementRequest) Explanation {
	request.ID.Seq = 0 // the requests of entry VMs begin at 1
	c := s.clone()
	c.leftQueued = false // the next decision is not put off
	c.Enqueue(now, request)
	e := &explanation{job: c.queued[len(c.queued)-1]}
	c.explained = e
	decided := c.Decide(now)
	result := Explanation{Queued: true, Queue: c.explainQueue(now, request.Service, e)}
	for _, placement := range decided {
		if placement.ID != request.ID {
			continue
		}
		result.Queued, result.Server, result.Refusal, result.RetryAfterMs = false, placement.Server, placement.Reason, placement.RetryAfter.Milliseconds()
		for _, helper := range placement.Helpers {
			result.Helpers = append(result.Helpers, helper.Server)
		}
	}
	for _, candidate := range e.candidates {
		switch {
		case candidate.Server == result.Server:
			candidate.Role, candidate.PassedOver = "first", ""
		case slices.Contains(result.Helpers, candidate.Server):
			candidate.Role, candidate.PassedOver = "helper", ""
		case candidate.PassedOver == "" && result.Server != "":
			candidate.PassedOver = "another server ranks before it: by the end of its pass, its other streams and its place in the order"
		case candidate.PassedOver == "" && result.Queued:
			candidate.PassedOver = "later than the latency target; the request waits for a server in time while it can"
		}
		result.Candidates = append(result.Candidates, candidate)
	}
	return result
}

// explainQueue returns the queue of a service after the decision that is explained.
func (s *Scheduler) explainQueue(now time.Time, service string, e *explanation) Queue {
	result := Queue{Ahead: e.ahead}
	for _, j := range s.queued {
		if j.request.Service == service && j != e.job {
			result.Waiting++
		}
	}
	if e.queue != nil {
		ahead := *e.queue
		ahead.ahead, ahead.perSecond = e.ahead, 0
		if e.ahead > 0 {
			result.ExpectedWaitMs = ahead.expectedWait(now).Milliseconds()
		}
	}
	for _, srv := range s.sortedServers {
		if srv.Service == service {
			result.SlotsTaken, result.Slots = result.SlotsTaken+len(srv.jobs), result.Slots+srv.slotShare
		}
	}
	if e.job.first != nil {
		result.SlotsTaken-- // that of the request itself
	}
	return result
}

// noteQueue records the queue of the explained request as the decision has reached it.
func (e *explanation) noteQueue(j *job, q *queue) {
	if e != nil && e.job == j {
		e.queue, e.ahead = q, q.ahead
	}
}

// noteCandidates records the servers of the service of the explained request, for which servers are marked.
func (s *Scheduler) noteCandidates(now time.Time, j *job) {
	if s.explained == nil || s.explained.job != j {
		return
	}
	for _, srv := range s.sortedServers {
		if srv.Service != j.request.Service {
			continue
		}
		candidate := Candidate{
			Server: srv.ID, Zone: srv.Zone, Taken: len(srv.jobs), Slots: srv.slotShare, ColdMs: max(0, srv.ColdUntil.Sub(now).Milliseconds()),
			PassedOver: srv.unusable(now, j),
		}
		if srv.engine != nil {
			h := &srv.headroom
			ready := h.readyAt.Add(srv.scaled(j.prefillTime) + transitTime/2)
			candidate.ReadyMs = ready.Sub(now).Milliseconds()
			if candidate.PassedOver == "" {
				candidate.PassedOver = srv.misfit(j, h, ready)
			}
		}
		s.explained.candidates = append(s.explained.candidates, candidate)
	}
}

// unusable returns why the server may not get the request at all, empty if it may.
func (srv *server) unusable(now time.Time, j *job) string {
	left := func(until time.Time) int64 { return until.Sub(now).Milliseconds() }
	switch {
	case !srv.EvacuatedSince.IsZero():
		return fmt.Sprintf("its zone %s is evacuated since %s", srv.Zone, srv.EvacuatedSince.UTC().Format(time.RFC3339))
	case !srv.AcceptsNew:
		return "accepts no new requests: it drains or is silent"
	case !srv.isInZonesOf(j):
		return fmt.Sprintf("its zone %s is in no allowed region: only servers in the zones %q may get the request", srv.Zone, j.request.AllowedZones)
	case now.Before(srv.ejectedUntil):
		return fmt.Sprintf("ejected for %d ms: it rejected a request or fails more often than others", left(srv.ejectedUntil))
	case now.Before(srv.downUntil):
		return fmt.Sprintf("in backoff for %d ms after failures", left(srv.downUntil))
	case !srv.isReachable(now):
		return "was unreachable, and gets one request at a time until it has answered"
	case srv.cold && !srv.warmUp.has(now):
		return "cold: what it takes during its warm-up is used up"
	case !srv.hasRequestsLeft(now):
		return fmt.Sprintf("limited: what it states to take, %g requests per second, is used up", srv.MaxPerSecond)
	case srv.excludedBy == j:
		return "excluded: it wants no requests from the entry VM, or that VM failed to reach it"
	case len(srv.jobs) >= srv.slotShare && srv.slotShare < srv.Slots:
		return fmt.Sprintf("full: %d slots are taken of the %d that this VM may use of %d", len(srv.jobs), srv.slotShare, srv.Slots)
	case len(srv.jobs) >= srv.slotShare:
		return fmt.Sprintf("full: %d of %d slots are taken", len(srv.jobs), srv.slotShare)
	case j.request.Hedge && !srv.mayHedge(now, j):
		return "takes no hedges: it is cold, limited or was unreachable"
	}
	return ""
}

// misfit returns why the whole prompt does not fit on a model server with the given headroom, empty if it does. A part of the
// prompt may fit all the same.
func (srv *server) misfit(j *job, h *headroom, ready time.Time) string {
	prefill := srv.scaled(j.prefillTime)
	plan := planMemory(srv.engine.MemoryTokens, j.tokens)
	switch {
	case h.freeTokens < plan.first:
		return fmt.Sprintf("full: %d tokens of memory are free, the request needs %d there", max(0, h.freeTokens), plan.first)
	case prefill > h.maxPrefill:
		return fmt.Sprintf("slower: a pass with the prompt takes %d ms more, its streams allow %d ms", prefill.Milliseconds(), max(0, h.maxPrefill).Milliseconds())
	case prefill > h.maxHarmless:
		return fmt.Sprintf("would make another request late: the prompt takes %d ms, %d ms harm none", prefill.Milliseconds(), max(0, h.maxHarmless).Milliseconds())
	case ready.After(j.request.StartDeadline):
		return "slower: it would answer after the time for which the caller waits"
	}
	return ""
}
