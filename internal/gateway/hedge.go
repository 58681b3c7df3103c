package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/hedge"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// hedgePlacementTimeout bounds the wait for the placement of a hedge, which is granted at once or refused. It covers a few
	// round trips between zones; a later answer comes from a VM in trouble.
	hedgePlacementTimeout = 100 * time.Millisecond
	// minHedgeServers is the number of ready servers in other zones from which a request is hedged: a single one would get
	// the hedges of all requests at once.
	minHedgeServers = 2
	// longSuspension is the time without a sample from which on a suspension of this VM makes its samples worthless. VMs with
	// little processor time often pause for parts of a second, which changes nothing about the servers.
	longSuspension = 5 * time.Second
)

var (
	// errHedgeWon is the cause with which the first attempt is cancelled when a second server has answered.
	errHedgeWon = errors.New("a second server has answered")
	// errHedgeNotNeeded is the cause with which the second attempt is cancelled.
	errHedgeNotNeeded = errors.New("the first server has answered or the request has ended")
	// errHedgePlacementLate is the reason why a hedge is not sent whose placement is not answered in time.
	errHedgePlacementLate = errors.New("the placement took too long")
	// errHedgingOff is the reason why a hedge is not sent that operators do not allow any more.
	errHedgingOff = errors.New("hedging was turned off")
)

func (x *exchange) isStream() bool { return x.route.Kind == routes.KindStream }

func (x *exchange) hedgeKind() hedge.Kind {
	return hedge.KindOf(x.route.Name, x.request.PromptTokens)
}

// recordLatency records how long the server of an attempt took to its first event, or to its whole answer, unless this VM did
// not run meanwhile.
func (x *exchange) recordLatency(open *openAttempt) {
	if x.gateway.options.Hedges.IsOn(x.route.Name) && !x.headSent && x.request.ResumeAfter == 0 && !x.gateway.options.WasSuspended(open.sentAt) {
		now := time.Now()
		x.gateway.options.Hedges.RecordLatency(now, x.hedgeKind(), now.Sub(open.sentAt))
	}
}

// recordServerTime counts the server time of the request, of which a share may be spent on hedges. A plain service has no
// other measure than the time that the request took.
func (x *exchange) recordServerTime() {
	if !x.gateway.options.Hedges.IsActive() {
		return
	}
	used, known := x.engineTime()
	if !known {
		used = time.Since(x.request.ArrivedAt) - x.timing.placementWait
	}
	x.gateway.options.Hedges.RecordServerTime(time.Now(), x.route.Name, used)
}

// engineTime returns the server time of the request by the engine of its service, if it has one.
func (x *exchange) engineTime() (used time.Duration, known bool) {
	service := x.table.Service(x.service)
	if service == nil || service.Engine == nil {
		return 0, false
	}
	return schedule.ServerTime(service.Engine, x.request.PromptTokens, x.request.AnswerTokens), true
}

// hedgePlan returns when the first attempt of a request is to be hedged, and false if it is not. One that would be due only
// when its server counts as stalled is left to the stall watch.
func (x *exchange) hedgePlan(now time.Time) (hedge.Plan, bool) {
	options := &x.gateway.options
	if !options.Hedges.IsOn(x.route.Name) || options.ReadyServers == nil || x.attempts != 1 || x.possibleRuns > 0 || x.headSent ||
		x.request.ResumeAfter > 0 || !x.mayTryBeside() {
		return hedge.Plan{}, false
	}
	if measured := options.Hedges.MeasuredAt(); now.Sub(measured) >= longSuspension && options.WasSuspended(measured) {
		options.Hedges.Forget()
	}
	plan, planned := options.Hedges.Plan(now, x.hedgeKind())
	return plan, planned && now.Add(plan.Delay).Before(x.eventDeadline(false))
}

