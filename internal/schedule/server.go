package schedule

import (
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

const (
	// transitTime is the typical time from a decision to the arrival of the
	// request at its server: two one-way trips between availability zones.
	transitTime = 8 * time.Millisecond
	// maxGapFraction is the fraction of a stream's maximum gap that a pass may
	// take. The rest covers network jitter and errors of the estimate.
	maxGapFraction = 0.88
	// maxPassTime is the upper bound of every pass, also where no stream limits it.
	maxPassTime = 2000 * time.Millisecond
	// minBackoff and maxBackoff bound how long a failing server is ejected.
	// The time doubles with each further consecutive failure. A server that rejects
	// a request is ejected for half of minBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 6 * time.Second
	// ejectAfterFailures is the number of consecutive failures after which a
	// server is ejected. Single failures are common and no sign of a broken server.
	ejectAfterFailures = 2
	// A stream with a gap of up to minBreakGap, or breakGapFactor times its maximum
	// gap if that is longer, is only late. After a longer gap its entry VM
	// considers the server down.
	minBreakGap    = 950 * time.Millisecond
	breakGapFactor = 3
	// longPartTime is the prefill time from which the estimated end of a part is
	// uncertain, so that the part counts as unfinished until the first event of
	// its request arrives.
	longPartTime = 250 * time.Millisecond
	// lateLossFraction is the fraction of its weight that a late answer loses.
	lateLossFraction = 0.75
	// memoryFraction is the fraction of a server's memory that placements may use.
	memoryFraction = 0.95
)

// promptPart is the part of a request's prompt that one server prefills.
type promptPart struct {
	job *job
	// duration is the prefill time by the engine model, without the slowdown.
	duration time.Duration
	// arrivesAt is the earliest time at which the server can begin the prefill.
	arrivesAt time.Time
}

// helperJob is the work of a prefill helper for a request on another server.
type helperJob struct {
	job *job
	// tokens is the memory that the helper reserves for the request.
	tokens int
}

// server is a backend server with the estimate of its passes. The estimate
// applies to model engines only; engine is nil for a server of a plain service.
type server struct {
	Server
	engine *routes.Engine
	// slotShare is the number of slots that this scheduler may use.
	slotShare int
	// limit bounds the requests that this scheduler places on the server, nil for no limit.
	limit *requestLimit
	// warmUp bounds the requests during the server's warm-up, nil for no bound. cold is set while it lasts.
	warmUp *warmUp
	cold   bool
	// jobs holds the requests for which this is the first server.
	jobs map[JobID]*job
	// helping holds the requests for which this server is a prefill helper.
	helping map[JobID]*helperJob

	// headroom is the capacity for further prefill, as of the decision in progress. It is
	// computed again when stale is set, and always once the current pass has (almost) ended.
	headroom headroom
	stale    bool
	// passEnd is the estimated end of the pass in progress, zero if the server is
	// idle. While the server waits for a prompt in transit, it is the time of
	// arrival.
	passEnd time.Time
	// currentParts holds the parts that the pass in progress prefills, nextParts
	// those for a later pass.
	currentParts []promptPart
	nextParts    []promptPart
	// unconfirmedParts holds long parts whose prefill should have ended by the
	// estimate, but whose request has had no first event yet.
	unconfirmedParts []promptPart

	// prefillPlaced is the sum of the prefill times that were ever placed on the server.
	prefillPlaced time.Duration
	// longestPass is the longer one of the pass in progress and the one before it, lastPass the
	// duration of the pass in progress, both as planned.
	longestPass, lastPass time.Duration
	// slowdown is the factor by which the server is slower than its engine model, 1 if it is not.
	// It was last set or reduced at slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// lateEvents are the recent late events of its streams, one for each stream.
	lateEvents []lateEvent
	// failureStreak is the number of consecutive failures that count for all entry VMs, by
	// nextFailureStreak.
	failureStreak int
	// accusers are the pairs of credible entry VMs that take the server out for all.
	accusers map[*pair]bool
	// downUntil is the end of the backoff after the last of these failures.
	downUntil time.Time
	// outByZone is set when the server is out because its zone is considered partitioned.
	outByZone bool
	// succeededAt and successSequence are the time and the number of the last success.
	succeededAt     time.Time
	successSequence uint64
	// errorRate is the moving average, 0 to 1, of requests that the server answered
	// with an error.
	errorRate float64
	// excludedBy is the last request for which markExcluded or barServers has marked the
	// server.
	excludedBy *job
	// ejectedUntil is the end of the ejection after a rejection or because of errorRate.
	ejectedUntil time.Time
	// unreachable is set when the server was unreachable or stalled, until a first
	// event arrives from it or a request ends with OutcomeDone.
	unreachable bool
	// vmUnreachable is set when the server's VM was unreachable, not just the
	// server stalled. It is cleared together with unreachable.
	vmUnreachable bool
}

// decodeTime returns the duration of a pass without prefill. Requests whose
// prompt is prefilled by the estimate count as decoding.
func (srv *server) decodeTime() time.Duration {
	streams, tokens := 0, 0
	for _, j := range srv.jobs {
		if j.decoding || j.unfinishedParts == 0 {
			streams++
			tokens += j.firstTokens
		}
	}
	for _, h := range srv.helping {
		if h.job.decoding {
			tokens += h.tokens
		}
	}
	return srv.passTime(streams, tokens)
}

// passTime returns the duration of a pass that decodes for the given number of
// streams, which hold the given number of tokens in memory.
func (srv *server) passTime(streams, tokens int) time.Duration {
	step := srv.engine.StepTime + time.Duration(streams)*srv.engine.StepTimePerSequence +
		time.Duration(tokens)*srv.engine.StepTimePerContextToken
	return srv.scaled(time.Duration(srv.engine.StepsPerPass) * step)
}

// scaled converts a duration of the engine model to one of this server.
func (srv *server) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * srv.slowdown)
}

