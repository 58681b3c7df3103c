package schedule

import (
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

const (
	// hop is the usual time from a decision to the arrival of the request at its
	// server: two passages between zones.
	hop = 8 * time.Millisecond
	// pauseShare is the part of the shortest allowed pause that a pass may take;
	// the rest covers jitter on the way and errors of the estimate.
	pauseShare = 0.88
	// longestPass bounds a pass where no stream limits it.
	longestPass = 2000 * time.Millisecond
	// firstBackoff and longestBackoff bound how long a server that failed gets
	// nothing new.
	firstBackoff   = 400 * time.Millisecond
	longestBackoff = 6 * time.Second
	// failuresTolerated is the failures in a row after which a server is left
	// out; single failures are common and say little.
	failuresTolerated = 2
	// brokenAfter and brokenFactor times its pause bound are the pauses up to
	// which a stream is only late: its entry VM takes a server that is silent for
	// longer for dead.
	brokenAfter  = 950 * time.Millisecond
	brokenFactor = 3
	// longPart is the reading from which it is doubtful, until a first event shows
	// it, whether a server has read a part as soon as estimated.
	longPart = 250 * time.Millisecond
	// lateLoss is the part of its worth that a late answer loses.
	lateLoss = 0.75
	// memoryShare is the part of a server's memory that is planned for.
	memoryShare = 0.95
)

// part is the reading of one server for one request.
type part struct {
	job      *job
	duration time.Duration
	// arrivesAt is when the server can begin with it.
	arrivesAt time.Time
}

// help is what a server does for a request of another.
type help struct {
	job *job
	// tokens of memory that are reserved for it.
	tokens int
}

// server is a backend server with the estimate of its passes.
type server struct {
	Server
	engine *routes.Engine
	// share is the slots that this scheduler may use.
	share int
	// jobs holds the requests for which this is the first server.
	jobs map[JobID]*job
	// helping holds the requests of other servers for which this one reads.
	helping map[JobID]*help

	// room is what the server could read, as of the decision in progress.
	room room
	// passEnd is the estimated end of the pass in progress, zero when idle.
	passEnd time.Time
	// current is read in the pass in progress, next in a later one.
	current []part
	next    []part
	// unproven should be read by now, but no first event has shown it.
	unproven []part

	// pace is how much slower than its figures the server works.
	pace     float64
	failures int
	// errors is the recent rate of requests that the server failed.
	errors   float64
	outUntil time.Time
	// unreached is set while no request came through since one found no way.
	unreached bool
	// cutOff is set while its VM was out of reach, not just the server silent.
	cutOff bool
}

// writeTime is how long a pass takes without reading.
func (v *server) writeTime() time.Duration {
	writers, tokens := 0, 0
	for _, j := range v.jobs {
		if j.writing || j.unread == 0 {
			writers++
			tokens += j.firstTokens
		}
	}
	for _, h := range v.helping {
		if h.job.writing {
			tokens += h.tokens
		}
	}
	return v.passOf(writers, tokens)
}

func (v *server) passOf(writers, tokens int) time.Duration {
	step := v.engine.StepTime + time.Duration(writers)*v.engine.StepTimePerSequence + time.Duration(tokens)*v.engine.StepTimePerContextToken
	return v.scaled(time.Duration(v.engine.StepsPerPass) * step)
}

func (v *server) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * v.pace) }

func sum(parts []part) time.Duration {
	total := time.Duration(0)
	for i := range parts {
		total += parts[i].duration
	}
	return total
}

// roll moves the estimate to now, pass by pass.
func (v *server) roll(now time.Time) {
	if v.engine == nil {
		return
	}
	for !v.passEnd.IsZero() && !v.passEnd.After(now) {
		v.endPass()
		v.startPass(v.passEnd)
	}
	if v.passEnd.IsZero() && len(v.next) > 0 {
		v.startPass(now)
	}
}

func (v *server) endPass() {
	for _, p := range v.current {
		if p.job.unread > 0 {
			p.job.unread--
		}
		if !p.job.writing && p.duration >= longPart {
			v.unproven = append(v.unproven, p)
		}
	}
	v.current = v.current[:0]
}

// startPass begins the next pass at the given time with what has arrived.
func (v *server) startPass(at time.Time) {
	kept := v.next[:0]
	soonest := time.Time{}
	for _, p := range v.next {
		if p.arrivesAt.After(at) {
			kept = append(kept, p)
			if soonest.IsZero() || p.arrivesAt.Before(soonest) {
				soonest = p.arrivesAt
			}
			continue
		}
		v.current = append(v.current, p)
	}
	v.next = kept
	write := v.writeTime()
	switch {
	case len(v.current) > 0 || v.writes():
		v.passEnd = at.Add(write + v.scaled(sum(v.current)))
	case !soonest.IsZero():
		v.passEnd = soonest // idle until the next prompt arrives
	default:
		v.passEnd = time.Time{}
	}
}

// writes tells whether any stream is being written.
func (v *server) writes() bool {
	for _, j := range v.jobs {
		if j.writing || j.unread == 0 {
			return true
		}
	}
	return false
}

// dropParts forgets what is still to be read for a request.
func (v *server) dropParts(j *job) {
	v.next = without(v.next, j)
	v.current = without(v.current, j)
	v.unproven = without(v.unproven, j)
}

func without(parts []part, j *job) []part {
	kept := parts[:0]
	for _, p := range parts {
		if p.job != j {
			kept = append(kept, p)
		}
	}
	return kept
}