// hedgeRace is the first attempt of a request with the second one that is sent beside it when it is late. The goroutine that
// serves the request owns it and the exchange; each attempt runs in a goroutine of its own, up to the first event of a stream
// or to the end of another response. The response that is there first is then relayed to the caller as any other.
type hedgeRace struct {
	x    *exchange
	ctx  context.Context
	plan hedge.Plan
	// first is the first attempt; firstResult is set once it has failed.
	first       *racer
	firstResult *attemptResult
	// watch searches another server while the first one is silent for too long and no second attempt is in progress.
	watch    *stallWatch
	watching bool
	// asking is done when the placement of the second attempt is not awaited any more, nil if none was requested. grants
	// receives it.
	asking    context.Context
	endAsking context.CancelFunc
	grants    chan *grant
	expense   hedge.Expense
	// second is the second attempt, nil if there is none in progress. limit fires when it counts as stalled, and
	// secondStalled is set then.
	second        *racer
	limit         *time.Timer
	secondStalled bool
}

// attemptHedged sends the request to one server, and to a second one when the first is late by plan.
func (x *exchange) attemptHedged(ctx context.Context, granted *grant, open *openAttempt, plan hedge.Plan) attemptResult {
	r := &hedgeRace{x: x, ctx: ctx, plan: plan, watch: x.watchStalls(ctx, open.Server)}
	r.first = x.race(ctx, granted, open)
	r.beginWatch(x.eventDeadline(false))
	due := time.NewTimer(plan.Delay)
	defer due.Stop()
	defer r.stopAsking()
	head, firstDone := r.first.head, r.first.done
	for {
		select {
		case <-head:
			head = nil
			if r.watching && !r.endWatch(true) { // the first event gets the same time once more, as without a plan
				r.beginWatch(x.eventDeadline(false))
			}
		case <-due.C:
			r.ask()
		case granted := <-r.grants:
			r.send(granted)
		case <-r.askingDone():
			r.refuse(errHedgePlacementLate.Error())
		case <-r.limitDone():
			r.secondStalled = true
			r.second.cancel(errUnresponsive)
		case <-firstDone:
			firstDone = nil
			if result, ended := r.endFirst(); ended {
				return result
			}
		case <-r.secondDone():
			if result, ended := r.endSecond(); ended {
				return result
			}
		}
	}
}

// beginWatch begins the watch of the first attempt, from whose server something must arrive by deadline.
func (r *hedgeRace) beginWatch(deadline time.Time) {
	r.watching = true
	r.watch.begin(deadline, func() { r.first.cancel(errUnresponsive) })
}

// endWatch ends the watch of the first attempt. It tells whether the attempt has been given up.
func (r *hedgeRace) endWatch(answered bool) (givenUp bool) {
	r.watching = false
	return r.watch.end(answered)
}

func (r *hedgeRace) askingDone() <-chan struct{} {
	if r.asking == nil {
		return nil
	}
	return r.asking.Done()
}

func (r *hedgeRace) secondDone() <-chan struct{} {
	if r.second == nil {
		return nil
	}
	return r.second.done
}

func (r *hedgeRace) limitDone() <-chan time.Time {
	if r.second == nil || r.limit == nil {
		return nil
	}
	return r.limit.C
}

// ask requests the placement of the second attempt, unless there must be none.
func (r *hedgeRace) ask() {
	x, now := r.x, time.Now()
	if r.first.isDone() { // it ends the race, or leaves the request to a retry
		return
	}
	if r.endWatch(true) { // another server was found meanwhile; an attempt in progress at one ends, so that it is not lost
		return
	}
	request := x.placementRequest(x.gateway.nextID())
	zones, reason := x.checkHedge(now, r.first.open.Server, r.plan, request.AllowedZones)
	if x.gateway.options.WasSuspended(r.first.startedAt) {
		reason = "this VM did not run for a while"
	}
	if reason == "" {
		cost, known := x.engineTime()
		if !known {
			cost = r.plan.Typical
		}
		var afforded bool
		if r.expense, afforded = x.gateway.options.Hedges.Spend(now, x.route.Name, cost); !afforded {
			reason = "the limit of the extra server time is used up"
		}
	}
	if reason != "" {
		r.logNotSent(reason)
		r.beginWatch(x.eventDeadline(false))
		return
	}
	request.Hedge, request.AllowedZones = true, zones
	request.Excluded = append(slices.Clone(request.Excluded), r.first.open.Server.ID)
	r.asking, r.endAsking = context.WithTimeout(r.ctx, hedgePlacementTimeout)
	r.grants = make(chan *grant)
	go placeHedge(r.asking, x.gateway.options.Placer, request, r.grants)
}