func totalDuration(parts []promptPart) time.Duration {
	total := time.Duration(0)
	for i := range parts {
		total += parts[i].duration
	}
	return total
}

// advanceTo advances the estimate to now, pass by pass.
func (srv *server) advanceTo(now time.Time) {
	if srv.engine == nil {
		return
	}
	for !srv.passEnd.IsZero() && !srv.passEnd.After(now) {
		srv.endPass()
		srv.startPass(srv.passEnd)
	}
	if srv.passEnd.IsZero() && len(srv.nextParts) > 0 {
		srv.startPass(now)
	}
}

// endPass counts the parts of the current pass as prefilled. Long ones of requests
// without a first event become unconfirmed.
func (srv *server) endPass() {
	srv.stale = true
	for _, p := range srv.currentParts {
		p.job.first.stale = true
		if p.job.unfinishedParts > 0 {
			p.job.unfinishedParts--
		}
		if !p.job.decoding && p.duration >= longPartTime {
			srv.unconfirmedParts = append(srv.unconfirmedParts, p)
		}
	}
	srv.currentParts = srv.currentParts[:0]
}

// startPass begins the next pass at the given time with the parts that have
// arrived by then.
func (srv *server) startPass(start time.Time) {
	srv.stale = true
	kept := srv.nextParts[:0]
	nextArrival := time.Time{}
	for _, p := range srv.nextParts {
		if p.arrivesAt.After(start) {
			kept = append(kept, p)
			if nextArrival.IsZero() || p.arrivesAt.Before(nextArrival) {
				nextArrival = p.arrivesAt
			}
			continue
		}
		srv.currentParts = append(srv.currentParts, p)
	}
	srv.nextParts = kept
	decode := srv.decodeTime()
	switch {
	case len(srv.currentParts) > 0 || srv.isDecoding():
		pass := decode + srv.scaled(totalDuration(srv.currentParts))
		srv.longestPass, srv.lastPass = max(pass, srv.lastPass), pass
		srv.passEnd = start.Add(pass)
	case !nextArrival.IsZero():
		srv.passEnd = nextArrival // idle until the next prompt arrives
	default:
		srv.passEnd = time.Time{}
	}
}

// isDecoding reports whether the server decodes for any request.
func (srv *server) isDecoding() bool {
	for _, j := range srv.jobs {
		if j.decoding || j.unfinishedParts == 0 {
			return true
		}
	}
	return false
}

// dropParts removes the parts of a request from the estimate.
func (srv *server) dropParts(j *job) {
	srv.stale = true
	srv.nextParts = withoutJob(srv.nextParts, j)
	srv.currentParts = withoutJob(srv.currentParts, j)
	srv.unconfirmedParts = withoutJob(srv.unconfirmedParts, j)
}

func withoutJob(parts []promptPart, j *job) []promptPart {
	kept := parts[:0]
	for _, p := range parts {
		if p.job != j {
			kept = append(kept, p)
		}
	}
	return kept
}

