package hub

import (
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

// queuedRequest is a request that waits for placement.
type queuedRequest struct {
	request schedule.PlacementRequest
	// reply has a capacity of one, for the only placement that is delivered.
	reply chan schedule.Placement
	// remote is set if the request waits for the leader's scheduler rather than for
	// this VM's own.
	remote bool
	// requestedAt is when the request was last handed to one of the schedulers.
	requestedAt time.Time
	// sent is set when the request has been sent to the attached control VM.
	sent bool
}

// runningRequest is a placed request that has not finished.
type runningRequest struct {
	request   schedule.PlacementRequest
	placement schedule.Placement
	decoding  bool
}

// placementRequested asks for a placement. The result is sent on reply.
type placementRequested struct {
	request schedule.PlacementRequest
	reply   chan schedule.Placement
}

func (m placementRequested) handle(s *linkState, now time.Time) {
	q := &queuedRequest{request: m.request, reply: m.reply}
	s.queued[m.request.ID] = q
	s.requestPlacement(q, now)
}

// requestPlacement hands a request to the leader's scheduler, or to this VM's own
// while the leader's is unreachable or unresponsive. A request that was already
// sent to the attached control VM is not sent again.
func (s *linkState) requestPlacement(q *queuedRequest, now time.Time) {
	q.remote, q.requestedAt = s.schedulerAttached && !s.schedulerSuspect || s.move.isHolding(now), now
	if !q.remote {
		s.local.Enqueue(now, q.request)
		return
	}
	if !q.sent && s.schedulerAttached {
		s.pending().Asks = append(s.pending().Asks, requestToProto(q.request, now))
		q.sent = true
	}
}

// requestStarted reports the first event of a placed request.
type requestStarted struct{ id schedule.JobID }

func (m requestStarted) handle(s *linkState, now time.Time) {
	s.local.MarkStarted(now, m.id)
	if run := s.running[m.id]; run != nil {
		run.decoding = true
		s.reportProgress(m.id, hubpb.ProgressKind_PROGRESS_STARTED)
	}
}

// requestFinished reports the outcome of a placed request, or cancels a queued one.
type requestFinished struct {
	id      schedule.JobID
	outcome schedule.Outcome
}

func (m requestFinished) handle(s *linkState, now time.Time) {
	s.local.Finish(now, m.id, m.outcome)
	delete(s.queued, m.id)
	delete(s.running, m.id)
	s.reportProgress(m.id, outcomesToProto[m.outcome])
}

// reportProgress queues a report on a request for the attached control VM, if any.
func (s *linkState) reportProgress(id schedule.JobID, kind hubpb.ProgressKind) {
	if s.outbox != nil {
		s.pending().Progress = append(s.pending().Progress, &hubpb.Progress{Id: id.Seq, Kind: kind})
	}
}

// requeueLocally hands the requests that wait for the leader's scheduler to this
// VM's own, which begins to place requests.
func (s *linkState) requeueLocally(now time.Time) {
	s.takeShare(now)
	for _, q := range s.queued {
		if q.remote {
			s.requestPlacement(q, now)
		}
	}
}

// requeueRemotely hands the requests that wait for this VM's own scheduler, or were held
// during a move of the link, to the leader's.
func (s *linkState) requeueRemotely(now time.Time) {
	for id, q := range s.queued {
		if q.remote && !q.sent || !q.remote && s.local.Withdraw(id) {
			s.requestPlacement(q, now)
		}
	}
}

// deliver hands a placement to the request that waits for it. The first placement
// is used, whether the leader's scheduler made it or this VM's own (local). A
// local one is ignored while the request waits for the leader's scheduler.
func (s *linkState) deliver(placement schedule.Placement, now time.Time, local bool) {
	q := s.queued[placement.ID]
	switch {
	case q == nil:
		s.releaseUnused(placement)
		return
	case local && q.remote:
		return
	case !local && !q.remote && !s.local.Withdraw(placement.ID):
		return
	}
	delete(s.queued, placement.ID)
	if placement.Server != "" {
		s.running[placement.ID] = &runningRequest{request: q.request, placement: placement}
		if local && s.outbox != nil {
			s.pending().Running = append(s.pending().Running, &hubpb.RunningJob{
				Ask: requestToProto(q.request, now), Placement: placementToProto(placement),
			})
		}
		if !local {
			s.local.Adopt(now, q.request, placement, false)
		}
	} else if local && q.sent {
		s.reportProgress(placement.ID, hubpb.ProgressKind_PROGRESS_UNUSED)
	}
	placement.Local = local
	q.reply <- placement
}

// releaseUnused releases the slot of a placement whose request no longer waits
// for it. A request that this VM has placed itself meanwhile needs no release:
// its report has already superseded the placement at the leader's scheduler.
func (s *linkState) releaseUnused(placement schedule.Placement) {
	if placement.Server != "" && s.running[placement.ID] == nil {
		s.reportProgress(placement.ID, hubpb.ProgressKind_PROGRESS_UNUSED)
	}
}

// checkScheduler switches to this VM's own scheduler if a placement request waits
// for the leader's scheduler and no frame has arrived in the schedulerTimeout since
// that request. The next frame switches back.
func (s *linkState) checkScheduler(now time.Time) {
	if !s.schedulerAttached || s.schedulerSuspect {
		return
	}
	for _, q := range s.queued {
		if q.remote && q.requestedAt.After(s.lastFrameAt) && now.Sub(q.requestedAt) >= schedulerTimeout {
			s.schedulerSuspect = true
			observe.Log(s.link.options.Logger, observe.SchedulerSuspect).Str("control_vm", s.address).
				Dur("silent", now.Sub(s.lastFrameAt)).Int("asked", len(s.queued)).Send()
			s.requeueLocally(now)
			return
		}
	}
}