// placeHedge requests a placement and passes it on, or releases it if it is not awaited any more.
func placeHedge(ctx context.Context, placer Placer, request schedule.PlacementRequest, grants chan<- *grant) {
	requestedAt := time.Now()
	placement, err := placer.Place(ctx, request)
	if err != nil {
		placement.Server, placement.Reason = "", err.Error()
	}
	select {
	case grants <- &grant{id: request.ID, placement: placement, waited: time.Since(requestedAt), charged: true}:
	case <-ctx.Done():
		if placement.Server != "" {
			placer.Ended(request.ID, schedule.OutcomeUnused)
		}
	}
}

// checkHedge returns the zones among allowed, or among all if that is empty, in which a second attempt may run, or the reason
// why there must be none. It is not sent for a request under which a server has crashed, which would take down a second server.
func (x *exchange) checkHedge(now time.Time, first roster.Server, plan hedge.Plan, allowed []string) (zones []string, reason string) {
	options := &x.gateway.options
	_, stopping := options.StopsIn()
	zones, servers := x.hedgeZones(now, first, allowed)
	switch {
	case stopping:
		return nil, "this VM stops"
	case x.mayCrashServers || x.crashedServers() > 0:
		return nil, "a server has crashed under the request or a part of its prompt"
	case !plan.IsUseful(now, x.startDeadline()):
		return nil, "too little time is left"
	case servers < minHedgeServers:
		return nil, "too few servers are ready in other zones"
	case !options.Budget.CanRetry(x.service):
		return nil, errRetryBudgetSpent.Error()
	}
	return zones, ""
}

// hedgeZones returns the zones among allowed of the servers that may get a second attempt, and the number of these servers.
func (x *exchange) hedgeZones(now time.Time, first roster.Server, allowed []string) (zones []string, servers int) {
	for _, server := range x.gateway.options.ReadyServers(x.service) {
		_, blocked := x.gateway.options.Statements.Check(now, server)
		if blocked || !mayHedgeAt(now, server, first) || len(allowed) > 0 && !slices.Contains(allowed, server.Zone) {
			continue
		}
		servers++
		if !slices.Contains(zones, server.Zone) {
			zones = append(zones, server.Zone)
		}
	}
	return zones, servers
}

// mayHedgeAt tells whether a server may get a second attempt beside the one at first: it is in another zone and not cold.
func mayHedgeAt(now time.Time, server, first roster.Server) bool {
	return server.Zone != first.Zone && !now.Before(server.ColdUntil)
}

// send sends the second attempt to the granted server, unless there must be none any more.
func (r *hedgeRace) send(granted *grant) {
	x, options := r.x, &r.x.gateway.options
	r.stopAsking()
	if granted.placement.Server == "" {
		r.refuse(granted.placement.Reason)
		return
	}
	if r.first.isDone() { // as in ask
		options.Placer.Ended(granted.id, schedule.OutcomeUnused)
		options.Hedges.Return(time.Now(), r.expense)
		r.logNotSent("the first attempt has ended")
		return
	}
	now := time.Now()
	server, known := options.Servers.Find(granted.placement.Server)
	reason := ""
	switch {
	case !known || !mayHedgeAt(now, server, r.first.open.Server) || len(granted.placement.Helpers) > 0:
		reason = "the placement does not suit"
	case !options.Hedges.IsOn(x.route.Name):
		reason = errHedgingOff.Error()
	default:
		reason = x.admitBeside(now, granted.placement)
	}
	var open *openAttempt
	if reason == "" {
		var err *AttemptError
		if open, err = r.openSecond(granted); err != nil {
			reason = err.Error()
		}
	}
	if reason != "" {
		options.Placer.Ended(granted.id, schedule.OutcomeUnused)
		r.refuse(reason)
		return
	}
	r.second = x.race(r.ctx, granted, open)
	if x.hasAttemptsLeft() && x.possibleRuns+2 < x.route.MaxAttempts {
		r.limit = time.NewTimer(time.Until(x.eventDeadline(false)))
	}
	options.Metrics.Counter("godwityoke_hedges_total").Inc(1)
	options.Metrics.Counter("godwityoke_hedge_server_time_ms_total").Inc(r.expense.Cost.Milliseconds())
	observe.Log(options.Logger, observe.HedgeSent).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", r.first.open.Server.ID).Str("to", server.ID).Int("prompt", x.request.PromptTokens).Dur("delay", r.plan.Delay).
		Dur("elapsed", time.Since(r.first.startedAt)).Dur("waited", granted.waited).Dur("cost", r.expense.Cost).Send()
}