// recordStart records the first event of a request. An engine sends events at the
// end of a pass, so the pass ended one trip between zones (half of transitTime)
// ago and the estimate is corrected accordingly.
func (srv *server) recordStart(now time.Time, j *job) {
	if srv.engine == nil {
		return
	}
	if containsJob(srv.currentParts, j) || !srv.passEnd.After(now) {
		srv.endPass()
		j.decoding = true
		srv.startPass(now.Add(-transitTime / 2))
	}
}

// recordFailure updates the count of consecutive failures and takes the server out if it
// was unreachable or stalled, or failed ejectAfterFailures times in a row.
func (srv *server) recordFailure(now time.Time, outcome Outcome) {
	srv.failureStreak = nextFailureStreak(srv.failureStreak, outcome)
	srv.unreachable = srv.unreachable || outcome != OutcomeFailed
	if backoff := backoffAfter(srv.failureStreak); backoff > 0 {
		srv.downUntil = now.Add(backoff)
	}
}

// nextFailureStreak returns the count of consecutive failures after a further one. A
// server that was unreachable or stalled counts as one that failed at least
// ejectAfterFailures times.
func nextFailureStreak(streak int, outcome Outcome) int {
	if outcome == OutcomeFailed {
		return streak + 1
	}
	return max(streak+1, ejectAfterFailures)
}

// backoffAfter returns the backoff after a number of consecutive failures.
func backoffAfter(streak int) time.Duration {
	if streak < ejectAfterFailures {
		return 0
	}
	return min(minBackoff<<min(streak-ejectAfterFailures, 8), maxBackoff)
}

// resetFailures recomputes what the failures of entry VMs make of the server from those
// that still count.
func (srv *server) resetFailures() {
	srv.failureStreak, srv.unreachable, srv.vmUnreachable = 0, false, false
	for p := range srv.accusers {
		srv.failureStreak += p.counted
		srv.unreachable = srv.unreachable || p.unreachable
		srv.vmUnreachable = srv.vmUnreachable || p.vmUnreachable
	}
	latest, backoff := time.Time{}, min(backoffAfter(srv.failureStreak), minBackoff)
	for p := range srv.accusers {
		for _, end := range []time.Time{p.until, p.failedAt.Add(backoff)} {
			if end.After(latest) {
				latest = end
			}
		}
	}
	if srv.downUntil.After(latest) {
		srv.downUntil = latest
	}
}

// plannedTokens returns the memory in tokens that placements use on this server.
func (srv *server) plannedTokens() int {
	tokens := 0
	for _, j := range srv.jobs {
		tokens += j.firstTokens
	}
	for _, h := range srv.helping {
		tokens += h.tokens
	}
	return tokens
}

// smallestMaxGap returns the smallest maximum gap of the streams that the server
// decodes in its next pass, at most maxPassTime.
func (srv *server) smallestMaxGap() time.Duration {
	smallest := maxPassTime
	for _, j := range srv.jobs {
		inNext := j.decoding || j.unfinishedParts == 0 || containsJob(srv.currentParts, j)
		if inNext && j.request.MaxGap > 0 {
			smallest = min(smallest, j.request.MaxGap)
		}
	}
	return smallest
}

// lateRisk describes a request that becomes late if further prefill takes longer
// than limit.
type lateRisk struct {
	limit  time.Duration
	weight float64
	job    *job
}

// headroom is the capacity of a server for the prefill of a further request.
type headroom struct {
	server *server
	// lateRisks are the requests that further prefill may make late.
	lateRisks []lateRisk
	// maxHarmless is the longest prefill that makes no request late.
	maxHarmless time.Duration
	// maxPrefill is the upper bound of the prefill, whatever requests become late.
	maxPrefill time.Duration
	// readyAt is the estimated end of the next pass without further prefill, as of
	// computedAt.
	readyAt    time.Time
	computedAt time.Time
	// maxGap is the smallest maximum gap of the streams in the next pass.
	maxGap time.Duration
	// freeTokens is the memory in tokens that placements may still use.
	freeTokens int
}