// noteStart corrects the estimate by a first event: a pass has just ended.
func (v *server) noteStart(now time.Time, j *job) {
	v.failures, v.unreached, v.cutOff = 0, false, false
	if v.engine == nil {
		return
	}
	if contains(v.current, j) || !v.passEnd.After(now) {
		v.endPass()
		j.writing = true
		v.startPass(now.Add(-hop / 2))
	}
}

// noteEnd counts failures in a row.
func (v *server) noteEnd(now time.Time, end Outcome) {
	switch end {
	case OutcomeDone:
		v.failures, v.unreached, v.cutOff = 0, false, false
	case OutcomeRejected:
		v.outUntil = now.Add(firstBackoff / 2)
	case OutcomeUnreachable, OutcomeStalled:
		v.unreached = true
		v.failures = max(v.failures+1, failuresTolerated)
		v.outUntil = now.Add(min(firstBackoff<<min(v.failures-failuresTolerated, 8), longestBackoff))
	case OutcomeFailed:
		v.failures++
		if v.failures >= failuresTolerated {
			backoff := min(firstBackoff<<min(v.failures-failuresTolerated, 8), longestBackoff)
			v.outUntil = now.Add(backoff)
		}
	}
}

// used is the memory that is planned for on this server.
func (v *server) used() int {
	tokens := 0
	for _, j := range v.jobs {
		tokens += j.firstTokens
	}
	for _, h := range v.helping {
		tokens += h.tokens
	}
	return tokens
}

// pauseBound is the shortest pause allowed by the streams that write here in
// the next pass, or longestPass.
func (v *server) pauseBound() time.Duration {
	bound := longestPass
	for _, j := range v.jobs {
		inNext := j.writing || j.unread == 0 || contains(v.current, j)
		if inNext && j.ask.MaxGap > 0 {
			bound = min(bound, j.ask.MaxGap)
		}
	}
	return bound
}

// harm is what a request loses when a pass reads more than limit.
type harm struct {
	limit time.Duration
	worth float64
	job   *job
}

// room describes what a server could read for a further request.
type room struct {
	server *server
	// harms are the requests that further reading may make late.
	harms []harm
	// harmless is the longest reading that makes no request late.
	harmless time.Duration
	// longest bounds the reading in any case.
	longest time.Duration
	// readyAt is when a pass would end that reads nothing more.
	readyAt time.Time
	bound   time.Duration
	// free is the memory in tokens that is not planned for.
	free int
}

// roomAt returns what the next pass of the server can take.
func (v *server) roomAt(now time.Time) room {
	v.roll(now)
	begins := now.Add(hop)
	if v.passEnd.After(begins) {
		begins = v.passEnd
	}
	write, queued := v.writeTime(), v.scaled(sum(v.next))
	r := room{server: v, bound: v.pauseBound(), harms: v.room.harms[:0]}
	r.free = int(memoryShare*float64(v.engine.MemoryTokens)) - v.used()
	r.readyAt = begins.Add(write + queued)
	taken := write + queued + v.scaled(sum(v.current)+sum(v.unproven))
	r.longest = longestPass - taken
	for _, j := range v.jobs {
		if j.ask.MaxGap > 0 && j.writing {
			r.longest = min(r.longest, max(brokenAfter, brokenFactor*j.ask.MaxGap)-taken)
		}
		if !j.late && j.ask.MaxGap > 0 && (j.writing || j.unread == 0 || contains(v.current, j)) {
			limit := time.Duration(float64(j.ask.MaxGap)*pauseShare) - taken
			r.harms = append(r.harms, harm{limit: limit, worth: j.ask.Weight, job: j})
		}
	}
	// Servers read newer prompts before older ones, so further reading may delay
	// every prompt that is not read yet.
	for _, parts := range [][]part{v.current, v.next, v.unproven} {
		for i := range parts {
			if j := parts[i].job; !j.late {
				r.harms = append(r.harms, harm{limit: j.ask.TargetAt.Sub(r.readyAt), worth: j.ask.Weight, job: j})
			}
		}
	}
	r.harmless = r.longest
	for i := range r.harms {
		r.harmless = min(r.harmless, r.harms[i].limit)
	}
	return r
}

func contains(parts []part, j *job) bool {
	for i := range parts {
		if parts[i].job == j {
			return true
		}
	}
	return false
}

// lossOf is the worth that further reading would make late.
func (r *room) lossOf(reading time.Duration) float64 {
	loss := 0.0
	for i := range r.harms {
		if r.harms[i].limit < reading {
			loss += r.harms[i].worth * lateLoss
		}
	}
	return loss
}

// accept marks the requests that further reading makes late.
func (r *room) accept(reading time.Duration) {
	for i := range r.harms {
		if r.harms[i].limit < reading {
			r.harms[i].job.late = true
		}
	}
}

// takesNew tells whether the server may get further requests. One that could
// not be reached gets a single one until that came through.
func (v *server) takesNew(now time.Time) bool {
	if !v.AcceptsNew || now.Before(v.outUntil) {
		return false
	}
	return !v.unreached || len(v.jobs) == 0 && len(v.helping) == 0
}

// available tells whether the server may get a further request of j.
func (v *server) available(now time.Time, j *job) bool {
	if !v.takesNew(now) || v.Service != j.ask.Service {
		return false
	}
	for _, excluded := range j.ask.Excluded {
		if excluded == v.ID {
			return false
		}
	}
	return true
}
