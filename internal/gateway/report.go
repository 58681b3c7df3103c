package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

// Outcomes of requests, as label values of the metrics.
const (
	outcomeAnswered  = "answered"
	outcomeAbandoned = "abandoned"
	outcomeBroken    = "broken"
	outcomeRefused   = "refused"
)

// timing collects the times of one request for the log and the metrics.
type timing struct {
	// placementWait is the time spent waiting for placements, summed over all attempts.
	placementWait time.Duration
	// timeToFirstEvent is the time from the arrival of the request until the first event was sent to the caller.
	timeToFirstEvent time.Duration
	// maxGap is the longest time between two events sent to the caller.
	maxGap      time.Duration
	lastEventAt time.Time
	// localPlacements counts the placements that this VM made without the scheduler.
	localPlacements int
}

// recordEvent records that an event was sent to the caller at now. arrivedAt is the arrival of the request.
func (t *timing) recordEvent(now, arrivedAt time.Time) {
	if t.lastEventAt.IsZero() {
		t.timeToFirstEvent = now.Sub(arrivedAt)
	} else {
		t.maxGap = max(t.maxGap, now.Sub(t.lastEventAt))
	}
	t.lastEventAt = now
}

func (x *exchange) logPlacement(placement schedule.Placement, placementWait time.Duration) {
	helpers := make([]string, 0, len(placement.Helpers))
	for _, helper := range placement.Helpers {
		helpers = append(helpers, helper.Server)
	}
	event := observe.RequestPlaced
	if x.attempts > 1 {
		event = observe.RequestPlacedAgain
	}
	observe.Log(x.gateway.options.Logger, event).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", placement.Server).Strs("helpers", helpers).Bool("local", placement.Local).Int("send", x.attempts).
		Int("prompt", x.request.PromptTokens).Dur("waited", placementWait).Uint64("table", x.table.Version).Send()
}

func (x *exchange) countOutcome(outcome string) {
	x.gateway.options.Metrics.CountOutcome(x.teamName(), x.class(), outcome)
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// class returns the label that groups requests in the metrics by kind and target latency. The name of the route is not
// used as a label, because it changes with the route table.
func (x *exchange) class() string {
	return x.route.Kind.String() + "-" + x.route.TargetLatency.String()
}

// logBroken logs and counts a request that failed after it may have run or after part of a stream was sent.
func (x *exchange) logBroken(cause string) {
	x.countOutcome(outcomeBroken)
	withEnd(observe.Log(x.gateway.options.Logger, observe.RequestBroken), x.lastEnd).Str("request", x.request.ID).Str("route", x.route.Name).
		Int("sends", x.attempts).Int("runs", x.possibleRuns).Int("events", x.eventsSent).Str("cause", cause).
		Dur("held", time.Since(x.request.ArrivedAt)).Dur("left", time.Until(x.deadline)).Send()
}

// withEnd adds to a log line what was known when a response ended, unless end is nil.
func withEnd(line *zerolog.Event, end *responseEnd) *zerolog.Event {
	if end == nil {
		return line
	}
	return line.Object("end", end)
}

// logAbandoned logs and counts a request whose caller disconnected while the response was sent. err is the write error.
func (x *exchange) logAbandoned(attempt *Attempt, err error) {
	x.countOutcome(outcomeAbandoned)
	observe.Log(x.gateway.options.Logger, observe.RequestAbandoned).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", attempt.Server.ID).Int("sends", x.attempts).Int("events", x.eventsSent).Err(err).
		Dur("held", time.Since(x.request.ArrivedAt)).Send()
}

// isLate tells whether the request missed the targets of its route: it failed, needed a retry, or exceeded the target
// latency or the target gap.
func (x *exchange) isLate(success bool) bool {
	latency := x.timing.timeToFirstEvent
	if x.eventsSent == 0 {
		latency = time.Since(x.request.ArrivedAt)
	}
	return !success || x.attempts-x.hedges > 1 || latency > x.route.TargetLatency ||
		x.route.TargetGap > 0 && x.timing.maxGap > x.route.TargetGap
}

// recordAnswered logs and counts a request whose response was sent. success is false for a response other than 2xx.
func (x *exchange) recordAnswered(attempt *Attempt, status int, success bool) {
	x.countOutcome(outcomeAnswered)
	x.recordServerTime()
	if x.eventsSent > 0 {
		x.gateway.options.Metrics.Observe(observe.TimeToFirstToken, x.teamName(), x.class(), x.timing.timeToFirstEvent)
	}
	if x.eventsSent > 0 && x.attempts == 1 && x.request.ResumeAfter == 0 {
		x.gateway.streamTimes.record(x.route.Name, x.timing.lastEventAt.Sub(x.request.ArrivedAt)-x.timing.timeToFirstEvent)
	}
	x.gateway.options.Metrics.Observe(observe.QueueTime, x.teamName(), x.class(), x.timing.placementWait)
	x.gateway.options.Metrics.Observe(observe.RequestDuration, x.teamName(), x.class(), time.Since(x.request.ArrivedAt))
	event := observe.RequestAnswered
	if x.isLate(success) {
		event = observe.RequestAnsweredLate
	}
	withEnd(observe.Log(x.gateway.options.Logger, event), x.lastEnd).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", attempt.Server.ID).Int("status", status).Bool("success", success).Int("sends", x.attempts).
		Int("helpers", len(attempt.Helpers)).Int("prompt", x.request.PromptTokens).Int("events", x.eventsSent).
		Dur("aim", x.route.TargetLatency).Dur("pause_aim", x.route.TargetGap).Dur("waited", x.timing.placementWait).
		Dur("first", x.timing.timeToFirstEvent).Dur("longest", x.timing.maxGap).Int("local", x.timing.localPlacements).
		Dur("took", time.Since(x.request.ArrivedAt)).Send()
}