// headroomAt returns the capacity of the server's next pass for further prefill.
// The pass takes at most maxPass.
func (srv *server) headroomAt(now time.Time, maxPass time.Duration) headroom {
	srv.advanceTo(now)
	nextPassStart := now.Add(transitTime)
	if srv.passEnd.After(nextPassStart) {
		nextPassStart = srv.passEnd
	}
	decode, queued := srv.decodeTime(), srv.scaled(totalDuration(srv.nextParts))
	h := headroom{server: srv, computedAt: now, maxGap: srv.smallestMaxGap(), lateRisks: srv.headroom.lateRisks[:0]}
	h.freeTokens = int(memoryFraction*float64(srv.engine.MemoryTokens)) - srv.plannedTokens()
	h.readyAt = nextPassStart.Add(decode + queued)
	usedTime := decode + queued + srv.scaled(totalDuration(srv.currentParts)+totalDuration(srv.unconfirmedParts))
	h.maxPrefill = maxPass - usedTime
	for _, j := range srv.jobs {
		if j.request.MaxGap > 0 && j.decoding {
			h.maxPrefill = min(h.maxPrefill, max(minBreakGap, breakGapFactor*j.request.MaxGap)-usedTime)
		}
		if !j.late && j.request.MaxGap > 0 && (j.decoding || j.unfinishedParts == 0 || containsJob(srv.currentParts, j)) {
			limit := time.Duration(float64(j.request.MaxGap)*maxGapFraction) - usedTime
			h.lateRisks = append(h.lateRisks, lateRisk{limit: limit, weight: j.request.Weight, job: j})
		}
	}
	// Engines prefill newer prompts before older ones, so further prefill may
	// delay every prompt that is not prefilled yet.
	for _, parts := range [][]promptPart{srv.currentParts, srv.nextParts, srv.unconfirmedParts} {
		for i := range parts {
			if j := parts[i].job; !j.late {
				h.lateRisks = append(h.lateRisks,
					lateRisk{limit: j.request.TargetAt.Sub(h.readyAt), weight: j.request.Weight, job: j})
			}
		}
	}
	h.maxHarmless = h.maxPrefill
	for i := range h.lateRisks {
		h.maxHarmless = min(h.maxHarmless, h.lateRisks[i].limit)
	}
	return h
}

// refreshHeadroom computes the headroom again if it may have changed.
func (srv *server) refreshHeadroom(now time.Time, maxPass time.Duration) {
	switch {
	case srv.stale:
	case srv.passEnd.After(now.Add(transitTime)):
		return
	case srv.isIdle():
		srv.headroom.readyAt = srv.headroom.readyAt.Add(now.Sub(srv.headroom.computedAt))
		srv.headroom.computedAt = now
		return
	}
	srv.headroom = srv.headroomAt(now, maxPass)
	srv.stale = false
}

// isIdle reports whether the server has no requests at all, so that its headroom depends on
// the time only.
func (srv *server) isIdle() bool {
	return srv.passEnd.IsZero() && len(srv.jobs)+len(srv.helping)+len(srv.nextParts)+len(srv.unconfirmedParts) == 0
}

func containsJob(parts []promptPart, j *job) bool {
	for i := range parts {
		if parts[i].job == j {
			return true
		}
	}
	return false
}

// lossOf returns the weight that other requests lose because further prefill
// of the given duration makes them late.
func (h *headroom) lossOf(prefill time.Duration) float64 {
	loss := 0.0
	for i := range h.lateRisks {
		if h.lateRisks[i].limit < prefill {
			loss += h.lateRisks[i].weight * lateLossFraction
		}
	}
	return loss
}

// markLate marks the requests that further prefill of the given duration makes
// late, so that later decisions do not protect them.
func (h *headroom) markLate(prefill time.Duration) {
	for i := range h.lateRisks {
		if h.lateRisks[i].limit < prefill {
			h.lateRisks[i].job.setLate()
		}
	}
}

// isOut reports whether the server is ejected or in backoff.
func (srv *server) isOut(now time.Time) bool {
	return now.Before(srv.ejectedUntil) || now.Before(srv.downUntil)
}

// isAvailable reports whether the server may get further requests. While the
// unreachable flag is set, the server gets one request at a time.
func (srv *server) isAvailable(now time.Time) bool {
	return srv.isReachable(now) && srv.hasRequestsLeft(now) && srv.takesCold(now)
}

// isReachable is isAvailable without regard to the limit of the server.
func (srv *server) isReachable(now time.Time) bool {
	if !srv.AcceptsNew || srv.isOut(now) {
		return false
	}
	return !srv.unreachable || len(srv.jobs) == 0 && len(srv.helping) == 0
}

// canHelp reports whether the server may prefill a part of the prompt of a further request. A limited or cold one may not: the
// orders and the work of a helper are requests to it, too.
func (srv *server) canHelp() bool {
	return srv.limit == nil && !srv.cold && len(srv.helping) < srv.Slots/2
}

// canRun reports whether the server may run the request of j, for which markExcluded and barServers were called.
func (srv *server) canRun(now time.Time, j *job) bool {
	return srv.isAvailable(now) && srv.Service == j.request.Service && !srv.isBarred(j)
}