// openSecond counts and opens the second attempt, whose retry is charged. One that can't be opened, or while which hedging was
// turned off, counts neither as an attempt nor as a hedge.
func (r *hedgeRace) openSecond(granted *grant) (*openAttempt, *AttemptError) {
	x := r.x
	x.attempts++ // before open, which takes the count back when it turns the placement down
	x.hedges++
	open, err := x.open(r.ctx, granted)
	if err == nil && x.gateway.options.Hedges.IsOn(x.route.Name) { // open may wait until the evacuations are confirmed
		return open, nil
	}
	if err == nil {
		open.close()
		err = &AttemptError{Delivery: DeliveryNotSent, Err: errHedgingOff}
	}
	x.hedges--
	turnedDown := errors.Is(err, errPlacementTurnedDown)
	if !turnedDown {
		x.attempts--
	}
	x.retryCharged = turnedDown || errors.Is(err, errHedgingOff)
	return nil, err
}

// refuse undoes the reservation for a second attempt that is not sent, and resumes the watch of the first one.
func (r *hedgeRace) refuse(reason string) {
	r.stopAsking()
	r.x.gateway.options.Hedges.Return(time.Now(), r.expense)
	r.logNotSent(reason)
	r.beginWatch(r.x.eventDeadline(false))
}

func (r *hedgeRace) logNotSent(reason string) {
	observe.Log(r.x.gateway.options.Logger, observe.HedgeNotSent).Str("request", r.x.request.ID).Str("route", r.x.route.Name).
		Str("server", r.first.open.Server.ID).Str("reason", reason).Dur("elapsed", time.Since(r.first.startedAt)).Send()
}

// stopAsking ends the wait for the placement of the second attempt, if any. A placement that is granted later is released.
func (r *hedgeRace) stopAsking() {
	if r.asking != nil {
		r.endAsking()
		r.asking, r.grants = nil, nil
	}
}

// isGood tells whether the response of an attempt that is done ends the race.
func (x *exchange) isGood(r *racer) bool {
	return r.err == nil && r.leadErr == nil && x.replacementError(r.open.response) == nil
}

// endFirst ends the first attempt, which is done. It returns false if the request now depends on the second one.
func (r *hedgeRace) endFirst() (result attemptResult, ended bool) {
	x, first := r.x, r.first
	good := x.isGood(first)
	if r.asking != nil {
		r.stopAsking()
		x.gateway.options.Hedges.Return(time.Now(), r.expense)
	}
	givenUp := r.endWatch(good)
	if good && r.second != nil {
		r.dropSecond()
	}
	defer first.open.close()
	switch {
	case first.err != nil:
		result.err = first.err
		result.err.Unresponsive = result.err.Unresponsive || givenUp
	case givenUp:
		result.err = &AttemptError{Delivery: DeliveryUnknown, Err: errSilent}
	default:
		result = x.relay(r.ctx, first.granted.id, first.open, r.watch)
	}
	result.moved = r.watch.grant()
	x.endAttempt(r.ctx, first.granted.id, first.open, result)
	if r.second == nil {
		return result, true
	}
	if x.isOver(r.ctx) || x.mayCrashServers {
		r.dropSecond()
		return result, true
	}
	failed := result
	r.firstResult = &failed
	return result, false
}

