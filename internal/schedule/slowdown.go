package schedule

import (
	"slices"
	"time"
)

const (
	// tightGap is the maximum gap of a stream up to which a single retransmitted packet, which takes 200 ms, makes it late.
	tightGap = 200 * time.Millisecond
	// slowEvidenceWindow is the time within which late events of a server count together.
	slowEvidenceWindow = 600 * time.Millisecond
	// slowStreamsFraction is the fraction of the streams that a server decodes of which late events are required in the
	// window for the server to count as slow: all of them are late then.
	slowStreamsFraction = 0.5
	// minSlowStreams is the number of streams with a single late event from which on a server may count as slow before any
	// stream has had two in a row. A single late event alone is most likely a retransmitted packet.
	minSlowStreams = 2
	// maxRatioSpread is by how much the factors of these streams may differ: a slow pass delays all of its streams alike, a
	// retransmission each at another time of its pass.
	maxRatioSpread = 1.5
	// maxOtherLoss is the decayed number of single late events on a path, without those of the server itself, from which on
	// two in a row are required: the events may be lost packets.
	maxOtherLoss = 1
	// successionTolerance is by how much the time between two late events of a stream may differ from
	// the gap before the second one for the two to count as in a row.
	successionTolerance = 40 * time.Millisecond
	// maxSlowdown bounds the estimate, so that a stalled server is not avoided for longer than a slow one.
	maxSlowdown = 8
	// minSlowdown is the factor below which a server counts as one without slowdown.
	minSlowdown = 1.25
	// slowdownHalfLife is the time in which the slowdown of a server halves its excess over 1 without
	// further late events, so that a server that has recovered gets requests again.
	slowdownHalfLife = 700 * time.Millisecond
	// maxSlowdownChanges bounds the changes that are kept until TakeSlowdownChanges.
	maxSlowdownChanges = 1024
)

// lateEvent is a gap between two events of a stream that was longer than its maximum.
type lateEvent struct {
	id    JobID
	at    time.Time
	path  zonePath
	ratio float64
	// inRow is set if the stream had a late event right before this one.
	inRow bool
	// beforeFirst is set if the stream had no event yet. A hedge that is faster ends it, so that the late event outlives it.
	beforeFirst bool
	// countedAt is when a late event of the stream was counted for the path, zero if none was.
	countedAt time.Time
}

// RecordLateEvent records that a placed stream has just had an event after a gap that was longer than its maximum, or has had
// no first event for that long although another server was much faster. Late events on enough of the streams of a server
// raise its slowdown; one that is alone counts for the path between the two zones.
func (s *Scheduler) RecordLateEvent(now time.Time, id JobID, gap time.Duration) {
	j := s.placed[id]
	if j == nil || !s.hasTightGaps || j.first.engine == nil {
		return
	}
	srv := j.first
	event := lateEvent{id: id, at: now, path: pathOf(j), beforeFirst: !j.decoding}
	event.inRow = !j.lateEventAt.IsZero() && (now.Sub(j.lateEventAt)-gap).Abs() <= successionTolerance
	j.lateEventAt = now
	planned := max(srv.longestPass, srv.decodeTime())
	if !j.decoding {
		planned = j.expectedAt.Sub(j.sentAt)
	}
	event.ratio = srv.slowdown * float64(gap) / float64(max(planned, time.Millisecond))
	srv.lateEvents = slices.DeleteFunc(srv.lateEvents, func(e lateEvent) bool {
		expired := now.Sub(e.at) > slowEvidenceWindow
		if e.id == id && (event.inRow || !expired) {
			event.countedAt = e.countedAt
		}
		return e.id == id || (srv.jobs[e.id] == nil && !e.beforeFirst) || expired
	})
	if !event.inRow && len(srv.lateEvents) == 0 && s.recordLoss(now, event.path) {
		event.countedAt = now
	}
	srv.lateEvents = append(srv.lateEvents, event)
	if slowdown := s.slowdownOf(now, srv); slowdown > 0 {
		s.withdrawLoss(now, srv)
		s.setSlowdown(now, srv, slowdown)
	}
}

// slowdownOf returns the slowdown of a server by its recent late events, 0 if they are no evidence of any.
func (s *Scheduler) slowdownOf(now time.Time, srv *server) float64 {
	decoding := 0
	for _, j := range srv.jobs {
		if j.decoding {
			decoding++
		}
	}
	if float64(len(srv.lateEvents)) < slowStreamsFraction*float64(decoding) {
		return 0
	}
	var inRow, all []float64
	for _, e := range srv.lateEvents {
		if all = append(all, e.ratio); e.inRow {
			inRow = append(inRow, e.ratio)
		}
	}
	if len(inRow) > 0 {
		slices.Sort(inRow)
		return inRow[len(inRow)/2]
	}
	slices.Sort(all)
	if len(all) < minSlowStreams || all[len(all)-1] > maxRatioSpread*all[0] || s.hasOtherLoss(now, srv) {
		return 0
	}
	return all[len(all)/2]
}

// SlowdownChange tells that the estimated slowdown of a model engine has changed.
type SlowdownChange struct {
	Server   string
	Slowdown float64
	// LateStreams is the number of streams with a recent late event, Streams that of all streams.
	LateStreams, Streams int
}

// TakeSlowdownChanges returns the changes since the last call.
func (s *Scheduler) TakeSlowdownChanges() []SlowdownChange {
	changes := s.slowdownChanges
	s.slowdownChanges = nil
	return changes
}

// setSlowdown sets the slowdown of a server and counts it from now.
func (s *Scheduler) setSlowdown(now time.Time, srv *server, slowdown float64) {
	slowdown = min(slowdown, maxSlowdown)
	if slowdown < minSlowdown {
		slowdown = 1
	}
	srv.slowdownAt, srv.stale = now, true
	if srv.slowdown == slowdown {
		return
	}
	srv.slowdown = slowdown
	if len(s.slowdownChanges) < maxSlowdownChanges {
		s.slowdownChanges = append(s.slowdownChanges, SlowdownChange{Server: srv.ID, Slowdown: slowdown, LateStreams: len(srv.lateEvents), Streams: len(srv.jobs)})
	}
}

// decaySlowdown reduces the slowdown of a server that was not seen to be slow for a while.
func (s *Scheduler) decaySlowdown(now time.Time, srv *server) {
	if srv.slowdown > 1 && now.Sub(srv.slowdownAt) >= slowdownHalfLife {
		s.setSlowdown(now, srv, 1+(srv.slowdown-1)/2)
	}
}
