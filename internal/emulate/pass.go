package emulate

import (
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/schedule"
)

// startPass starts one pass of a server, or marks the server as idle if it has no work. During the pass the server
// prefills parts of prompts: first the parts for which it is a prefill helper, then those of its own requests, and among
// each of them newer parts before older ones. At the end of the pass, each request that was being decoded at its start
// gets an event.
func (e *emulation) startPass(now time.Time, s *server) {
	s.busy = len(s.decoding) > 0 || len(s.prefills) > 0
	if !s.busy {
		return
	}
	engine := s.engine
	duration := time.Duration(0)
	if len(s.decoding) > 0 {
		tokens := 0
		for _, j := range s.decoding {
			tokens += j.contextTokens
		}
		step := engine.StepTime + time.Duration(len(s.decoding))*engine.StepTimePerSequence +
			time.Duration(tokens)*engine.StepTimePerContextToken
		duration = time.Duration(engine.StepsPerPass) * step
	}
	budget := float64(engine.StepsPerPass * engine.ChunkTokens)
	var done []*prefillPart
	for _, helperParts := range []bool{true, false} {
		for _, part := range slices.Backward(s.prefills) {
			if part.isHelper != helperParts || budget <= 0 {
				continue
			}
			prefillTokens := min(budget, part.tokens)
			budget -= prefillTokens
			part.tokens -= prefillTokens
			duration += time.Duration(prefillTokens * float64(part.timePerToken))
			if part.tokens <= 0 {
				done = append(done, part)
			}
		}
	}
	decoding := slices.Clone(s.decoding)
	// A pass without decoding takes, in addition to its prefills, a quarter of the fixed time of its steps.
	if len(decoding) == 0 {
		duration += time.Duration(engine.StepsPerPass) * engine.StepTime / 4
	}
	if elapsed := now.Sub(e.start); s.slow && elapsed >= e.fleet.Slow.From && elapsed < e.fleet.Slow.To {
		duration = time.Duration(float64(duration) * e.fleet.Slow.Factor)
	}
	e.runAt(now.Add(duration), func(now time.Time) { e.endPass(now, s, decoding, done) })
}

func (e *emulation) endPass(now time.Time, s *server, decoding []*job, done []*prefillPart) {
	for _, j := range decoding {
		e.emitEvent(now, s, j)
	}
	for _, part := range done {
		s.prefills = slices.DeleteFunc(s.prefills, func(other *prefillPart) bool { return other == part })
		j := part.job
		j.pendingPrefills--
		if j.pendingPrefills > 0 || j.ended {
			continue
		}
		j.primary.decoding = append(j.primary.decoding, j)
		if j.primary == s && !part.isHelper {
			e.emitEvent(now, s, j) // the pass that completes the prefill also decodes the first tokens
		} else if !j.primary.busy {
			e.startPass(now, j.primary)
		}
	}
	e.startPass(now, s)
}

// emitEvent emits the next event of a request. It finishes the request as completed after the last event, or as lost if
// the first event comes later than maxWait after the arrival of the request.
func (e *emulation) emitEvent(now time.Time, s *server, j *job) {
	if j.ended {
		return
	}
	receivedAt := now.Add(2 * messageDelay)
	if !j.hasStarted {
		j.hasStarted = true
		j.isLate = receivedAt.Sub(j.arrivedAt) > j.kind.TargetLatency
		since := j.arrivedAt
		if j.retries > 0 {
			since = j.enqueuedAt
		}
		if receivedAt.Sub(since) > maxWait(j.kind) {
			e.finish(now, s, j, false)
			return
		}
		e.runAt(now.Add(2*messageDelay), func(now time.Time) {
			j.dispatcher.MarkStarted(now, j.request.ID)
			e.runScheduler(now, j.dispatcher)
		})
	} else if gap := receivedAt.Sub(j.lastEventAt); gap > j.kind.MaxGap {
		j.isLate = true
		e.runAt(now.Add(2*messageDelay), func(now time.Time) { j.dispatcher.RecordLateEvent(now, j.request.ID, gap) })
	}
	j.lastEventAt = receivedAt
	j.eventsSent++
	if j.eventsSent >= j.events {
		e.finish(now, s, j, true)
	}
}

// finish ends a request and adds it to the tallies. completed is false if the request is lost.
func (e *emulation) finish(now time.Time, s *server, j *job, completed bool) {
	j.ended = true
	s.decoding = slices.DeleteFunc(s.decoding, func(other *job) bool { return other == j })
	if second := int(now.Sub(e.start) / time.Second); completed && second < len(e.result.Earned) {
		earned := j.credit
		if j.isLate {
			earned = j.lateCredit
		}
		e.result.Earned[second] += earned
	}
	for _, tally := range e.talliesOf(j) {
		switch {
		case !completed:
			tally.Lost++
			if !j.placedInTime {
				tally.WaitPenalty += j.credit * j.waitPenalty(now)
			}
		case j.isLate:
			tally.Late++
			tally.EarnedCredit += j.lateCredit
		default:
			tally.OnTime++
			tally.EarnedCredit += j.credit
		}
	}
	e.runAt(now.Add(2*messageDelay), func(now time.Time) {
		j.dispatcher.Finish(now, j.request.ID, schedule.OutcomeDone)
		e.runScheduler(now, j.dispatcher)
	})
}