// dropSecond ends the second attempt, whose response is not used.
func (r *hedgeRace) dropSecond() {
	r.endLoser(r.second, errHedgeNotNeeded)
	observe.Log(r.x.gateway.options.Logger, observe.HedgeLost).Str("request", r.x.request.ID).Str("server", r.first.open.Server.ID).
		Str("to", r.second.open.Server.ID).Dur("elapsed", time.Since(r.first.startedAt)).Dur("took", time.Since(r.second.startedAt)).Send()
	r.second = nil
}

// endSecond ends the race if the second attempt, which is done, has a response for the caller or the first one has failed.
func (r *hedgeRace) endSecond() (result attemptResult, ended bool) {
	x, second := r.x, r.second
	if r.firstResult == nil && r.first.isDone() { // both are done: the first one ends the race if it can
		return attemptResult{}, false
	}
	if x.isGood(second) && !r.secondStalled && !x.isOver(r.ctx) {
		return r.endBySecond(), true
	}
	err := x.hedgeError(second, r.secondStalled)
	x.endAttempt(r.ctx, second.granted.id, second.open, attemptResult{err: err})
	second.open.close()
	r.second = nil
	x.excluded = append(x.excluded, second.open.Server.ID)
	if r.firstResult != nil {
		return *r.firstResult, true
	}
	deadline := x.eventDeadline(false)
	if r.secondStalled { // the first server had this time, too
		deadline = time.Now()
	}
	r.beginWatch(deadline)
	return attemptResult{}, false
}

// hedgeError returns the error of a second attempt whose response is not used.
func (x *exchange) hedgeError(second *racer, stalled bool) *AttemptError {
	err := second.err
	switch {
	case err != nil:
		err.Unresponsive = err.Unresponsive || stalled
	case stalled:
		err = &AttemptError{Delivery: DeliveryUnknown, Unresponsive: true, Err: errUnresponsive}
	case second.leadErr != nil:
		err = &AttemptError{Delivery: DeliveryUnknown, Err: second.leadErr}
	default:
		if err = x.replacementError(second.open.response); err == nil {
			err = &AttemptError{Delivery: DeliveryUnknown, Err: errHedgeNotNeeded}
		}
	}
	return err
}

// endBySecond returns the second attempt as the one that replaces the first. The first one is cancelled unless it has failed
// before.
func (r *hedgeRace) endBySecond() attemptResult {
	x, options, first, second := r.x, &r.x.gateway.options, r.first, r.second
	now := time.Now()
	elapsed, took := now.Sub(first.startedAt), now.Sub(second.startedAt)
	second.granted.open = second.open
	options.Metrics.Counter("godwityoke_hedge_wins_total").Inc(1)
	suspended := options.WasSuspended(first.startedAt) // then the times tell nothing about the servers
	isSlow := r.firstResult == nil && !suspended && hedge.IsClearWin(elapsed, took)
	observe.Log(options.Logger, observe.HedgeWon).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", first.open.Server.ID).Str("to", second.open.Server.ID).Dur("delay", r.plan.Delay).Dur("elapsed", elapsed).
		Dur("took", took).Bool("failed", r.firstResult != nil).Bool("slow", isSlow).Send()
	if r.firstResult != nil {
		r.firstResult.moved = second.granted
		return *r.firstResult
	}
	if isSlow && options.ReportLateEvent != nil { // before the placement ends, which the report refers to
		options.ReportLateEvent(first.granted.id, elapsed)
	}
	r.endLoser(first, errHedgeWon)
	if !suspended {
		options.Hedges.RecordLatency(now, x.hedgeKind(), elapsed)
	}
	return attemptResult{err: &AttemptError{Delivery: DeliveryUnknown, Err: errHedgeWon}, moved: second.granted}
}

// endLoser cancels an attempt whose response is not used and frees its slot. Its server may have run the request and is not at
// fault.
func (r *hedgeRace) endLoser(loser *racer, cause error) {
	loser.abandon(cause)
	r.x.gateway.options.Placer.Ended(loser.granted.id, schedule.OutcomeCancelled)
	r.x.deliveries++
	r.x.possibleRuns++
}
